#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccabeam {

/// Value of a `key=value` line; quoted when it would break the form.
std::string quoted_value(std::string_view value);

/// Keys and values of a line, in its order. Empty for a line of another form.
std::optional<std::vector<std::pair<std::string, std::string>>>
parse_key_values(std::string_view line);

} // namespace yuccabeam
