#pragma once

#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/placement/service_usage.hpp"
#include "yuccabeam/telemetry/event_log.hpp"
#include "yuccabeam/values/time.hpp"

namespace yuccabeam::gateway {

struct usage_report_options {
    duration period = std::chrono::seconds(5);
    /// Time without a request after which a target counts as idle.
    duration idle_limit = std::chrono::seconds(2);
};

/// Periodically logs which targets of each service are out of use.
class usage_report {
public:
    explicit usage_report(usage_report_options options = {})
        : options_(options) {}

    /// Writes a `service_usage` line for each service that has a suspected,
    /// unreachable or idle target, once in a period.
    void on_tick(placement::target_table const& targets,
                 telemetry::event_log& log, time_point now);

    /// Sets the metrics of all services.
    void set_gauges(placement::target_table const& targets, counters& out,
                    time_point now) const;

private:
    usage_report_options options_;
    time_point next_{};
};

} // namespace yuccabeam::gateway
