#pragma once

#include "yuccabeam/values/json_reader.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace yuccabeam::membership {

/// Settings of the failure detector.
struct options {
    /// Time between two probes that a daemon sends.
    duration probe_period = std::chrono::seconds(1);
    /// Time to wait for a direct ack before indirect probes are sent. The
    /// latency between failure domains is up to 5 ms; the rest allows for a
    /// busy peer.
    duration probe_timeout = std::chrono::milliseconds(300);
    /// Daemons asked to probe a member that did not acknowledge a ping.
    std::uint32_t indirect_probes = 3;
    /// The minimum suspicion timeout is this many probe periods times log10 of
    /// the fleet size.
    std::uint32_t suspicion_factor = 3;
    /// Maximum suspicion timeout, as a multiple of the minimum.
    std::uint32_t suspicion_max_factor = 3;
    /// Independent confirmations that reduce the timeout to the minimum.
    std::uint32_t suspicion_confirmations = 3;
    /// An update is transmitted this many times log10 of the fleet size.
    std::uint32_t retransmit_factor = 4;
    /// Maximum bytes of updates in one message. With this limit, two messages
    /// sent and two received each second stay below 2 KB/s.
    std::size_t update_bytes = 320;
    /// Maximum bytes of updates in an ack to a daemon that just joined.
    std::size_t join_bytes = 720;
    /// Highest value of the local health counter.
    std::uint32_t max_local_health = 8;
    /// Time between two pings to dead members.
    duration dead_probe_period = std::chrono::seconds(3);
    /// Time after which the record of a dead member that the VM list doesn't
    /// name is removed.
    duration forget_after = std::chrono::minutes(10);

    bool operator==(options const&) const = default;
};

/// Reads the fields `probe_period_ms`, `probe_timeout_ms`,
/// `indirect_probes`, `suspicion_factor`, `dead_probe_period_ms` and
/// `forget_after_ms`; missing ones keep their defaults.
options parse_options(json_reader& reader);

} // namespace yuccabeam::membership
