#include "yuccabeam/values/ip_address.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace yuccabeam {

namespace {

bool read_port(std::string_view text, std::uint16_t& port) {
    auto const* end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, port);
    return error == std::errc() && rest == end && port != 0;
}

// Parses a host of the given address family. Rejects text with a null byte, at
// which `inet_pton` would truncate it; `inet_pton` rejects empty text.
template <class Address>
bool read_host(int family, std::string const& host, ip_and_port& out) {
    Address address;
    if (host.find('\0') != std::string::npos ||
        inet_pton(family, host.c_str(), &address) != 1)
        return false;
    auto const* bytes = reinterpret_cast<unsigned char const*>(&address);
    out.any_host = std::all_of(bytes, bytes + sizeof address,
                               [](unsigned char byte) { return byte == 0; });
    out.host = host;
    return true;
}

} // namespace

std::optional<ip_and_port> parse_ip_address(std::string_view text) {
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    ip_and_port out;
    if (!read_port(text.substr(colon + 1), out.port))
        return std::nullopt;
    auto const host = text.substr(0, colon);
    bool const bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    bool const read =
        bracketed
            ? read_host<in6_addr>(
                  AF_INET6, std::string(host.substr(1, host.size() - 2)), out)
            : read_host<in_addr>(AF_INET, std::string(host), out);
    if (!read)
        return std::nullopt;
    return out;
}

} // namespace yuccabeam
