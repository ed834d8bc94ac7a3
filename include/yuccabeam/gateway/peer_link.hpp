#pragma once

#include "yuccabeam/gateway/message_history.hpp"
#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/gateway/peer_table.hpp"
#include "yuccabeam/gateway/relay_tree.hpp"
#include "yuccabeam/placement/target_table.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

/// Largest datagram between daemons; a larger one might be fragmented.
inline constexpr std::size_t max_datagram_bytes = 1'200;
/// Targets in one activity message: about as many as fit into a datagram.
inline constexpr std::size_t max_activities_per_message = 35;

struct peer_link_options {
    std::string address; ///< of the datagram socket, `IP:port`
    std::string control; ///< this daemon's control address
    failure_domain_id failure_domain;
    std::size_t failure_domains = 1;
    yuccabeam::incarnation incarnation = 0;
    /// Processor share of this VM in percent of a core.
    std::uint32_t processor_percent = 0;
};

struct peer_link_callbacks {
    /// Sends a datagram to each address.
    std::function<void(std::vector<std::uint8_t> const& bytes,
                       std::vector<std::string> const& addresses)>
        send;
    /// Fills the fields of a heartbeat other than the sender's identity.
    std::function<void(heartbeat&)> fill_heartbeat;
    std::function<void(heartbeat const&, bool is_new)> on_heartbeat;
    /// Returns true if the changes were missing in this daemon's copy.
    std::function<bool(change_message const&)> on_changes;
    std::function<placement::credit_grant(credit_request_message const&)>
        on_credit_request;
    std::function<void(credit_grant_message const&)> on_credit_grant;
    std::function<void(codec::message_fault)> on_rejected;
    std::function<void(quota_request_message const&)> on_quota_request{};
    std::function<void(quota_grant_message const&)> on_quota_grant{};
    std::function<void(quota_release_message const&)> on_quota_release{};
};

/// Numbers of datagrams by kind of message, indexed like `peer_message`.
struct peer_link_counters {
    std::array<std::uint64_t, std::variant_size_v<peer_message>> sent{};
    std::array<std::uint64_t, std::variant_size_v<peer_message>> received{};
};

/// The messages between the daemons of a fleet. It has no socket: `send` and
/// `receive` connect it to one.
///
/// In a small fleet every daemon sends its loads and notices to the others
/// itself. In a large one (`peer_table::uses_relays`), notices go to the
/// daemons of the failure domain, and a relay in each domain sums the loads of
/// its subscribers, distributes the sums, and exchanges notices and loads with
/// the relays of the other domains (decision 0014).
class peer_link {
public:
    /// Loads and notices of peers are applied to `targets`.
    peer_link(peer_link_options options, placement::target_table& targets,
              peer_link_callbacks callbacks);

    /// Handles a received datagram.
    void receive(std::span<std::uint8_t const> bytes, time_point now);
    /// Sends what is due.
    void tick(time_point now);

    /// Sends a heartbeat immediately to the known daemons of this failure
    /// domain and to those whose failure domain is unknown.
    void announce_to_domain(time_point now);
    /// Notifies every known daemon that this one is shutting down, and stops
    /// heartbeats: a later one would make the peers add this daemon again.
    void send_leaving(time_point now);

    /// Sends the notice to all daemons, through relays in a large fleet.
    void broadcast(placement::target_notice const& notice, time_point now);
    void request_credit(service_id const& service,
                        placement::addressed_credit_request const& due);
    /// Sends a message of the quotas, which have no way through relays.
    void send(peer_message const& message, std::string const& address);
    /// Reports this daemon's requests in flight at a target to its failure
    /// domain: immediately, or batched while the previous report is recent.
    void report_activity(placement::target_activity const& activity,
                         time_point now);
    /// Forwards changes of the store to the other daemons. Of changes too large
    /// for a datagram it sends the small ones and a heartbeat with the new
    /// revision, and the peers pull the others.
    void forward_changes(mirror::store_changes const& changes, time_point now);

    peer_table& table() { return table_; }
    peer_table const& table() const { return table_; }
    relay_tree const& relays() const { return relays_; }
    peer_link_counters const& counters() const { return counters_; }

private:
    struct known_relay {
        std::string address;
        time_point heard_at{};
    };

    void send(peer_message const& message,
              std::vector<std::string> const& addresses);

    heartbeat own_heartbeat();
    void send_heartbeats(std::vector<std::string> const& addresses);
    std::vector<std::string> same_domain_and_samples(time_point now);
    void forward_small_changes(change_message message,
                               std::vector<std::string> const& receivers);

    void report_directly(placement::target_activity const& activity,
                         time_point now);
    void send_activity(time_point now);
    void send_domain_activity(time_point now);
    void select_relay(time_point now);
    void send_loads(time_point now);
    void report_to_relay(time_point now);
    void distribute(time_point now);
    void distribute(peer_message const& message, time_point now);
    void send_domain_activity_to_relays(time_point now);
    std::vector<std::string> other_relays(time_point now) const;
    bool is_root() const { return !relays_.relay(); }

    void handle(heartbeat const& message, time_point now);
    void handle(target_notice_message const& message, time_point now);
    void handle(change_message const& message, time_point now);
    void handle(activity_message const& message, time_point now);
    void handle(load_report_message const& message, time_point now);
    void handle(domain_activity_message const& message, time_point now);
    void handle(domain_load_message const& message, time_point now);
    void handle(credit_request_message const& message, time_point now);
    void handle(credit_grant_message const& message, time_point now);
    void handle(quota_request_message const& message, time_point now);
    void handle(quota_grant_message const& message, time_point now);
    void handle(quota_release_message const& message, time_point now);

    peer_link_options options_;
    placement::target_table& targets_;
    peer_link_callbacks callbacks_;
    peer_table table_;
    relay_tree relays_;
    peer_link_counters counters_;
    bool leaving_ = false;
    time_point next_heartbeat_{};
    time_point next_other_domains_heartbeat_{};

    // Direct exchange.
    std::map<target_id, placement::target_activity> activity_;
    time_point next_activity_{};
    std::uint64_t domain_activity_round_ = 0;

    // Exchange through relays.
    time_point next_load_report_{};
    time_point next_distribution_{};
    time_point distributed_at_{};
    time_point next_load_refresh_{};
    std::vector<placement::target_notice> undistributed_notices_;
    std::map<failure_domain_id, known_relay> other_relays_;
    message_history notices_seen_;
    std::uint64_t next_notice_number_ = 0;

    time_point next_domain_activity_{};
};

} // namespace yuccabeam::gateway
