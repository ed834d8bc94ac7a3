#pragma once

#include "yuccabeam/values/json_reader.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace yuccabeam::membership {

/// Settings of failure detection among daemons.
struct options {
    /// Time between two probes of a daemon.
    duration probe_period = std::chrono::seconds(1);
    /// Wait for a direct ack before other daemons are asked. Failure domains
    /// are up to 5 ms apart; the rest allows for a busy peer.
    duration probe_timeout = std::chrono::milliseconds(300);
    /// Daemons asked to probe a member that did not answer.
    std::uint32_t indirect_probes = 3;
    /// Shortest suspicion is this many periods times log10 of the fleet size.
    std::uint32_t suspicion_factor = 3;
    /// Longest suspicion, as a multiple of the shortest one.
    std::uint32_t suspicion_max_factor = 3;
    /// Independent suspicions that shorten the wait to the shortest one.
    std::uint32_t suspicion_confirmations = 3;
    /// An update is sent this many times log10 of the fleet size.
    std::uint32_t retransmit_factor = 4;
    /// Bytes of updates in one message. Two messages sent and two received
    /// each second stay below 2 KB/s with it.
    std::size_t update_bytes = 320;
    /// Bytes of updates in an answer to a daemon that just joined.
    std::size_t join_bytes = 720;
    /// Highest value of the local health counter.
    std::uint32_t max_local_health = 8;
    /// Time between two pings to members that count as dead.
    duration dead_probe_period = std::chrono::seconds(3);
    /// Dead members that the VM list doesn't name are forgotten after this.
    duration forget_after = std::chrono::minutes(10);

    bool operator==(options const&) const = default;
};

/// Reads the fields `probe_period_ms`, `probe_timeout_ms`,
/// `indirect_probes`, `suspicion_factor`, `dead_probe_period_ms` and
/// `forget_after_ms`; missing ones keep their defaults.
options parse_options(json_reader& reader);

} // namespace yuccabeam::membership
