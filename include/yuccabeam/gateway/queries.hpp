#pragma once

#include "yuccabeam/placement/target_table.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::gateway {

/// Snapshot of a daemon's state for operators' queries.
struct daemon_state {
    std::string vm;
    std::string failure_domain;
    bool ready = false;
    bool stopping = false;
    std::uint64_t policy_revision = 0; ///< 0: none yet
    duration policy_age{};             ///< time since it came into force
    std::size_t routes = 0;
    std::uint64_t store_revision = 0;
    std::size_t peers = 0; ///< daemons with a recent heartbeat
    std::vector<placement::target_snapshot> targets;
    time_point now{};
};

/// Answers a JSON-RPC 2.0 request of `yuccabeamctl`: `status`,
/// `explain_config`, and `explain_target` and `explain_service` with the
/// parameter `id`. A result has human-readable `text` and `data` with the same
/// facts, or `error`.
std::string answer_query(std::string_view request, daemon_state const& state);

} // namespace yuccabeam::gateway
