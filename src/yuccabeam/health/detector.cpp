#include "yuccabeam/health/detector.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace yuccabeam::health {

namespace {

// The failure rate of the other targets is an estimate. Raising it by a fifth
// keeps the drift of a healthy target negative if the estimate is too low.
constexpr double rate_margin = 1.2;
constexpr double max_p0 = 0.3;
// Under overload, targets fail at different rates. A target must fail three
// times as often as the others to be considered faulty.
constexpr double min_rate_ratio = 3;
constexpr double prior_requests = 50;

} // namespace

likelihood_steps steps_for(detector_options const& options,
                           double others_rate) {
    auto const p0 = std::clamp(others_rate * rate_margin, options.p0, max_p0);
    auto const p1 = std::max(options.p1, p0 * min_rate_ratio);
    return {std::log((1 - p1) / (1 - p0)), std::log(p1 / p0)};
}

likelihood_steps service_fault_steps(detector_options const& options) {
    return {steps_for(options, 0).good, 0};
}

double service_fault_rate() {
    return max_p0;
}

double threshold_of(detector_options const& options) {
    return std::log(options.requests_per_s *
                    to_seconds(options.false_alarm_interval));
}

double smoothed_rate(std::uint32_t bad, std::uint32_t requests, double prior) {
    return (bad + prior * prior_requests) / (requests + prior_requests);
}

void add(cusum& test, evidence_batch const& batch, likelihood_steps steps,
         double cap, time_point now) {
    if (batch.good + batch.bad == 0)
        return;
    if (test.score <= 0) {
        test.score = 0;
        test.requests = 0;
        test.bad = 0;
        test.connection_faults = 0;
        test.callers = 0;
        test.observers.clear();
    }
    auto const before = test.score;
    if (before == 0 && batch.bad > 0)
        test.started = batch.seen;
    auto const good = before > 0 && batch.seen < test.started ? 0 : batch.good;
    test.score += steps.good * good + steps.bad * batch.bad;
    test.score = std::clamp(test.score, 0.0, cap);
    if (before < cap / 4 && test.score >= cap / 4)
        test.raised_at = now;
    test.last = now;
    test.requests += good + batch.bad;
    test.bad += batch.bad;
    test.connection_faults += batch.connection_faults;
    test.callers |= batch.callers;
    if (batch.bad == 0)
        return;
    auto const found =
        std::find_if(test.observers.begin(), test.observers.end(),
                     [&](observer_bad_requests const& share) {
                         return share.observer == batch.observer;
                     });
    if (found != test.observers.end())
        found->bad += batch.bad;
    else
        test.observers.push_back({batch.observer, batch.bad});
}

bool is_widespread(cusum const& test, detector_options const& options,
                   std::uint32_t observers) {
    // No minimum of callers applies if at least half of the bad requests are
    // connection faults: a crashed target resets in-flight requests and refuses
    // the rest.
    if (test.connection_faults * 2 < test.bad &&
        distinct_callers(test.callers) < options.min_failing_callers)
        return false;
    if (observers < 2)
        return true;
    std::uint32_t largest = 0;
    for (auto const& share : test.observers)
        largest = std::max(largest, share.bad);
    return largest <= options.max_observer_share * test.bad;
}

std::uint32_t distinct_callers(std::uint64_t bitmap) {
    return static_cast<std::uint32_t>(std::popcount(bitmap));
}

duration slow_threshold(detector_options const& options, duration median,
                        bool cold) {
    if (median <= duration::zero())
        return duration::max();
    auto const factor =
        options.slow_multiple * (cold ? options.cold_factor : 1.0);
    return std::max(from_seconds(to_seconds(median) * factor),
                    median + options.min_slow_excess);
}

} // namespace yuccabeam::health
