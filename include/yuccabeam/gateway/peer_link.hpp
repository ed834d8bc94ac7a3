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

/// How often a daemon sends heartbeats.
struct heartbeat_periods {
    duration same_domain = std::chrono::seconds(1); ///< to its failure domain
    /// To the other failure domains: bytes between them are paid for, and what
    /// they need is the fleet's size and its requests.
    duration other_domains = std::chrono::seconds(3);
};

struct peer_link_options {
    std::string address; ///< datagrams, `IP:port`
    std::string control; ///< this daemon's control address
    failure_domain_id failure_domain;
    std::size_t failure_domains = 1;
    yuccabeam::incarnation incarnation = 0;
    heartbeat_periods periods = {};
};

struct peer_link_callbacks {
    /// Fills what a heartbeat tells beyond the sender's identity.
    std::function<void(heartbeat&)> fill_heartbeat;
    std::function<void(heartbeat const&, bool is_new)> on_heartbeat;
    std::function<void(target_notice_message const&)> on_target_notice;
    std::function<void(change_message const&)> on_changes;
    std::function<void(activity_message const&)> on_activity;
    std::function<placement::credit_grant(credit_request_message const&)>
        on_credit_request;
    std::function<void(credit_grant_message const&)> on_credit_grant;
    std::function<void(domain_activity_message const&)> on_domain_activity;
    /// What the daemons of this failure domain have at targets.
    std::function<std::vector<placement::target_activity>()> domain_activity;
    std::function<void()> on_malformed;
};

/// Messages between the daemons of a fleet.
class peer_link {
public:
    peer_link(peer_link_options options, peer_link_callbacks callbacks);

    /// Binds the socket. Fails when the address is taken.
    result<void> open(asio::io_context& context);

    /// Sends heartbeats that are due.
    void tick(time_point now);
    /// Tells every daemon this daemon's state at once.
    void announce(time_point now);
    /// The same for the daemons of its failure domain.
    void announce_to_domain(time_point now);
    /// Tells every daemon that this one ends. No heartbeat follows, as the
    /// others would take it for a daemon that is back.
    void send_leaving(time_point now);

    void tell(placement::target_notice const& notice);
    void request_credit(service_id const& service,
                        placement::addressed_credit_request const& due);
    /// Tells the daemons of this failure domain what this one has at a
    /// target: at once, or with the next ones when it has just told some.
    void report_activity(placement::target_activity const& activity,
                         time_point now);
    /// Passes changes of the store on; those too large for a datagram are
    /// only announced, and the peers ask for them.
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
