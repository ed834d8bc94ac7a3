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

/// The calling code's number of a queued request; unique among the entries.
using entry_id = std::uint64_t;

/// A request that waits for a free slot.
struct queue_entry {
    entry_id id = 0;
    account_id account;
    std::uint32_t weight = 1; ///< of the account, at least 1
    yuccabeam::priority priority = priority::normal;
    time_point deadline;
    /// Median service time of the request's class.
    duration service_time{};
};

enum class drop_reason : std::uint8_t {
    cannot_finish, ///< time left is below the service time
    queue_full,
    waited_too_long ///< above the longest wait of its priority
};

/// Send this entry now; it has left the queue.
struct dispatch_entry {
    entry_id id = 0;
    bool operator==(dispatch_entry const&) const = default;
};

/// This entry has left the queue and was not run from it. Answer not-run,
/// unless an earlier attempt of the same request may have run.
struct drop_entry {
    entry_id id = 0;
    drop_reason reason = drop_reason::queue_full;
    bool operator==(drop_entry const&) const = default;
};

using queue_action = std::variant<dispatch_entry, drop_entry>;

struct queue_options {
    std::size_t capacity = 1024; ///< entries, all priorities together
    /// Guaranteed share of dispatches and of the capacity.
    double normal_share = 0.10;
    double bulk_share = 0.05;
    /// Longest wait of interactive and normal entries. Callers repeat what is
    /// answered late, so a queue that holds entries up to their deadlines
    /// keeps an overload going after its cause has ended.
    duration max_wait = std::chrono::milliseconds(300);
    /// Longest wait of bulk entries, whose callers are patient.
    duration max_bulk_wait = std::chrono::seconds(3);
    /// The queue counts as overloaded when it has not been empty for this
    /// long: a standing queue, not a burst.
    duration overload_after = std::chrono::milliseconds(100);
};

/// Bounded admission queue of one service.
///
/// Interactive entries go before normal ones and these before bulk ones, but
/// each lower priority that waits gets its guaranteed share. Within a
/// priority, accounts take turns by deficit round robin (Shreedhar and
/// Varghese 1996) with unit costs and their weight as quantum. An account's
/// interactive entries are taken newest first while the queue is overloaded.
/// A full queue drops from the lowest priority above its share of the
/// capacity, there the account with most entries, there the entry that
/// would be taken last.
///
/// Push and take cost O(log capacity); memory is bounded by the capacity.
/// A request may go around the queue only while the queue is empty.
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

    /// Adds an entry. Returns drops: of this entry, when it can't finish in
    /// time or the queue is full, or of the entry that made room for it, and
    /// of other entries whose time ran out.
    std::vector<queue_action> push(queue_entry const& entry, time_point now);

    /// Dispatches up to `free_slots` entries and drops those that can't
    /// finish in time any more.
    std::vector<queue_action> take(std::size_t free_slots, time_point now);

    /// Removes an entry whose caller went away; false when it isn't queued.
    bool cancel(entry_id id);

    std::size_t size() const;
    bool empty() const { return size() == 0; }

    /// When the next entry has to be dropped; for a timer that calls
    /// `take(0, now)`.
    std::optional<time_point> next_drop() const;

    /// True while the queue has been non-empty for `overload_after`. Retries
    /// and hedges are off then.
    bool overloaded(time_point now) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace yuccabeam::limits
