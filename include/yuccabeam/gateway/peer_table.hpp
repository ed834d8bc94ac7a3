#pragma once

#include "yuccabeam/gateway/copy_sharing.hpp"
#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/gateway/relay_tree.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

/// Heartbeat intervals, by failure domain of the receiver.
struct heartbeat_periods {
    /// To daemons of the sender's failure domain.
    duration same_domain = std::chrono::seconds(1);
    /// To other daemons. Longer, as traffic between failure domains is billed,
    /// and the other domains only need the fleet's size and its request counts.
    duration other_domains = std::chrono::seconds(3);

    bool operator==(heartbeat_periods const&) const = default;
};

struct peer_table_options {
    daemon_id self;
    failure_domain_id failure_domain;
    std::size_t failure_domains = 1;
    /// Processor share of this VM in percent of a core.
    std::uint32_t processor_percent = 0;
    /// Shortest heartbeat intervals. In a large fleet they are longer: each
    /// daemon receives a heartbeat in `period_per_peer` from its own domain and
    /// as many from the others, so that the cost of a daemon doesn't grow with
    /// its fleet.
    heartbeat_periods shortest_periods = {};
    duration period_per_peer = std::chrono::milliseconds(50);
    /// In a larger fleet, relays distribute what daemons report to each other.
    std::size_t direct_fleet_size = 64;
    /// Daemons that watch the store, over all failure domains.
    std::size_t watchers = 3;
    /// Other daemons take over from a watcher without a heartbeat for this
    /// long.
    duration watcher_timeout = std::chrono::milliseconds(1'100);
    /// Added for each live daemon of the failure domain that is preferred, so
    /// that not all of them take over at once. Meanwhile the age of its copy
    /// makes each daemon check the store.
    duration takeover_delay = std::chrono::milliseconds(50);
    /// A daemon without a heartbeat for this many intervals is not live.
    double live_intervals = 2.5;
    /// A daemon is removed from the table after this time, or some heartbeat
    /// intervals if these are longer, without a heartbeat and without being
    /// named by the store or a peer.
    duration forget_after = std::chrono::seconds(60);
};

/// Membership table of the other daemons, built from their heartbeats.
///
/// In each failure domain the live daemons on the largest VMs, of these the
/// ones with the lowest addresses, watch the store and forward its changes: a
/// large configuration takes long on the link of a small VM. Peers whose last
/// store call failed are passed over. The other daemons watch it themselves
/// only when there was no recent heartbeat of any watcher.
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
    /// The live peers whose copy of the store is newer than `revision`: those
    /// of this failure domain if there are any.
    std::vector<newer_copy> peers_with_newer_copy(std::uint64_t revision,
                                                  time_point now) const;

    std::vector<std::string> addresses() const;
    /// Known daemons of this failure domain and those whose failure domain is
    /// unknown.
    std::vector<std::string> same_domain_addresses() const;
    /// Of these, the live ones.
    std::vector<std::string> live_same_domain_addresses(time_point now) const;
    /// The same with what decides which of them becomes the relay.
    std::vector<relay_candidate> relay_candidates(time_point now) const;
    /// The live daemons of all failure domains with their processor shares.
    std::vector<relay_candidate> live_daemons(time_point now) const;
    /// The daemon of each other failure domain that is probably its relay.
    std::map<failure_domain_id, std::string>
    other_domain_relays(time_point now) const;
    /// Live daemons of each other failure domain.
    std::map<failure_domain_id, std::vector<std::string>>
    other_domain_addresses(time_point now) const;
    /// Returns true also when the address's failure domain is unknown.
    bool in_same_domain(std::string const& address) const;
    std::size_t live_count(time_point now) const;
    /// True if relays distribute what daemons report to each other.
    bool uses_relays() const {
        return known_count() >= options_.direct_fleet_size;
    }
    heartbeat_periods periods() const;
    /// Up to `most` daemons that have not been sent a heartbeat since they were
    /// added or restarted. Each is returned once.
    std::vector<std::string> take_ungreeted(std::size_t most);
    /// Number of entries: daemons known from a heartbeat, the store or a peer
    /// and not removed since.
    std::size_t known_count() const { return peers_.size(); }
    /// Removes the daemons that have sent no heartbeat and were not named by
    /// the store or a peer for `forget_after`.
    void forget_silent(time_point now);

private:
    struct entry {
        heartbeat last_heartbeat; ///< without its budgets
        std::optional<time_point> heartbeat_at;
        time_point named_at{};
        /// Also true while the domain is unknown.
        bool same_domain = true;
    };

    entry& entry_of(std::string const& address);
    void erase(std::string const& address);
    void move_to_domain(entry& entry, failure_domain_id const& domain);
    bool heartbeat_within(entry const& entry, time_point now,
                          duration age) const;
    /// Whether the peer is preferred to this daemon as a watcher.
    bool is_better_watcher(std::string const& address,
                           entry const& entry) const;
    bool is_live(entry const& entry, time_point now) const;

    peer_table_options options_;
    std::map<std::string, entry> peers_;
    std::size_t same_domain_count_ = 0;
    std::set<std::string> ungreeted_;
    /// Newest revision in any heartbeat.
    std::uint64_t newest_revision_ = 0;
};

} // namespace yuccabeam::gateway
