#include "yuccabeam/placement/service_usage.hpp"

#include <algorithm>

namespace yuccabeam::placement {

namespace {

void add(service_usage& to, target_snapshot const& target,
         duration idle_limit) {
    bool const idle = target.idle >= idle_limit;
    ++to.targets;
    to.suspected += target.suspected;
    to.unreachable += target.unreachable;
    to.full += target.full;
    to.idle += idle;
    to.idle_suspected += idle && target.suspected;
    if (!target.own_domain)
        return;
    ++to.domain_targets;
    to.domain_idle += idle;
    to.domain_idle_suspected += idle && target.suspected;
    to.longest_domain_idle = std::max(to.longest_domain_idle, target.idle);
}

} // namespace

std::map<service_id, service_usage>
usage_by_service(std::vector<target_snapshot> const& snapshots,
                 duration idle_limit) {
    std::map<service_id, service_usage> out;
    for (auto const& target : snapshots)
        if (!target.leaving && !target.replaced && !target.vanished)
            add(out[target.service], target, idle_limit);
    return out;
}

} // namespace yuccabeam::placement
