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
    /// Daemons that watch the store, over all failure domains.
    std::size_t watchers = 3;
    /// Other daemons take over from a watcher without a heartbeat for this
    /// long.
    duration watcher_timeout = std::chrono::milliseconds(1'100);
    /// A daemon without a heartbeat for this long is not live. The timeout is
    /// longer for other failure domains, whose heartbeats are less frequent.
    duration peer_timeout = std::chrono::milliseconds(2'500);
    duration other_domain_peer_timeout = std::chrono::seconds(7);
    /// A daemon is removed from the table after this time without a heartbeat
    /// and without being named by the store or a peer.
    duration forget_after = std::chrono::seconds(60);
};

/// Membership table of the other daemons, built from their heartbeats.
///
/// In each failure domain the live daemons with the lowest addresses watch the
/// store and forward its changes; peers whose last store call failed are passed
/// over. The other daemons watch it themselves only when there was no recent
/// heartbeat of any watcher.
class peer_table {
public:
    explicit peer_table(peer_table_options options);

    /// Adds a daemon's datagram address that the store or a peer has named.
    void add_address(std::string const& address, time_point now);
    /// Updates a daemon's entry, or removes it if the daemon is leaving.
    /// Returns true for the first heartbeat of a daemon or of a new
    /// incarnation.
    bool on_heartbeat(heartbeat const& message, time_point now);

    /// Whether this daemon should watch the store itself.
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
    /// Returns true also when the address's failure domain is unknown.
    bool in_same_domain(std::string const& address) const;
    std::size_t live_count(time_point now) const;
    /// Number of entries: daemons known from a heartbeat, the store or a peer
    /// and not removed since.
    std::size_t known_count() const { return peers_.size(); }
    /// Removes the daemons that have sent no heartbeat and were not named by
    /// the store or a peer for `forget_after`.
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
