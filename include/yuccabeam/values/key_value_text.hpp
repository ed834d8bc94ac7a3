#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccabeam {

/// Formats a value for a `key=value` line. Quotes it if it is empty or has
/// spaces, quotes, equals signs or line breaks; line breaks become spaces.
std::string quoted_value(std::string_view value);

/// Parses a line of `key=value` pairs, in order. Returns `std::nullopt` for a
/// malformed line.
std::optional<std::vector<std::pair<std::string, std::string>>>
parse_key_values(std::string_view line);

} // namespace yuccabeam
