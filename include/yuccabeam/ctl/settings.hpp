#pragma once

#include "yuccabeam/values/json_reader.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccabeam::ctl {

/// Settings of the command line tool.
struct settings {
    std::string author; ///< recorded with each edit
    std::string store;  ///< key-value service, `IP:port`
    /// Operators' addresses of daemons; the first that answers is asked.
    std::vector<std::string> daemons;
    std::chrono::milliseconds timeout{3'000};

    bool operator==(settings const&) const = default;
};

/// Settings, or every fault of the text.
std::variant<settings, std::vector<json_fault>>
parse_settings(std::string_view text);

} // namespace yuccabeam::ctl
