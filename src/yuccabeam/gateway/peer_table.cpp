#include "yuccabeam/gateway/peer_table.hpp"

#include <algorithm>

namespace yuccabeam::gateway {

peer_table::peer_table(peer_table_options options)
    : options_(std::move(options)) {}

peer_table::entry& peer_table::entry_of(std::string const& address) {
    auto const [at, added] = peers_.try_emplace(address);
    if (added) {
        ++same_domain_count_;
        ungreeted_.insert(address);
    }
    return at->second;
}

void peer_table::erase(std::string const& address) {
    auto const found = peers_.find(address);
    if (found == peers_.end())
        return;
    same_domain_count_ -= found->second.same_domain;
    ungreeted_.erase(address);
    peers_.erase(found);
}

void peer_table::move_to_domain(entry& entry, failure_domain_id const& domain) {
    same_domain_count_ -= entry.same_domain;
    entry.same_domain = domain == options_.failure_domain;
    same_domain_count_ += entry.same_domain;
}

void peer_table::add_address(std::string const& address, time_point now) {
    if (address == options_.self.value || address.empty())
        return;
    entry_of(address).named_at = now;
}

bool peer_table::on_heartbeat(heartbeat const& message, time_point now) {
    if (message.sender == options_.self)
        return false;
    if (message.leaving)
        return erase(message.sender.value), false;
    auto& entry = entry_of(message.sender.value);
    bool const is_new = !entry.heartbeat_at ||
                        entry.last_heartbeat.incarnation < message.incarnation;
    // A delayed datagram of an earlier incarnation is ignored.
    if (entry.heartbeat_at &&
        entry.last_heartbeat.incarnation > message.incarnation)
        return false;
    // A restarted daemon knows neither this one nor the fleet's revision.
    if (is_new && entry.heartbeat_at)
        ungreeted_.insert(message.sender.value);
    entry.last_heartbeat = message;
    entry.last_heartbeat.budgets.clear();
    newest_revision_ = std::max(newest_revision_, message.store_revision);
    entry.heartbeat_at = now;
    move_to_domain(entry, message.failure_domain);
    return is_new;
}

std::vector<std::string> peer_table::take_ungreeted(std::size_t most) {
    std::vector<std::string> out;
    while (!ungreeted_.empty() && out.size() < most)
        out.push_back(
            std::move(ungreeted_.extract(ungreeted_.begin()).value()));
    return out;
}

bool peer_table::heartbeat_within(entry const& entry, time_point now,
                                  duration age) const {
    return entry.heartbeat_at && now - *entry.heartbeat_at < age;
}

bool peer_table::in_same_domain(std::string const& address) const {
    auto const found = peers_.find(address);
    return found == peers_.end() || found->second.same_domain;
}

heartbeat_periods peer_table::periods() const {
    auto const of = [&](duration shortest, std::size_t peers) {
        return std::max(shortest,
                        options_.period_per_peer * static_cast<int>(peers));
    };
    return {of(options_.shortest_periods.same_domain, same_domain_count_),
            of(options_.shortest_periods.other_domains,
               peers_.size() - same_domain_count_)};
}

bool peer_table::is_live(entry const& entry, time_point now) const {
    auto const all = periods();
    auto const period = entry.same_domain ? all.same_domain : all.other_domains;
    return heartbeat_within(
        entry, now, from_seconds(to_seconds(period) * options_.live_intervals));
}

bool peer_table::is_better_watcher(std::string const& address,
                                   entry const& entry) const {
    auto const theirs = entry.last_heartbeat.processor_percent;
    if (theirs != options_.processor_percent)
        return theirs > options_.processor_percent;
    return address < options_.self.value;
}

bool peer_table::should_watch(time_point now) const {
    auto const domains = std::max<std::size_t>(options_.failure_domains, 1);
    auto const per_domain = (options_.watchers + domains - 1) / domains;
    std::size_t preferred = 0;
    time_point watcher_heard{};
    for (auto const& [address, entry] : peers_) {
        if (!entry.heartbeat_at)
            continue;
        if (entry.last_heartbeat.watching)
            watcher_heard = std::max(watcher_heard, *entry.heartbeat_at);
        if (entry.same_domain && !entry.last_heartbeat.store_call_failed &&
            is_better_watcher(address, entry) && is_live(entry, now))
            ++preferred;
    }
    auto const takeover = options_.watcher_timeout +
                          options_.takeover_delay * static_cast<int>(preferred);
    return preferred < per_domain || now - watcher_heard >= takeover;
}

std::vector<newer_copy>
peer_table::peers_with_newer_copy(std::uint64_t revision,
                                  time_point now) const {
    if (newest_revision_ <= revision)
        return {};
    std::vector<newer_copy> same_domain;
    std::vector<newer_copy> others;
    for (auto const& [address, entry] : peers_) {
        auto const& last = entry.last_heartbeat;
        if (is_live(entry, now) && last.store_revision > revision)
            (entry.same_domain ? same_domain : others)
                .push_back({last.control, last.store_revision});
    }
    return same_domain.empty() ? others : same_domain;
}

std::vector<std::string> peer_table::addresses() const {
    std::vector<std::string> out;
    for (auto const& [address, entry] : peers_)
        out.push_back(address);
    return out;
}

std::vector<std::string> peer_table::same_domain_addresses() const {
    std::vector<std::string> out;
    for (auto const& [address, entry] : peers_)
        if (entry.same_domain)
            out.push_back(address);
    return out;
}

std::vector<std::string>
peer_table::live_same_domain_addresses(time_point now) const {
    std::vector<std::string> out;
    for (auto const& [address, entry] : peers_)
        if (entry.same_domain && is_live(entry, now))
            out.push_back(address);
    return out;
}

std::vector<relay_candidate>
peer_table::relay_candidates(time_point now) const {
    std::vector<relay_candidate> out;
    for (auto const& [address, entry] : peers_)
        if (entry.same_domain && is_live(entry, now))
            out.push_back({address, entry.last_heartbeat.processor_percent});
    return out;
}

std::vector<relay_candidate> peer_table::live_daemons(time_point now) const {
    std::vector<relay_candidate> out;
    for (auto const& [address, entry] : peers_)
        if (is_live(entry, now))
            out.push_back({address, entry.last_heartbeat.processor_percent});
    return out;
}

std::map<failure_domain_id, std::string>
peer_table::other_domain_relays(time_point now) const {
    std::map<failure_domain_id, relay_candidate> best;
    for (auto const& [address, entry] : peers_) {
        if (entry.same_domain || !is_live(entry, now))
            continue;
        relay_candidate const one{address,
                                  entry.last_heartbeat.processor_percent};
        auto const [at, added] =
            best.try_emplace(entry.last_heartbeat.failure_domain, one);
        if (!added && is_better_relay(one, at->second))
            at->second = one;
    }
    std::map<failure_domain_id, std::string> out;
    for (auto& [domain, candidate] : best)
        out[domain] = std::move(candidate.address);
    return out;
}

std::map<failure_domain_id, std::vector<std::string>>
peer_table::other_domain_addresses(time_point now) const {
    std::map<failure_domain_id, std::vector<std::string>> out;
    for (auto const& [address, entry] : peers_)
        if (!entry.same_domain && is_live(entry, now))
            out[entry.last_heartbeat.failure_domain].push_back(address);
    return out;
}

std::size_t peer_table::live_count(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_, [&](auto const& named) { return is_live(named.second, now); }));
}

void peer_table::forget_silent(time_point now) {
    constexpr int intervals = 3;
    auto const limit =
        std::max(options_.forget_after, periods().other_domains * intervals);
    std::vector<std::string> silent;
    for (auto const& [address, entry] : peers_) {
        auto const last = entry.heartbeat_at
                              ? std::max(*entry.heartbeat_at, entry.named_at)
                              : entry.named_at;
        if (now - last >= limit)
            silent.push_back(address);
    }
    for (auto const& address : silent)
        erase(address);
}

} // namespace yuccabeam::gateway
