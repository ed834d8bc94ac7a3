#pragma once

#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

struct peer_table_options {
    daemon_id self;
    failure_domain_id failure_domain;
    std::size_t failure_domains = 1;
    /// Daemons that follow the store, over all failure domains.
    std::size_t watchers = 3;
    /// A daemon that follows the store and is silent for this long is
    /// replaced by others.
    duration watcher_timeout = std::chrono::milliseconds(1'100);
    /// A daemon that is silent for this long doesn't count as live; daemons
    /// in other failure domains send less often.
    duration peer_timeout = std::chrono::milliseconds(2'500);
    duration other_domain_peer_timeout = std::chrono::seconds(7);
    /// A silent daemon gets no more heartbeats after this time.
    duration forget_after = std::chrono::seconds(60);
};

/// The other daemons, as their heartbeats show them.
///
/// In each failure domain the live daemons with the lowest addresses follow
/// the store and pass its changes on; the others follow it themselves only
/// when no such daemon is heard.
class peer_table {
public:
    explicit peer_table(peer_table_options options);

    /// Adds a daemon's datagram address from the store, a seed or a peer.
    void add_address(std::string const& address, time_point now);
    /// Returns true for a daemon or a start of it not heard of before.
    bool on_heartbeat(heartbeat const& message, time_point now);

    /// Whether this daemon should follow the store itself.
    bool should_watch(time_point now) const;
    /// A live peer whose copy of the store is newer than `revision`.
    std::optional<heartbeat> peer_with_newer_copy(std::uint64_t revision,
                                                  time_point now) const;

    std::vector<std::string> addresses() const;
    /// Live daemons of this failure domain.
    std::vector<std::string> same_domain_addresses(time_point now) const;
    /// Live daemons of each other failure domain.
    std::map<failure_domain_id, std::vector<std::string>>
    other_domain_addresses(time_point now) const;
    /// In this failure domain, or in an unknown one.
    bool in_same_domain(std::string const& address) const;
    std::size_t live_count(time_point now) const;
    /// Daemons that were heard, or named by the store or a peer, and not
    /// forgotten since.
    std::size_t known_count() const { return peers_.size(); }
    void forget_silent(time_point now);

private:
    struct entry {
        heartbeat last_heartbeat;
        std::optional<time_point> heartbeat_at;
        time_point named_at{};
    };

    bool in_same_domain(entry const& entry) const;
    bool heartbeat_within(entry const& entry, time_point now,
                          duration age) const;
    bool is_live(entry const& entry, time_point now) const;

    peer_table_options options_;
    std::map<std::string, entry> peers_;
};

} // namespace yuccabeam::gateway
