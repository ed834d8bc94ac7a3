#include "yuccabeam/gateway/relay_tree.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace yuccabeam::gateway {

bool is_better_relay(relay_candidate const& a, relay_candidate const& b) {
    auto const rank = [](relay_candidate const& one) {
        return std::tuple(one.processor_percent,
                          XXH3_64bits(one.address.data(), one.address.size()));
    };
    return rank(a) > rank(b);
}

relay_tree::relay_tree(relay_candidate self, relay_tree_options options)
    : self_(std::move(self)), options_(options) {}

bool relay_tree::silent(time_point now) const {
    return relay_ && now - heard_at_ >= options_.silence_limit;
}

bool relay_tree::selection_due(time_point now) const {
    return now >= next_selection_ || silent(now);
}

bool relay_tree::select(std::vector<relay_candidate> const& live,
                        time_point now) {
    next_selection_ = now + options_.selection_interval;
    if (silent(now))
        avoided_until_[*relay_] = now + options_.avoidance;
    std::erase_if(avoided_until_,
                  [&](auto const& item) { return item.second <= now; });
    std::erase_if(subscribed_until_,
                  [&](auto const& item) { return item.second <= now; });
    auto const* best = &self_;
    for (auto const& candidate : live)
        if (!avoided_until_.contains(candidate.address) &&
            is_better_relay(candidate, *best))
            best = &candidate;
    auto const chosen = best == &self_
                            ? std::nullopt
                            : std::optional<std::string>(best->address);
    if (chosen == relay_)
        return false;
    relay_ = chosen;
    heard_at_ = now;
    reported_at_ = {};
    return true;
}

void relay_tree::leave() {
    relay_.reset();
    next_selection_ = {};
}

void relay_tree::on_heard(std::string const& address, time_point now) {
    if (relay_ == address)
        heard_at_ = now;
}

bool relay_tree::renewal_due(time_point now) const {
    return relay_ && now - reported_at_ >= options_.renewal;
}

void relay_tree::on_subscription(std::string const& address, time_point now) {
    subscribed_until_[address] = now + options_.subscription;
}

std::vector<std::string> relay_tree::subscribers(time_point now) const {
    std::vector<std::string> out;
    for (auto const& [address, until] : subscribed_until_)
        if (now < until)
            out.push_back(address);
    return out;
}

bool relay_tree::has_subscribers(time_point now) const {
    return std::ranges::any_of(
        subscribed_until_, [&](auto const& item) { return now < item.second; });
}

} // namespace yuccabeam::gateway
