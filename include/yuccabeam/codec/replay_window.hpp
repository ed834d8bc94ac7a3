#pragma once

#include "yuccabeam/values/ids.hpp"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace yuccabeam::codec {

enum class freshness { fresh, replayed, stale_incarnation };

/// Anti-replay window after RFC 4303 (section 3.4.3) for one incarnation of a
/// sender: the highest counter used and a bitmap of those below it.
class replay_window {
public:
    /// A sender uses one counter for all receivers, so each receiver sees
    /// gaps. Reordering on a link stays far below this width.
    static constexpr std::size_t width = 256;

    /// Marks the counter as used.
    freshness accept(std::uint64_t counter);

private:
    std::uint64_t highest_ = 0;
    std::bitset<width> seen_; ///< bit i: highest_ - i
    bool empty_ = true;
};

/// Replay windows of all senders. Above the limit, the window of the least
/// recently accepted sender is evicted.
class replay_guard {
public:
    explicit replay_guard(std::size_t max_senders);

    freshness accept(daemon_id const& sender, incarnation start,
                     std::uint64_t counter);

    std::size_t size() const { return senders_.size(); }

private:
    struct entry {
        incarnation start = 0;
        replay_window window;
        std::list<daemon_id>::iterator position;
    };

    std::size_t max_senders_;
    std::unordered_map<daemon_id, entry> senders_;
    std::list<daemon_id> recently_used_; ///< most recently used first
};

} // namespace yuccabeam::codec
