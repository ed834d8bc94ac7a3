#pragma once

#include "yuccabeam/values/ids.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// Peer messages of membership and configuration spread. The header depends
/// on values only, so that the codec can include it.
namespace yuccabeam::membership {

using sha256_hash = std::array<std::uint8_t, 32>;

/// Configuration that a daemon has in force.
struct config_digest {
    yuccabeam::revision revision = 0;
    sha256_hash manifest{};

    auto operator<=>(config_digest const&) const = default;
};

/// Later states override earlier ones of the same incarnation and counter.
enum class member_status : std::uint8_t { alive, suspect, dead, left };

/// What a daemon says about itself.
struct member_info {
    yuccabeam::failure_domain_id failure_domain;
    std::string udp_address;  ///< `IP:port` of peer messages
    std::string http_address; ///< `IP:port` of chunk transfers and relays
    bool ready = false;

    auto operator<=>(member_info const&) const = default;
};

/// One daemon as its peers describe it. `counter` orders statements about
/// one incarnation; only the daemon itself raises it. Statements other than
/// `alive` travel without `info`.
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

/// Part that `ping` and `ack` share.
struct heartbeat {
    member self;
    config_digest config;
    std::vector<member> updates;
    /// Targets that the sender itself saw leaving.
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

/// Says that the sender has a configuration in force and serves its chunks.
struct config_announce {
    config_digest config;
    std::string http_address;

    bool operator==(config_announce const&) const = default;
};

} // namespace yuccabeam::membership
