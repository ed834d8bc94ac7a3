#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::adapters {

struct http_field {
    std::string name;
    std::string value;

    bool operator==(http_field const&) const = default;
};

using http_fields = std::vector<http_field>;

struct http_request {
    std::string method;
    std::string target; ///< path and query as received
    http_fields fields;
    std::string body;
};

struct http_reply {
    int status = 200;
    http_fields fields;
    std::string body;
};

/// Compares field names, which ignore case.
inline bool same_field_name(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) {
                          return std::tolower(x) == std::tolower(y);
                      });
}

/// True for a character of a token (RFC 9110, section 5.6.2), the only ones
/// that the name of a field may have.
inline bool is_token_character(char c) {
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || others.find(c) != std::string_view::npos;
}

/// True for a character that the value of a field may have: any but control
/// characters, tabs excepted.
inline bool is_value_character(char c) {
    constexpr char first_printable = 0x20;
    constexpr char del = 0x7f;
    auto const byte = static_cast<unsigned char>(c);
    return (byte >= first_printable && byte != del) || c == '\t';
}

inline bool is_field_name(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, is_token_character);
}

inline bool is_field_value(std::string_view text) {
    return std::ranges::all_of(text, is_value_character);
}

/// True for a status code that a response may have.
inline bool is_status(int status) {
    return status >= 100 && status <= 599;
}

/// True if the text holds the beginning of a status line, such as
/// "HTTP/1.1 200". Within a line of a response's head it shows that a response
/// was cut there and another one follows.
inline bool holds_status_line(std::string_view text) {
    constexpr std::string_view pattern = "HTTP/0.0 000"; // 0: any digit
    auto const matches = [](char c, char wanted) {
        return wanted == '0' ? c >= '0' && c <= '9' : c == wanted;
    };
    return std::search(text.begin(), text.end(), pattern.begin(), pattern.end(),
                       matches) != text.end();
}

/// Value of the first field with this name, or an empty text.
inline std::string_view field_value(http_fields const& fields,
                                    std::string_view name) {
    for (auto const& field : fields)
        if (same_field_name(field.name, name))
            return field.value;
    return {};
}

/// Reply with a JSON body.
inline http_reply json_reply(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace yuccabeam::adapters
