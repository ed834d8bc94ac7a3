#include "yuccabeam/gateway/peer_table.hpp"

#include <algorithm>

namespace yuccabeam::gateway {

peer_table::peer_table(peer_table_options options)
    : options_(std::move(options)) {}

void peer_table::learn(std::string const& address, time_point now) {
    if (address == options_.self.value || address.empty())
        return;
    peers_.try_emplace(address).first->second.learnt = now;
}

bool peer_table::on_heartbeat(heartbeat const& message, time_point now) {
    if (message.sender == options_.self)
        return false;
    if (message.leaving)
        return peers_.erase(message.sender.value), false;
    auto& entry = peers_[message.sender.value];
    bool const fresh =
        !entry.heard || entry.last.incarnation < message.incarnation;
    // A datagram of an earlier process may arrive late.
    if (entry.heard && entry.last.incarnation > message.incarnation)
        return false;
    entry.last = message;
    entry.heard = now;
    return fresh;
}

bool peer_table::heard_within(entry const& entry, time_point now,
                              duration age) const {
    return entry.heard && now - *entry.heard < age;
}

bool peer_table::near(entry const& entry) const {
    return !entry.heard || entry.last.failure_domain == options_.failure_domain;
}

bool peer_table::in_same_domain(std::string const& address) const {
    auto const found = peers_.find(address);
    return found == peers_.end() || near(found->second);
}

bool peer_table::live(entry const& entry, time_point now) const {
    return heard_within(entry, now,
                        near(entry) ? options_.peer_timeout
                                    : options_.other_domain_peer_timeout);
}

bool peer_table::should_watch(time_point now) const {
    auto const domains = std::max<std::size_t>(options_.failure_domains, 1);
    auto const per_domain = (options_.watchers + domains - 1) / domains;
    std::size_t lower = 0;
    bool watcher_heard = false;
    for (auto const& [address, entry] : peers_) {
        if (heard_within(entry, now, options_.watcher_timeout) &&
            entry.last.watching)
            watcher_heard = true;
        if (live(entry, now) && !entry.last.store_call_failed &&
            entry.last.failure_domain == options_.failure_domain &&
            address < options_.self.value)
            ++lower;
    }
    return lower < per_domain || !watcher_heard;
}

std::optional<heartbeat>
peer_table::peer_with_newer_copy(std::uint64_t revision, time_point now) const {
    std::optional<heartbeat> best;
    for (auto const& [address, entry] : peers_) {
        if (!live(entry, now) || entry.last.store_revision <= revision)
            continue;
        bool const nearer = near(entry);
        bool const best_near =
            best && best->failure_domain == options_.failure_domain;
        if (!best || (nearer && !best_near) ||
            (nearer == best_near &&
             entry.last.store_revision > best->store_revision))
            best = entry.last;
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
        if (near(entry) && live(entry, now))
            out.push_back(address);
    return out;
}

std::map<failure_domain_id, std::vector<std::string>>
peer_table::other_domain_addresses(time_point now) const {
    std::map<failure_domain_id, std::vector<std::string>> out;
    for (auto const& [address, entry] : peers_)
        if (!near(entry) && live(entry, now))
            out[entry.last.failure_domain].push_back(address);
    return out;
}

std::size_t peer_table::live_count(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_, [&](auto const& named) { return live(named.second, now); }));
}

void peer_table::forget_silent(time_point now) {
    std::erase_if(peers_, [&](auto const& named) {
        auto const& entry = named.second;
        auto const last =
            entry.heard ? std::max(*entry.heard, entry.learnt) : entry.learnt;
        return now - last >= options_.forget_after;
    });
}

} // namespace yuccabeam::gateway
