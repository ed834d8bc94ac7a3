#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace yuccabeam::adapters {

struct host_and_port {
    std::string host;
    std::uint16_t port = 0;
};

/// Splits a checked `IP:port`; see `json_reader::ip_address`.
inline host_and_port split_address(std::string const& address) {
    auto const colon = address.rfind(':');
    host_and_port out;
    out.host = address.substr(0, colon);
    if (out.host.size() > 1 && out.host.front() == '[')
        out.host = out.host.substr(1, out.host.size() - 2);
    if (colon != std::string::npos)
        out.port = static_cast<std::uint16_t>(
            std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    return out;
}

} // namespace yuccabeam::adapters
