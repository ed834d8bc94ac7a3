#pragma once

#include "yuccabeam/gateway/formats.hpp"

#include <optional>
#include <string>

namespace yuccabeam::gateway {

struct program_options {
    std::string settings_path;
    /// Reports the faults of the settings and ends.
    bool check_only = false;
};

/// Reads `--settings FILE` and `--check`; `default_path` is used without the
/// first. Empty when an argument is wrong.
std::optional<program_options>
parse_arguments(int argc, char const* const* argv, std::string default_path);

/// Runs a gateway until a stop signal; returns the process's exit status.
///
/// SIGTERM and SIGINT shut down gracefully, SIGHUP reads the settings again.
int run_program(program_options const& options, formats formats);

} // namespace yuccabeam::gateway
