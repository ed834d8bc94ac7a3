#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam {

struct ip_and_port {
    std::string host; ///< a numeric IP address, without brackets
    std::uint16_t port = 0;
    /// The host is the wildcard address `0.0.0.0` or `::`, which is valid for
    /// listening but not as a destination.
    bool any_host = false;

    bool operator==(ip_and_port const&) const = default;
};

/// Parses `IPv4:port` or `[IPv6]:port` with a port from 1 to 65535. Returns
/// `std::nullopt` for any other text; host names are not resolved.
std::optional<ip_and_port> parse_ip_address(std::string_view text);

} // namespace yuccabeam
