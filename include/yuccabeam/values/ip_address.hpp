#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam {

struct ip_and_port {
    std::string host; ///< an IP number, without brackets
    std::uint16_t port = 0;
    bool any_host = false; ///< `0.0.0.0` or `::`: to listen at, not to reach

    bool operator==(ip_and_port const&) const = default;
};

/// Reads `IP:port` or `[IPv6]:port` with a port from 1 to 65535. Empty for
/// any other text; names are not looked up.
std::optional<ip_and_port> parse_ip_address(std::string_view text);

} // namespace yuccabeam
