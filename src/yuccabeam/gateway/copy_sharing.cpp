#include "yuccabeam/gateway/copy_sharing.hpp"

#include <algorithm>

namespace yuccabeam::gateway {

bool copy_sharing::admit(std::string const& receiver, std::uint64_t revision,
                         std::size_t bytes, time_point now) {
    if (free_at_ > now + options_.backlog)
        return false;
    auto const rate = options_.link_bytes_per_s * options_.share;
    free_at_ = std::max(free_at_, now) +
               from_seconds(static_cast<double>(bytes) / rate);
    if (revision != revision_)
        receivers_.clear();
    revision_ = revision;
    std::erase(receivers_, receiver);
    receivers_.push_front(receiver);
    if (receivers_.size() > options_.most_referrals)
        receivers_.pop_back();
    return true;
}

std::vector<std::string> copy_sharing::referrals() const {
    return {receivers_.begin(), receivers_.end()};
}

bool pull_sources::may_ask(std::string const& source, time_point now) const {
    auto const found = not_before_.find(source);
    return found == not_before_.end() || now >= found->second;
}

std::string pull_sources::choose(std::vector<newer_copy> const& ahead,
                                 std::uint64_t random, time_point now) const {
    std::uint64_t newest = 0;
    for (auto const& peer : ahead)
        if (may_ask(peer.control, now))
            newest = std::max(newest, peer.revision);
    std::set<std::string> candidates;
    for (auto const& peer : ahead)
        if (peer.revision == newest && may_ask(peer.control, now))
            candidates.insert(peer.control);
    for (auto const& control : named_)
        if (may_ask(control, now))
            candidates.insert(control);
    if (candidates.empty())
        return {};
    return *std::next(candidates.begin(),
                      static_cast<std::ptrdiff_t>(random % candidates.size()));
}

void pull_sources::on_busy(std::string const& source,
                           std::vector<std::string> const& named,
                           time_point now) {
    not_before_[source] = now + options_.busy_pause;
    named_.insert(named.begin(), named.end());
}

void pull_sources::on_failed(std::string const& source, time_point now) {
    named_.erase(source);
    not_before_[source] = now + options_.failure_pause;
}

void pull_sources::on_current() {
    named_.clear();
    not_before_.clear();
}

} // namespace yuccabeam::gateway
