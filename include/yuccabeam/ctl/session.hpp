#pragma once

#include "yuccabeam/ctl/outcome.hpp"
#include "yuccabeam/ctl/settings.hpp"
#include "yuccabeam/values/ids.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::ctl {

/// One use of the command line tool.
struct invocation {
    std::string command;
    std::vector<std::string> arguments;
    /// Revision that the operator's files start from. Empty: what a file of
    /// `show` names, else the newest one.
    std::optional<revision> base;
    /// Learns the id of an edit before anything is written, so that the
    /// edit can be settled even if the tool is stopped.
    std::function<void(std::string const& edit_id)> announce_edit;
};

/// Help on commands, queries and exit codes.
std::string_view usage();

/// Runs one command. Blocks while store or daemons are asked.
outcome run(settings const& settings, invocation const& invocation);

} // namespace yuccabeam::ctl
