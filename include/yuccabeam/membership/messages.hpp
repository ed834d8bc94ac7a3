#pragma once

#include "yuccabeam/values/ids.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// Peer messages of membership and configuration dissemination. This header
/// depends on values only, so that the codec can include it.
namespace yuccabeam::membership {

using sha256_hash = std::array<std::uint8_t, 32>;

/// Revision and manifest hash of the configuration that a daemon has in force.
struct config_digest {
    yuccabeam::revision revision = 0;
    sha256_hash manifest{};

    auto operator<=>(config_digest const&) const = default;
};

/// In ascending precedence: a later value overrides an earlier one of the same
/// incarnation and counter.
enum class member_status : std::uint8_t { alive, suspect, dead, left };

/// Data that a daemon publishes about itself.
struct member_info {
    yuccabeam::failure_domain_id failure_domain;
    std::string udp_address;  ///< `IP:port` of peer messages
    std::string http_address; ///< `IP:port` of chunk transfers and relays
    bool ready = false;

    auto operator<=>(member_info const&) const = default;
};

/// Record of one daemon, also sent as an update. `counter` orders the updates
/// about one incarnation; only the daemon itself raises it. Updates with a
/// status other than `alive` are sent without `info`.
struct member {
    daemon_id id;
    yuccabeam::incarnation incarnation = 0;
    std::uint32_t counter = 0;
    member_status status = member_status::alive;
    member_info info;
    /// Daemon whose probe failed; only with status `suspect`.
    daemon_id reporter;

    auto operator<=>(member const&) const = default;
};

/// Payload common to `ping` and `ack`.
struct heartbeat {
    member self;
    config_digest config;
    std::vector<member> updates;
    /// Targets that the sender itself observed leaving.
    std::vector<target_id> leaving_targets;

    bool operator==(heartbeat const&) const = default;
};

struct ping {
    std::uint64_t sequence = 0;
    heartbeat beat;

    bool operator==(ping const&) const = default;
};

/// Asks the receiver to ping `subject` on behalf of the sender.
struct ping_req {
    std::uint64_t sequence = 0;
    daemon_id subject;
    std::string subject_address;

    bool operator==(ping_req const&) const = default;
};

/// Answers a `ping` (subject is the sender) or a `ping_req` (subject is the
/// daemon that was pinged; `reached` is false when it did not answer).
struct ack {
    std::uint64_t sequence = 0;
    daemon_id subject;
    bool reached = true;
    heartbeat beat;

    bool operator==(ack const&) const = default;
};

/// Announces the configuration that the sender has in force and whose chunks
/// it serves.
struct config_announce {
    config_digest config;
    std::string http_address;

    bool operator==(config_announce const&) const = default;
};

} // namespace yuccabeam::membership
