#pragma once

#include "yuccabeam/codec/message.hpp"
#include "yuccabeam/codec/replay_window.hpp"
#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace yuccabeam::codec {

/// Largest datagram. Fits into one frame on every link between VMs, IP and
/// UDP headers and one tunnel included, so nothing is fragmented.
inline constexpr std::size_t max_datagram_bytes = 1200;
inline constexpr std::uint8_t envelope_version = 1;

/// Key and names that all daemons of a deployment share.
struct deployment_key {
    std::string deployment;
    std::string secret;
};

enum class drop_reason : std::uint8_t {
    oversized,
    wrong_key, ///< the HMAC doesn't match; nothing was parsed
    malformed,
    wrong_version,
    wrong_deployment,
    unknown_kind,
    out_of_range,
    stale_incarnation, ///< an earlier process of the sender
    replayed           ///< counter seen before, or older than the window
};
inline constexpr std::size_t drop_reason_count = 9;

std::string_view to_string(drop_reason reason);

/// An authenticated message.
struct authenticated_message {
    daemon_id sender;
    yuccabeam::incarnation incarnation = 0;
    std::uint64_t counter = 0;
    codec::message message;

    bool operator==(authenticated_message const&) const = default;
};

/// Writes envelopes `[version, deployment, sender, incarnation, counter,
/// payload, HMAC-SHA256]`. The HMAC covers all bytes before it.
class sealer {
public:
    sealer(deployment_key key, daemon_id sender, incarnation start);

    /// Fails with `invalid_input` when the datagram would be too large; the
    /// sender of a large table splits it by what `fits` says.
    result<bytes> seal(message const& value);

    /// Whether `seal` would accept the message.
    bool fits(message const& value) const;

    /// After `membership::state` took a higher incarnation.
    void set_incarnation(incarnation start);

private:
    bytes header(message const& value, std::uint64_t counter) const;

    deployment_key key_;
    daemon_id sender_;
    incarnation incarnation_;
    std::uint64_t counter_ = 0;
};

/// Checks and decodes envelopes, and counts the dropped ones by reason.
class opener {
public:
    /// Remembers the counters of up to `max_senders` senders.
    explicit opener(deployment_key key, std::size_t max_senders = 8192);

    std::variant<authenticated_message, drop_reason> open(bytes_view datagram);

    std::uint64_t dropped(drop_reason reason) const;

private:
    deployment_key key_;
    replay_guard replays_;
    std::array<std::uint64_t, drop_reason_count> dropped_{};
};

} // namespace yuccabeam::codec
