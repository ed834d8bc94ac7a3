#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/rules.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace yuccabeam::limits {

/// Id that the calling code gives a queued request; unique in the queue.
using entry_id = std::uint64_t;

/// A request that waits for a free slot.
struct queue_entry {
    entry_id id = 0;
    account_id account;
    std::uint32_t weight = 1; ///< of the account, at least 1
    yuccabeam::priority priority = priority::normal;
    time_point deadline;
    /// Median service time of the request class.
    duration service_time{};
};

enum class drop_reason : std::uint8_t {
    cannot_finish, ///< the time left is shorter than the service time
    queue_full,
    waited_too_long ///< waited longer than its priority's maximum
};

/// The entry was removed from the queue and must be sent now.
struct dispatch_entry {
    entry_id id = 0;
    bool operator==(dispatch_entry const&) const = default;
};

/// The entry was removed from the queue without being sent. Answer not-run,
/// unless an earlier attempt of the same request may have run.
struct drop_entry {
    entry_id id = 0;
    drop_reason reason = drop_reason::queue_full;
    bool operator==(drop_entry const&) const = default;
};

using queue_action = std::variant<dispatch_entry, drop_entry>;

struct queue_options {
    std::size_t capacity = 1024; ///< entries of all priorities together
    /// Guaranteed shares of the dispatches and of the capacity.
    double normal_share = 0.10;
    double bulk_share = 0.05;
    /// Maximum wait of interactive and normal entries. Callers retry requests
    /// that are answered late, so a queue that holds entries until their
    /// deadlines would sustain an overload after its cause has ended.
    duration max_wait = std::chrono::milliseconds(300);
    /// Maximum wait of bulk entries, whose callers tolerate long waits.
    duration max_bulk_wait = std::chrono::seconds(3);
    /// The queue is overloaded once it has been non-empty for this long, which
    /// tells a standing queue from a burst.
    duration overload_after = std::chrono::milliseconds(100);
};

/// Bounded admission queue of one service.
///
/// Interactive entries are dispatched before normal ones and normal before
/// bulk ones, but each lower priority with entries gets its guaranteed share.
/// Within a priority, accounts are served by deficit round robin (Shreedhar
/// and Varghese 1996) with unit costs and their weight as quantum. An
/// account's interactive entries are taken newest first while the queue is
/// overloaded. A full queue selects the lowest priority above its share of the
/// capacity, in it the account with the most entries, and drops the entry of
/// this account that would be taken last.
///
/// Push and take cost O(log capacity); memory is bounded by the capacity.
/// A request may bypass the queue only while the queue is empty.
///
/// @code
/// for (auto const& action : queue.push(entry, now)) answer(action);
/// for (auto const& action : queue.take(free_slots, now)) run(action);
/// @endcode
class admission_queue {
public:
    explicit admission_queue(queue_options options = {});
    ~admission_queue();
    admission_queue(admission_queue&&) noexcept;
    admission_queue& operator=(admission_queue&&) noexcept;

    /// Adds an entry. Returns the dropped entries: this entry, if it can't
    /// finish in time or the queue is full, or the entry evicted in its place,
    /// and other entries that exceeded their latest start.
    std::vector<queue_action> push(queue_entry const& entry, time_point now);

    /// Dispatches up to `free_slots` entries and drops those that can no
    /// longer finish in time or have waited too long.
    std::vector<queue_action> take(std::size_t free_slots, time_point now);

    /// Removes an entry whose caller disconnected. Returns false if it is not
    /// in the queue.
    bool cancel(entry_id id);

    std::size_t size() const;
    /// Entries of one priority.
    std::size_t size(priority level) const;
    bool empty() const { return size() == 0; }

    /// Time at which the next entry has to be dropped, for a timer that calls
    /// `take(0, now)`.
    std::optional<time_point> next_drop() const;

    /// Returns whether the queue has been non-empty for `overload_after`.
    /// Retries and hedges are disabled in this state.
    bool overloaded(time_point now) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace yuccabeam::limits
