#include "yuccabeam/health/support.hpp"

#include <algorithm>

namespace yuccabeam::health {

bool support_lease::try_commit(daemon_id const& arbiter, time_point now) {
    if (now < expires_at_ && arbiter != arbiter_)
        return false;
    arbiter_ = arbiter;
    expires_at_ = now + lease_;
    return true;
}

void supporter_tracker::record(daemon_id const& supporter,
                               incarnation supporter_incarnation,
                               time_point table_time, time_point now) {
    auto const until = table_time + options_.lease;
    if (until <= now)
        return;
    auto const [found, added] = entries_.try_emplace(
        supporter, entry{supporter_incarnation, now, until});
    auto& entry = found->second;
    if (added || entry.incarnation > supporter_incarnation)
        return;
    if (entry.incarnation < supporter_incarnation ||
        entry.commitment_end < now) {
        entry = {supporter_incarnation, now, until};
        return;
    }
    entry.commitment_end = std::max(entry.commitment_end, until);
}

std::uint32_t supporter_tracker::effective_count(time_point now) const {
    auto const min_support_age = options_.grant_validity + options_.margin;
    return static_cast<std::uint32_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](auto const& item) {
            auto const& entry = item.second;
            return now <= entry.commitment_end &&
                   now - entry.commitment_start >= min_support_age;
        }));
}

std::uint32_t supporter_tracker::committed_count(time_point now) const {
    return static_cast<std::uint32_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](auto const& item) {
            return now <= item.second.commitment_end;
        }));
}

} // namespace yuccabeam::health
