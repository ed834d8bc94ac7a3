#pragma once

#include "yuccabeam/codec/message_fault.hpp"
#include "yuccabeam/limits/quota_pool.hpp"
#include "yuccabeam/mirror/store_mirror.hpp"
#include "yuccabeam/placement/fleet_budget.hpp"
#include "yuccabeam/placement/target_table.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccabeam::gateway {

/// The time of an event whose age a heartbeat carries, and earlier by an
/// allowance for the time in transit: an age that daemons pass on to each other
/// would otherwise lose that time at each of them.
time_point time_of_event(std::chrono::milliseconds age, time_point received_at);

/// Ages of the first and the last answer of a period.
struct available_ages {
    std::chrono::milliseconds since{};
    std::chrono::milliseconds until{};

    bool operator==(available_ages const&) const = default;
};

/// Sent periodically to every known daemon.
struct heartbeat {
    daemon_id sender;    ///< its datagram address, `IP:port`
    std::string control; ///< its control address
    failure_domain_id failure_domain;
    yuccabeam::incarnation incarnation = 0;
    std::uint64_t store_revision = 0;
    /// Time since that revision was last confirmed to be the store's newest.
    std::chrono::milliseconds copy_age{};
    /// The last period in which the store answered the fleet, as the age of its
    /// first and last answer; empty if the sender knows of none.
    std::optional<available_ages> store_available;
    bool watching = false; ///< watches the store and its last watch succeeded
    bool store_call_failed = false; ///< its last list, watch or check failed
    bool leaving = false;           ///< its process is shutting down
    /// Processor share of the VM in percent of a core. The VM with the highest
    /// share becomes the relay of its failure domain.
    std::uint32_t processor_percent = 0;
    std::map<service_id, placement::budget_report> budgets;

    bool operator==(heartbeat const&) const = default;
};

/// How far a message still has to travel.
enum class reach : std::uint8_t {
    receiver, ///< the receiver doesn't pass it on
    fleet,    ///< the relay passes it on to the other failure domains
    domain,   ///< the receiver's relay distributes it in its failure domain
    last = domain
};

/// Notices about targets, sent immediately instead of with a heartbeat.
struct target_notice_message {
    daemon_id sender;
    /// Distinguishes the messages of one sender, as more than one relay may
    /// pass on the same one.
    std::uint64_t number = 0;
    gateway::reach reach = reach::receiver;
    std::vector<placement::target_notice> notices;

    bool operator==(target_notice_message const&) const = default;
};

/// Changes of the store, forwarded by the daemon that read them from it.
struct change_message {
    daemon_id sender;
    std::string control;
    bool forward = false; ///< the receiver forwards them within its domain
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

/// Changed loads of the sender and its subscribers, sent to its relay. The
/// sender subscribes to the loads of the failure domain with it.
struct load_report_message {
    daemon_id sender;
    std::vector<placement::target_load> loads;

    bool operator==(load_report_message const&) const = default;
};

/// Changed loads of a failure domain, from the relay to its subscribers. An
/// empty one shows that the relay works.
struct domain_load_message {
    daemon_id sender;
    std::vector<placement::target_load> loads;

    bool operator==(domain_load_message const&) const = default;
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

/// Lends shares of quotas to the receiver, and asks it for one request of an
/// account if one is named.
struct quota_request_message {
    daemon_id sender;
    std::uint64_t number = 0;
    limits::quota_loan loan;
    account_id account; ///< empty: only the loan

    bool operator==(quota_request_message const&) const = default;
};

/// The answer to a `quota_request_message`.
struct quota_grant_message {
    daemon_id sender;
    std::uint64_t number = 0; ///< of the request
    bool granted = false;
    bool decided = false;
    std::chrono::milliseconds retry_after{};

    bool operator==(quota_grant_message const&) const = default;
};

/// The sender grants nothing any more, so that its loans may be used again.
struct quota_release_message {
    daemon_id sender;

    bool operator==(quota_release_message const&) const = default;
};

using peer_message = std::variant<
    heartbeat, target_notice_message, change_message, activity_message,
    domain_activity_message, credit_request_message, credit_grant_message,
    load_report_message, domain_load_message, quota_request_message,
    quota_grant_message, quota_release_message>;

/// Names of the alternatives of `peer_message`, for metrics.
inline constexpr std::array<std::string_view, std::variant_size_v<peer_message>>
    peer_message_names = {"heartbeat",     "target_notice",   "change",
                          "activity",      "domain_activity", "credit_request",
                          "credit_grant",  "load_report",     "domain_load",
                          "quota_request", "quota_grant",     "quota_release"};

std::vector<std::uint8_t> encode(peer_message const& message);

/// Decodes a datagram. Messages of another protocol version are rejected.
std::variant<peer_message, codec::message_fault>
decode(std::span<std::uint8_t const> bytes);

/// Encodes changes and known peers as the body of a response to a daemon.
std::string encode_changes(mirror::store_changes const& changes,
                           std::vector<std::string> const& peers);

struct changes_and_peers {
    mirror::store_changes changes;
    std::vector<std::string> peers; ///< datagram addresses
};

std::optional<changes_and_peers> decode_changes(std::string const& body);

} // namespace yuccabeam::gateway
