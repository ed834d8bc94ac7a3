#pragma once

#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/gateway/peer_table.hpp"
#include "yuccabeam/net/peer_transport.hpp"
#include "yuccabeam/values/fault.hpp"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

/// Targets in one activity message: about as many as fit into a datagram.
inline constexpr std::size_t max_activities_per_message = 35;

/// Heartbeat intervals, by failure domain of the receiver.
struct heartbeat_periods {
    /// To daemons of the sender's failure domain.
    duration same_domain = std::chrono::seconds(1);
    /// To other daemons. Longer, as traffic between failure domains is billed,
    /// and the other domains only need the fleet's size and its request counts.
    duration other_domains = std::chrono::seconds(3);
};

struct peer_link_options {
    std::string address; ///< address of the datagram socket, `IP:port`
    std::string control; ///< this daemon's control address
    failure_domain_id failure_domain;
    std::size_t failure_domains = 1;
    yuccabeam::incarnation incarnation = 0;
    heartbeat_periods periods = {};
};

struct peer_link_callbacks {
    /// Fills the fields of a heartbeat other than the sender's identity.
    std::function<void(heartbeat&)> fill_heartbeat;
    std::function<void(heartbeat const&, bool is_new)> on_heartbeat;
    std::function<void(target_notice_message const&)> on_target_notice;
    std::function<void(change_message const&)> on_changes;
    std::function<void(activity_message const&)> on_activity;
    std::function<placement::credit_grant(credit_request_message const&)>
        on_credit_request;
    std::function<void(credit_grant_message const&)> on_credit_grant;
    std::function<void(domain_activity_message const&)> on_domain_activity;
    /// Requests in flight of this failure domain's daemons by target, the most
    /// loaded targets first. Targets beyond the size of a message are left out.
    std::function<std::vector<placement::target_activity>()> domain_activity;
    std::function<void()> on_malformed;
};

/// Sends and receives the messages between the daemons of a fleet.
class peer_link {
public:
    peer_link(peer_link_options options, peer_link_callbacks callbacks);

    /// Binds the socket. Fails when the address is taken.
    result<void> open(asio::io_context& context);

    /// Sends heartbeats that are due.
    void tick(time_point now);
    /// Sends a heartbeat to every known daemon immediately.
    void announce(time_point now);
    /// Sends a heartbeat immediately to the known daemons of this failure
    /// domain and to those whose failure domain is unknown.
    void announce_to_domain(time_point now);
    /// Notifies every known daemon that this one is shutting down, and stops
    /// heartbeats: a later one would make the peers add this daemon again.
    void send_leaving(time_point now);

    /// Sends the notice to every known daemon.
    void broadcast(placement::target_notice const& notice);
    void request_credit(service_id const& service,
                        placement::addressed_credit_request const& due);
    /// Reports this daemon's requests in flight at a target to its failure
    /// domain: immediately, or batched while the previous report is recent.
    void report_activity(placement::target_activity const& activity,
                         time_point now);
    /// Forwards changes of the store to every known daemon. For changes too
    /// large for a datagram it sends a heartbeat with the new revision
    /// instead, and the peers pull them.
    void forward_changes(mirror::store_changes const& changes, time_point now);

    peer_table& table() { return table_; }
    peer_table const& table() const { return table_; }

private:
    heartbeat own_heartbeat(bool wants_reply) const;
    void send_heartbeats(time_point now, bool to_all_domains);
    void send(std::vector<std::uint8_t> const& bytes,
              std::vector<std::string> const& addresses);
    void send_all(peer_message const& message);
    void send_to_domain(peer_message const& message, time_point now);
    void send_activity(time_point now);
    void send_domain_activity(time_point now);
    void receive(std::span<std::uint8_t const> bytes, time_point now);
    void handle(heartbeat const& message, time_point now);
    void handle(target_notice_message const& message, time_point now);
    void handle(change_message const& message, time_point now);
    void handle(activity_message const& message, time_point now);
    void handle(domain_activity_message const& message, time_point now);
    void handle(credit_request_message const& message, time_point now);
    void handle(credit_grant_message const& message, time_point now);

    peer_link_options options_;
    peer_link_callbacks callbacks_;
    peer_table table_;
    std::unique_ptr<net::peer_transport> transport_;
    bool leaving_ = false;
    time_point next_heartbeat_{};
    time_point next_other_domains_heartbeat_{};
    std::map<target_id, placement::target_activity> activity_;
    time_point next_activity_{};
    time_point next_domain_activity_{};
    std::uint64_t domain_activity_round_ = 0;
};

} // namespace yuccabeam::gateway
