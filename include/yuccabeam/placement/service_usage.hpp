#pragma once

#include "yuccabeam/placement/target_table.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace yuccabeam::placement {

/// Numbers of the registered targets of one service, without those that are
/// leaving, replaced or vanished.
struct service_usage {
    std::size_t targets = 0;
    std::size_t suspected = 0;
    std::size_t unreachable = 0;
    std::size_t full = 0;
    /// Targets without a known request for the limit or longer.
    std::size_t idle = 0;
    std::size_t idle_suspected = 0; ///< of these, suspected
    /// The same for targets of the daemon's failure domain, for which all
    /// requests are known.
    std::size_t domain_targets = 0;
    std::size_t domain_idle = 0;
    std::size_t domain_idle_suspected = 0;
    duration longest_domain_idle{};

    bool operator==(service_usage const&) const = default;
};

/// Summarises the targets of each service; `idle_limit` is the time without a
/// request after which a target counts as idle.
std::map<service_id, service_usage>
usage_by_service(std::vector<target_snapshot> const& snapshots,
                 duration idle_limit);

} // namespace yuccabeam::placement
