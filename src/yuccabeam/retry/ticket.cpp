#include "yuccabeam/retry/ticket.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <vector>

namespace yuccabeam::retry {

namespace {

constexpr std::size_t mac_bytes = 16;
constexpr std::size_t mac_digits = 2 * mac_bytes;
constexpr std::size_t max_ticket_bytes = 512;

// Domain separation from other messages that use the deployment's key.
constexpr std::string_view mac_purpose = "yuccabeam ticket\n";

std::string mac_of(std::string_view body, std::string_view key) {
    std::string const input = std::string(mac_purpose).append(body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(input.data()), input.size(),
         digest.data(), &length);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (std::size_t i = 0; i < mac_bytes; ++i) {
        out += digits[digest[i] >> 4U];
        out += digits[digest[i] & 15U];
    }
    return out;
}

bool is_lower_hex(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

// Accepts canonical decimal only, so that each ticket has exactly one text.
std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const [at, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || at != end ||
        (text.size() > 1 && text.front() == '0'))
        return std::nullopt;
    return value;
}

/// Removes the last dot and what follows it from `text`; returns the latter.
std::optional<std::string_view> cut_last(std::string_view& text) {
    auto const dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    auto const part = text.substr(dot + 1);
    text = text.substr(0, dot);
    return part;
}

struct ticket_parts {
    ticket value;
    std::string_view body;
    std::string_view mac;
};

// Daemon ids may contain dots, so the fields are split off from the right.
std::optional<ticket_parts> split(std::string_view text) {
    if (text.size() > max_ticket_bytes)
        return std::nullopt;
    auto rest = text;
    auto const mac = cut_last(rest);
    if (!mac || mac->size() != mac_digits ||
        !std::ranges::all_of(*mac, is_lower_hex))
        return std::nullopt;
    auto const body = rest;
    auto const serial_text = cut_last(rest);
    auto const incarnation_text = cut_last(rest);
    if (!serial_text || !incarnation_text || rest.empty())
        return std::nullopt;
    auto const serial = parse_number(*serial_text);
    auto const start = parse_number(*incarnation_text);
    if (!serial || !start)
        return std::nullopt;
    return ticket_parts{
        {daemon_id{std::string(rest)}, *start, *serial}, body, *mac};
}

} // namespace

std::string format_ticket(ticket const& ticket, std::string_view key) {
    std::string body = ticket.owner.value;
    body.append(".")
        .append(std::to_string(ticket.incarnation))
        .append(".")
        .append(std::to_string(ticket.serial));
    auto const mac = mac_of(body, key);
    return body.append(".").append(mac);
}

bool looks_like_ticket(std::string_view text) {
    return split(text).has_value();
}

result<ticket> parse_ticket(std::string_view text, std::string_view key) {
    auto parts = split(text);
    if (!parts)
        return make_fault(fault_code::invalid_input,
                          "not of the form daemon.incarnation.serial.mac");
    auto const expected = mac_of(parts->body, key);
    if (CRYPTO_memcmp(expected.data(), parts->mac.data(), mac_digits) != 0)
        return make_fault(fault_code::rejected, "wrong ticket MAC");
    return std::move(parts->value);
}

ticket_location locate_ticket(ticket const& ticket, daemon_id const& self,
                              incarnation self_incarnation,
                              std::optional<incarnation> known) {
    if (ticket.owner == self)
        return ticket.incarnation == self_incarnation ? ticket_location::local
                                                      : ticket_location::lost;
    // A ticket with a newer incarnation than the known one means that the owner
    // restarted and this daemon has not learned of it yet. The owner decides.
    return known && ticket.incarnation >= *known ? ticket_location::remote
                                                 : ticket_location::lost;
}

} // namespace yuccabeam::retry
