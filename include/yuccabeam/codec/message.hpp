#pragma once

#include "yuccabeam/codec/message_fault.hpp"
#include "yuccabeam/health/messages.hpp"
#include "yuccabeam/membership/messages.hpp"
#include "yuccabeam/values/fault.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace yuccabeam::codec {

using bytes = std::vector<std::uint8_t>;
using bytes_view = std::span<std::uint8_t const>;

/// Any message between daemons over UDP. The position of a kind, from 1, is
/// its number on the wire, so new kinds are added at the end.
using message = std::variant<membership::ping, membership::ping_req,
                             membership::ack, membership::config_announce,
                             health::evidence_report, health::ejection_table>;

/// Encodes a message as a MessagePack array of its kind and its fields.
bytes encode(message const& value);

/// Decodes what `encode` wrote. Extra fields at the end of a message, which
/// a later version may add, are ignored; trailing bytes are malformed.
using decoded = std::variant<message, message_fault>;
decoded decode(bytes_view data);

} // namespace yuccabeam::codec
