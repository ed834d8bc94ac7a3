#include "yuccabeam/values/key_value_text.hpp"

#include <algorithm>

namespace yuccabeam {

namespace {

// Consumes the value at the start of `rest`. Returns `std::nullopt` for an
// unterminated quote.
std::optional<std::string> take_value(std::string_view& rest) {
    if (!rest.starts_with('"')) {
        auto const end = std::min(rest.find(' '), rest.size());
        std::string value(rest.substr(0, end));
        rest.remove_prefix(end);
        return value;
    }
    std::string value;
    for (std::size_t i = 1; i < rest.size(); ++i) {
        if (rest[i] == '"') {
            rest.remove_prefix(i + 1);
            return value;
        }
        if (rest[i] == '\\' && i + 1 < rest.size())
            ++i;
        value += rest[i];
    }
    return std::nullopt;
}

} // namespace

std::string quoted_value(std::string_view value) {
    if (!value.empty() && value.find_first_of(" \"=\n\r") == std::string::npos)
        return std::string(value);
    std::string text = "\"";
    for (char const c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += c == '\n' || c == '\r' ? ' ' : c;
    }
    return text + "\"";
}

std::optional<std::vector<std::pair<std::string, std::string>>>
parse_key_values(std::string_view line) {
    std::vector<std::pair<std::string, std::string>> out;
    while (!line.empty()) {
        auto const equals = line.find('=');
        if (equals == 0 || equals == std::string_view::npos ||
            line.substr(0, equals).find(' ') != std::string_view::npos)
            return std::nullopt;
        std::string key(line.substr(0, equals));
        line.remove_prefix(equals + 1);
        auto value = take_value(line);
        if (!value)
            return std::nullopt;
        out.emplace_back(std::move(key), std::move(*value));
        if (!line.empty() && line.front() != ' ')
            return std::nullopt;
        line.remove_prefix(line.empty() ? 0 : 1);
    }
    return out;
}

} // namespace yuccabeam
