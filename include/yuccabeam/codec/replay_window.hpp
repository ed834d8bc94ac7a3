#pragma once

#include "yuccabeam/values/ids.hpp"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace yuccabeam::codec {

enum class freshness { fresh, replayed, stale_incarnation };

/// Counters that one sender's incarnation used: the highest one and a bitmap
/// of those below it, after RFC 4303 (section 3.4.3).
class replay_window {
public:
    /// A sender shares one counter among all receivers, so that a receiver
    /// sees gaps; reordering on a link stays far below this width.
    static constexpr std::size_t width = 256;

    /// Marks the counter as used.
    freshness accept(std::uint64_t counter);

private:
    std::uint64_t highest_ = 0;
    std::bitset<width> seen_; ///< bit i: highest_ - i
    bool empty_ = true;
};

/// Replay windows of all senders, the least recently heard ones dropped
/// first when there are more than the limit.
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
    std::list<daemon_id> recently_used_; ///< most recent first
};

} // namespace yuccabeam::codec
