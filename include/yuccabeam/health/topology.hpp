#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/snapshot.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace yuccabeam::health {

struct target_info {
    target_id id;
    failure_domain_id failure_domain;
    std::uint32_t slots = 6;

    auto operator<=>(target_info const&) const = default;
};

/// Targets and routes of one service. Positions in `targets` and `kinds` are
/// the indices used on the request path; the kind of a request is the route
/// that it matched.
struct service_topology {
    service_id id;
    std::uint32_t floor_slots = 0;
    std::vector<target_info> targets; ///< sorted by id
    std::vector<route_id> kinds;      ///< sorted

    auto operator<=>(service_topology const&) const = default;
};

/// Extracts the topology of a service from a configuration.
service_topology topology_of(snapshot const& config, service_id const& id);

/// Index of a target or kind, or `std::nullopt` for an unknown name.
std::optional<std::uint32_t> target_index(service_topology const& topology,
                                          std::string_view id);
std::optional<std::uint32_t> kind_index(service_topology const& topology,
                                        std::string_view id);

} // namespace yuccabeam::health
