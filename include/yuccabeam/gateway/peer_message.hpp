#pragma once

#include "yuccabeam/mirror/store_mirror.hpp"
#include "yuccabeam/placement/fleet_budget.hpp"
#include "yuccabeam/placement/target_table.hpp"
#include "yuccabeam/values/ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace yuccabeam::gateway {

/// Sent periodically to every known daemon.
struct heartbeat {
    daemon_id sender;    ///< its datagram address, `IP:port`
    std::string control; ///< its control address
    failure_domain_id failure_domain;
    yuccabeam::incarnation incarnation = 0;
    std::uint64_t store_revision = 0;
    /// Time since that revision was last confirmed to be the store's newest.
    std::chrono::milliseconds copy_age{};
    bool watching = false; ///< watches the store and its last watch succeeded
    bool store_call_failed = false; ///< its last list, watch or check failed
    bool leaving = false;           ///< its process is shutting down
    bool wants_reply = false;       ///< the receiver answers with a heartbeat
    std::map<service_id, placement::budget_report> budgets;

    bool operator==(heartbeat const&) const = default;
};

/// A notice about a target, sent immediately instead of with a heartbeat.
struct target_notice_message {
    daemon_id sender;
    placement::target_notice notice;

    bool operator==(target_notice_message const&) const = default;
};

/// Changes of the store, forwarded by the daemon that read them from it.
struct change_message {
    daemon_id sender;
    std::string control;
    mirror::store_changes changes;

    bool operator==(change_message const&) const = default;
};

/// The sender's requests in flight by target, sent within its failure domain.
struct activity_message {
    daemon_id sender;
    std::vector<placement::target_activity> targets;

    bool operator==(activity_message const&) const = default;
};

/// Requests in flight by target, summed over the sender's failure domain. It is
/// sent to one daemon of each other domain, which forwards it within its own.
struct domain_activity_message {
    daemon_id sender;
    failure_domain_id failure_domain;
    bool forward = false; ///< the receiver forwards it within its own domain
    std::vector<placement::target_activity> targets;

    bool operator==(domain_activity_message const&) const = default;
};

/// Asks the receiver for retry budget of a service.
struct credit_request_message {
    daemon_id sender;
    service_id service;
    placement::credit_request request;

    bool operator==(credit_request_message const&) const = default;
};

struct credit_grant_message {
    daemon_id sender;
    service_id service;
    placement::credit_grant grant;

    bool operator==(credit_grant_message const&) const = default;
};

using peer_message =
    std::variant<heartbeat, target_notice_message, change_message,
                 activity_message, domain_activity_message,
                 credit_request_message, credit_grant_message>;

std::vector<std::uint8_t> encode(peer_message const& message);

/// Returns nothing for bytes that aren't a message of this protocol version.
std::optional<peer_message> decode(std::span<std::uint8_t const> bytes);

/// Encodes changes and known peers as the body of a response to a daemon.
std::string encode_changes(mirror::store_changes const& changes,
                           std::vector<std::string> const& peers);

struct changes_and_peers {
    mirror::store_changes changes;
    std::vector<std::string> peers; ///< datagram addresses
};

std::optional<changes_and_peers> decode_changes(std::string const& body);

} // namespace yuccabeam::gateway
