#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace yuccabeam::http1 {

/// What decides when a holder is evicted, in the order of eviction.
enum class eviction_rank {
    idle,       ///< a connection without a request, the longest idle first
    in_request, ///< a connection whose peer has made no progress for
                ///< `memory_budget::stalled_after`, the longest first
    by_size     ///< the largest first, if it is larger than the growing one
};

/// Limits the bytes that the message bodies of a process and the connections
/// of its callers hold together. Not thread-safe: use it only from the thread
/// of its event loop.
///
/// When a holder needs more than is left, others are evicted in the order of
/// `eviction_rank`; if none can be, the growing one must end. So peers that
/// send without end or stall can't take the memory of the other exchanges.
class memory_budget {
public:
    using clock_source = std::function<time_point()>;

    /// Short enough to make room before callers time out, and longer than the
    /// gaps of a connection that loses packets.
    static constexpr std::chrono::milliseconds stalled_after{1'000};

    /// Without a clock, the time since boot is used.
    explicit memory_budget(std::size_t limit, clock_source clock = {});

    /// Evicts the first idle or stalled connection in the order of eviction.
    /// Returns false if there is none.
    bool evict_connection();

    std::size_t limit() const { return limit_; }
    std::size_t held() const { return held_; }
    std::size_t peak() const { return peak_; } ///< largest `held` so far
    std::uint64_t evictions() const { return evictions_; }
    /// Bodies that ended because they could not grow.
    std::uint64_t refusals() const { return refusals_; }
    std::uint64_t idle_evictions() const { return idle_evictions_; }
    std::uint64_t stalled_evictions() const { return stalled_evictions_; }

private:
    friend class memory_hold;

    struct holder {
        std::size_t bytes = 0;
        std::function<void()> evict;
        eviction_rank rank = eviction_rank::by_size;
        time_point since{}; ///< of the last progress, or of being idle
    };

    bool resize(holder& of, std::size_t bytes);
    bool evict_for(holder const& growing);
    void evict(holder& of);
    holder* oldest(eviction_rank rank, holder const* except) const;
    holder* first_connection(holder const* except) const;
    holder* largest_evictable(holder const& except) const;

    std::size_t limit_;
    clock_source clock_;
    std::size_t held_ = 0;
    std::size_t peak_ = 0;
    std::uint64_t evictions_ = 0;
    std::uint64_t refusals_ = 0;
    std::uint64_t idle_evictions_ = 0;
    std::uint64_t stalled_evictions_ = 0;
    std::unordered_set<holder*> holders_;
};

/// The part of a budget that one body holds; released on destruction.
class memory_hold {
public:
    /// Holds bytes of no budget, without a limit.
    memory_hold() = default;
    explicit memory_hold(std::shared_ptr<memory_budget> budget);
    ~memory_hold();
    memory_hold(memory_hold&& other) noexcept;
    memory_hold& operator=(memory_hold&& other) noexcept;

    /// Changes the number of bytes held. Returns false if the budget has no
    /// room; the body must end then.
    bool resize(std::size_t bytes);
    /// As `resize`, but evicts no other holder.
    bool resize_without_eviction(std::size_t bytes);
    /// Sets the rank of eviction, and the time of the last progress or of the
    /// beginning of idleness.
    void rank(eviction_rank rank, time_point since);
    /// Sets the callback that gives the bytes back when a smaller body needs
    /// them; without one the body is kept. It is called once, during another
    /// body's `resize`, and must not destroy that body.
    void on_evict(std::function<void()> callback);
    std::size_t bytes() const;

private:
    std::shared_ptr<memory_budget> budget_;
    std::unique_ptr<memory_budget::holder> holder_;
};

/// Frees a string's storage. Assigning an empty string would keep it.
inline void release(std::string& text) {
    std::string().swap(text);
}

/// Appends a part to a body whose memory is held by `hold`. `expected` is the
/// size of the whole body, or 0 if it isn't known. Returns false if the budget
/// has no room.
bool append_held(std::string& body, std::string_view part, std::size_t expected,
                 memory_hold& hold);

} // namespace yuccabeam::http1
