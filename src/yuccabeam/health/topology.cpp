#include "yuccabeam/health/topology.hpp"

#include <algorithm>

namespace yuccabeam::health {

namespace {

template <class Range, class Key>
std::optional<std::uint32_t> index_of(Range const& range, std::string_view id,
                                      Key key) {
    auto const found =
        std::lower_bound(range.begin(), range.end(), id,
                         [&](auto const& item, std::string_view wanted) {
                             return std::string_view(key(item)) < wanted;
                         });
    if (found == range.end() || key(*found) != id)
        return std::nullopt;
    return static_cast<std::uint32_t>(found - range.begin());
}

} // namespace

service_topology topology_of(snapshot const& config, service_id const& id) {
    service_topology topology;
    topology.id = id;
    for (auto const& service : config.asset_register.services)
        if (service.id == id)
            topology.floor_slots = service.floor_slots;
    for (auto const& target : config.asset_register.targets)
        if (target.service == id)
            topology.targets.push_back(
                {target.id, target.failure_domain, target.slots});
    for (auto const& route : config.rules.routes)
        if (route.service == id)
            topology.kinds.push_back(route.id);
    std::sort(topology.targets.begin(), topology.targets.end());
    std::sort(topology.kinds.begin(), topology.kinds.end());
    return topology;
}

std::optional<std::uint32_t> target_index(service_topology const& topology,
                                          std::string_view id) {
    return index_of(topology.targets, id,
                    [](target_info const& target) -> std::string const& {
                        return target.id.value;
                    });
}

std::optional<std::uint32_t> kind_index(service_topology const& topology,
                                        std::string_view id) {
    return index_of(
        topology.kinds, id,
        [](route_id const& kind) -> std::string const& { return kind.value; });
}

} // namespace yuccabeam::health
