#pragma once

#include <cstdint>
#include <string_view>

namespace yuccabeam::codec {

/// Why the bytes of a message were rejected.
enum class message_fault : std::uint8_t {
    malformed,      ///< not MessagePack, or a field of another type
    unknown_kind,   ///< a kind of message unknown to this version
    out_of_range,   ///< a field outside its limits
    unknown_version ///< a message of another version of the protocol
};

constexpr std::string_view to_string(message_fault fault) {
    switch (fault) {
    case message_fault::malformed:
        return "malformed";
    case message_fault::unknown_kind:
        return "unknown_kind";
    case message_fault::out_of_range:
        return "out_of_range";
    case message_fault::unknown_version:
        return "unknown_version";
    }
    return "unknown";
}

} // namespace yuccabeam::codec
