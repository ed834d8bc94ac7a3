#include "yuccabeam/gateway/peer_table.hpp"

#include <algorithm>

namespace yuccabeam::gateway {

peer_table::peer_table(peer_table_options options)
    : options_(std::move(options)) {}

void peer_table::add_address(std::string const& address, time_point now) {
    if (address == options_.self.value || address.empty())
        return;
    peers_.try_emplace(address).first->second.named_at = now;
}

bool peer_table::on_heartbeat(heartbeat const& message, time_point now) {
    if (message.sender == options_.self)
        return false;
    if (message.leaving)
        return peers_.erase(message.sender.value), false;
    auto& entry = peers_[message.sender.value];
    bool const is_new = !entry.heartbeat_at ||
                        entry.last_heartbeat.incarnation < message.incarnation;
    // A delayed datagram of an earlier incarnation is ignored.
    if (entry.heartbeat_at &&
        entry.last_heartbeat.incarnation > message.incarnation)
        return false;
    entry.last_heartbeat = message;
    entry.heartbeat_at = now;
    return is_new;
}

bool peer_table::heartbeat_within(entry const& entry, time_point now,
                                  duration age) const {
    return entry.heartbeat_at && now - *entry.heartbeat_at < age;
}

bool peer_table::in_same_domain(entry const& entry) const {
    return !entry.heartbeat_at ||
           entry.last_heartbeat.failure_domain == options_.failure_domain;
}

bool peer_table::in_same_domain(std::string const& address) const {
    auto const found = peers_.find(address);
    return found == peers_.end() || in_same_domain(found->second);
}

bool peer_table::is_live(entry const& entry, time_point now) const {
    return heartbeat_within(entry, now,
                            in_same_domain(entry)
                                ? options_.peer_timeout
                                : options_.other_domain_peer_timeout);
}

bool peer_table::should_watch(time_point now) const {
    auto const domains = std::max<std::size_t>(options_.failure_domains, 1);
    auto const per_domain = (options_.watchers + domains - 1) / domains;
    std::size_t live_with_lower_address = 0;
    bool watcher_alive = false;
    for (auto const& [address, entry] : peers_) {
        if (heartbeat_within(entry, now, options_.watcher_timeout) &&
            entry.last_heartbeat.watching)
            watcher_alive = true;
        if (is_live(entry, now) && !entry.last_heartbeat.store_call_failed &&
            entry.last_heartbeat.failure_domain == options_.failure_domain &&
            address < options_.self.value)
            ++live_with_lower_address;
    }
    return live_with_lower_address < per_domain || !watcher_alive;
}

std::optional<heartbeat>
peer_table::peer_with_newer_copy(std::uint64_t revision, time_point now) const {
    std::optional<heartbeat> best;
    for (auto const& [address, entry] : peers_) {
        if (!is_live(entry, now) ||
            entry.last_heartbeat.store_revision <= revision)
            continue;
        bool const same_domain = in_same_domain(entry);
        bool const best_in_same_domain =
            best && best->failure_domain == options_.failure_domain;
        if (!best || (same_domain && !best_in_same_domain) ||
            (same_domain == best_in_same_domain &&
             entry.last_heartbeat.store_revision > best->store_revision))
            best = entry.last_heartbeat;
    }
    return best;
}

std::vector<std::string> peer_table::addresses() const {
    std::vector<std::string> out;
    for (auto const& [address, entry] : peers_)
        out.push_back(address);
    return out;
}

std::vector<std::string>
peer_table::same_domain_addresses(time_point now) const {
    std::vector<std::string> out;
    for (auto const& [address, entry] : peers_)
        if (in_same_domain(entry) && is_live(entry, now))
            out.push_back(address);
    return out;
}

std::map<failure_domain_id, std::vector<std::string>>
peer_table::other_domain_addresses(time_point now) const {
    std::map<failure_domain_id, std::vector<std::string>> out;
    for (auto const& [address, entry] : peers_)
        if (!in_same_domain(entry) && is_live(entry, now))
            out[entry.last_heartbeat.failure_domain].push_back(address);
    return out;
}

std::size_t peer_table::live_count(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_, [&](auto const& named) { return is_live(named.second, now); }));
}

void peer_table::forget_silent(time_point now) {
    std::erase_if(peers_, [&](auto const& named) {
        auto const& entry = named.second;
        auto const last = entry.heartbeat_at
                              ? std::max(*entry.heartbeat_at, entry.named_at)
                              : entry.named_at;
        return now - last >= options_.forget_after;
    });
}

} // namespace yuccabeam::gateway
