#pragma once

#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam::retry {

/// Permission for one run of a request, kept by the daemon that issued it.
struct ticket {
    daemon_id owner;
    yuccabeam::incarnation incarnation = 0;
    std::uint64_t serial = 0;

    auto operator<=>(ticket const&) const = default;
};

/// Text form `daemon_id.incarnation.serial.mac`; the MAC is HMAC-SHA256 with
/// the deployment's key, truncated to 128 bits, in hexadecimal.
std::string format_ticket(ticket const& ticket, std::string_view key);

/// True when an `Idempotency-Key` has the form of a ticket. A key of this
/// form with a wrong MAC is refused, not used as a free key.
bool looks_like_ticket(std::string_view text);

/// Parses and verifies a ticket. `invalid_input`: not a ticket; `rejected`:
/// the MAC is wrong.
result<ticket> parse_ticket(std::string_view text, std::string_view key);

enum class ticket_location : std::uint8_t {
    local,  ///< ask this daemon's `ticket_table`
    remote, ///< relay to the owner
    lost    ///< answer unknown, never run
};

/// Where a ticketed request goes. `known` is the owner's incarnation in this
/// daemon's member list, if it is alive there.
ticket_location locate_ticket(ticket const& ticket, daemon_id const& self,
                              incarnation self_incarnation,
                              std::optional<incarnation> known);

} // namespace yuccabeam::retry
