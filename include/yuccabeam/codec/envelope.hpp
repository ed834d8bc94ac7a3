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

/// Largest datagram. With the IP and UDP headers and one tunnel header it fits
/// into one frame on every link between VMs, so it is not fragmented.
inline constexpr std::size_t max_datagram_bytes = 1200;
inline constexpr std::uint8_t envelope_version = 1;

/// Name and secret key that all daemons of a deployment share.
struct deployment_key {
    std::string deployment;
    std::string secret;
};

enum class drop_reason : std::uint8_t {
    oversized,
    wrong_key, ///< the HMAC doesn't match; nothing is parsed
    malformed,
    wrong_version,
    wrong_deployment,
    unknown_kind,
    out_of_range,
    stale_incarnation, ///< lower than the sender's latest one
    replayed           ///< counter used before, or older than the window
};
inline constexpr std::size_t drop_reason_count = 9;

std::string_view to_string(drop_reason reason);

/// A decoded message and its authenticated sender.
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

    /// Fails with `invalid_input` if the datagram would be too large. The
    /// sender of a large table splits it with the help of `fits`.
    result<bytes> seal(message const& value);

    /// Whether `seal` would accept the message.
    bool fits(message const& value) const;

    /// To be called after `membership::state` raised its incarnation.
    void set_incarnation(incarnation start);

private:
    bytes header(message const& value, std::uint64_t counter) const;

    deployment_key key_;
    daemon_id sender_;
    incarnation incarnation_;
    std::uint64_t counter_ = 0;
};

/// Authenticates and decodes envelopes, and counts dropped ones by reason.
class opener {
public:
    /// Keeps replay windows for up to `max_senders` senders.
    explicit opener(deployment_key key, std::size_t max_senders = 8192);

    std::variant<authenticated_message, drop_reason> open(bytes_view datagram);

    std::uint64_t dropped(drop_reason reason) const;

private:
    deployment_key key_;
    replay_guard replays_;
    std::array<std::uint64_t, drop_reason_count> dropped_{};
};

} // namespace yuccabeam::codec
