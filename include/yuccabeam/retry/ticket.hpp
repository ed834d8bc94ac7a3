#pragma once

#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam::retry {

/// Permission to run a request once. The daemon that issued it, its owner,
/// records its use.
struct ticket {
    daemon_id owner;
    yuccabeam::incarnation incarnation = 0;
    std::uint64_t serial = 0;

    auto operator<=>(ticket const&) const = default;
};

/// Text form `daemon_id.incarnation.serial.mac`; the MAC is HMAC-SHA256 with
/// the deployment's key, truncated to 128 bits, in hexadecimal.
std::string format_ticket(ticket const& ticket, std::string_view key);

/// Returns whether an `Idempotency-Key` has the form of a ticket. A key of this
/// form with a wrong MAC is refused rather than used as an ordinary key.
bool looks_like_ticket(std::string_view text);

/// Parses and verifies a ticket. Fails with `invalid_input` if the text is not
/// a ticket, with `rejected` if the MAC is wrong.
result<ticket> parse_ticket(std::string_view text, std::string_view key);

enum class ticket_location : std::uint8_t {
    local,  ///< look it up in this daemon's `ticket_table`
    remote, ///< relay to the owner
    lost    ///< the owner's record is lost: answer unknown, don't run
};

/// Finds the daemon that handles a request with this ticket. `known` is the
/// owner's incarnation in this daemon's member list, if the owner is alive
/// there.
ticket_location locate_ticket(ticket const& ticket, daemon_id const& self,
                              incarnation self_incarnation,
                              std::optional<incarnation> known);

} // namespace yuccabeam::retry
