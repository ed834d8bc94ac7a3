#include "yuccabeam/placement/expected_value.hpp"

#include <algorithm>
#include <cmath>

namespace yuccabeam::placement {

namespace {

// A request beyond the slots waits until the requests ahead of it have ended.
duration time_to_answer(target_conditions const& target,
                        request_conditions const& request,
                        expected_value_options const& options) {
    double const slots = std::max<std::uint32_t>(target.slots, 1);
    double const ahead = std::max(0.0, target.in_flight + 1 - slots);
    double const factor = target.cold ? options.cold_factor : 1;
    return from_seconds(to_seconds(request.service_time) * factor *
                        (1 + ahead / slots));
}

double crossing_cost(request_conditions const& request,
                     expected_value_options const& options) {
    return std::max(options.least_crossing_cost,
                    request.answer_mb * options.crossing_cost_per_mb);
}

} // namespace

double probability_in_time(duration expected, duration limit, double spread) {
    if (expected <= duration{})
        return 1;
    if (limit <= duration{})
        return 0;
    double const distance =
        std::log(to_seconds(limit) / to_seconds(expected)) / spread;
    // Logistic approximation of the normal distribution.
    constexpr double scale = 1.7;
    return 1 / (1 + std::exp(-scale * distance));
}

double expected_value(target_conditions const& target,
                      request_conditions const& request,
                      expected_value_options const& options) {
    auto const time = time_to_answer(target, request, options);
    double const in_time =
        probability_in_time(time, request.time_left, options.spread);
    double const in_objective =
        probability_in_time(time, request.objective_left, options.spread);
    double const answer =
        options.late_worth * in_time + (1 - options.late_worth) * in_objective;
    double const failure_cost = request.retryable ? options.repeat_cost : 1;
    double const used =
        target.in_flight / std::max<std::uint32_t>(target.slots, 1);
    return answer * (1 - target.risk * failure_cost) *
               std::exp(-options.load_cost * used * used) -
           (target.crossing ? crossing_cost(request, options) : 0);
}

} // namespace yuccabeam::placement
