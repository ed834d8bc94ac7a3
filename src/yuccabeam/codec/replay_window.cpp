#include "yuccabeam/codec/replay_window.hpp"

namespace yuccabeam::codec {

freshness replay_window::accept(std::uint64_t counter) {
    if (empty_ || counter > highest_) {
        std::uint64_t const ahead = empty_ ? width : counter - highest_;
        seen_ = ahead < width ? seen_ << ahead : std::bitset<width>();
        seen_.set(0);
        highest_ = counter;
        empty_ = false;
        return freshness::fresh;
    }
    std::uint64_t const behind = highest_ - counter;
    if (behind >= width || seen_.test(behind))
        return freshness::replayed;
    seen_.set(behind);
    return freshness::fresh;
}

replay_guard::replay_guard(std::size_t max_senders)
    : max_senders_(max_senders) {}

freshness replay_guard::accept(daemon_id const& sender, incarnation start,
                               std::uint64_t counter) {
    auto found = senders_.find(sender);
    if (found == senders_.end()) {
        if (senders_.size() >= max_senders_) {
            senders_.erase(recently_used_.back());
            recently_used_.pop_back();
        }
        recently_used_.push_front(sender);
        found =
            senders_.emplace(sender, entry{start, {}, recently_used_.begin()})
                .first;
    }
    entry& known = found->second;
    if (start < known.start)
        return freshness::stale_incarnation;
    if (start > known.start) {
        known.start = start;
        known.window = {};
    }
    recently_used_.splice(recently_used_.begin(), recently_used_,
                          known.position);
    return known.window.accept(counter);
}

} // namespace yuccabeam::codec
