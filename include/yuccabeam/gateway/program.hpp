#pragma once

#include "yuccabeam/gateway/formats.hpp"

#include <asio/io_context.hpp>
#include <exception>
#include <functional>
#include <optional>
#include <string>

namespace yuccabeam::gateway {

struct program_options {
    std::string settings_path;
    /// Only checks the settings, reports their errors and exits.
    bool check_only = false;
    /// Only checks the configuration in this file, if given.
    std::string policy_path{};
    /// File with the configuration in force, to compare with, if given.
    std::string in_force_path{};
};

/// Parses `--settings FILE`, `--check`, `--check-policy FILE` and `--in-force
/// FILE`; without the first, `default_path` is used. Empty if an argument is
/// invalid.
std::optional<program_options>
parse_arguments(int argc, char const* const* argv, std::string default_path);

/// Runs the event loop until it is stopped or has nothing to do. An exception
/// that leaves a handler is passed to `on_error` and ends that handler only:
/// one malformed message must not end all other requests.
void run_until_stopped(
    asio::io_context& context,
    std::function<void(std::exception const&)> const& on_error);

/// Runs a gateway until a stop signal; returns the process's exit status.
///
/// SIGTERM and SIGINT shut down gracefully, SIGHUP reloads the settings.
int run_program(program_options const& options, formats formats);

} // namespace yuccabeam::gateway
