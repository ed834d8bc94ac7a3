#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace yuccabeam::ctl {

/// Exit codes of `yuccabeamctl`.
enum class exit_code {
    done = 0,
    input_fault = 2, ///< wrong usage, settings, register or rules
    conflict = 3,    ///< another operator changed the same items
    unknown = 4,     ///< the edit may be in force; `settle` finds out
    unreachable = 5, ///< store or daemons did not answer
    not_found = 6    ///< the logs don't tell of the request
};

/// What a command prints and how it ends.
struct outcome {
    exit_code code = exit_code::done;
    std::string text;    ///< for a person
    nlohmann::json data; ///< the same facts for a program
};

} // namespace yuccabeam::ctl
