#include "yuccabeam/gateway/daemon_options.hpp"

#include "yuccabeam/gateway/peer_link.hpp"

#include <chrono>

namespace yuccabeam::gateway {

yuccabeam::incarnation new_incarnation() {
    return static_cast<yuccabeam::incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

placement::target_table_options
target_table_options_of(settings const& settings) {
    placement::target_table_options out;
    out.leaving_limit = settings.leaving_limit;
    out.domain_report_targets = max_activities_per_message;
    return out;
}

placement::retry_budget_options budget_options_of(settings const& settings) {
    placement::retry_budget_options out;
    out.ratio = settings.repeat_ratio;
    out.fleet_slack = settings.repeat_slack;
    out.window = settings.repeat_window;
    return out;
}

placement::initial_credit initial_credit_of(settings const& settings) {
    return settings.new_fleet ? placement::initial_credit::full
                              : placement::initial_credit::none;
}

drain_options drain_options_of(settings const& settings) {
    drain_options out;
    out.grace = settings.grace;
    return out;
}

} // namespace yuccabeam::gateway
