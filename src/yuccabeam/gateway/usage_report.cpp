#include "yuccabeam/gateway/usage_report.hpp"

#include <string>
#include <utility>

namespace yuccabeam::gateway {

namespace {

using placement::service_usage;

bool all_in_use(service_usage const& usage) {
    return usage.suspected == 0 && usage.unreachable == 0 && usage.idle == 0;
}

telemetry::log_fields fields_of(service_id const& service,
                                service_usage const& usage) {
    return {
        {"service", service.value},
        {"targets", std::to_string(usage.targets)},
        {"suspected", std::to_string(usage.suspected)},
        {"unreachable", std::to_string(usage.unreachable)},
        {"full", std::to_string(usage.full)},
        {"idle", std::to_string(usage.idle)},
        {"idle_suspected", std::to_string(usage.idle_suspected)},
        {"domain_targets", std::to_string(usage.domain_targets)},
        {"domain_idle", std::to_string(usage.domain_idle)},
        {"domain_idle_suspected", std::to_string(usage.domain_idle_suspected)},
        {"longest_domain_idle_ms",
         std::to_string(to_milliseconds(usage.longest_domain_idle))}};
}

} // namespace

void usage_report::on_tick(placement::target_table const& targets,
                           telemetry::event_log& log, time_point now) {
    if (now < next_)
        return;
    next_ = now + options_.period;
    for (auto const& [service, usage] : placement::usage_by_service(
             targets.snapshots(now), options_.idle_limit))
        if (!all_in_use(usage))
            log.write("service_usage", fields_of(service, usage));
}

void usage_report::set_gauges(placement::target_table const& targets,
                              counters& out, time_point now) const {
    for (auto const& [service, usage] : placement::usage_by_service(
             targets.snapshots(now), options_.idle_limit)) {
        std::pair<char const*, std::size_t> const states[] = {
            {"registered", usage.targets},
            {"suspected", usage.suspected},
            {"unreachable", usage.unreachable},
            {"full", usage.full},
            {"idle", usage.idle},
            {"domain_idle", usage.domain_idle}};
        for (auto const& [state, count] : states)
            out.set_service_targets(service.value, state,
                                    static_cast<double>(count));
    }
}

} // namespace yuccabeam::gateway
