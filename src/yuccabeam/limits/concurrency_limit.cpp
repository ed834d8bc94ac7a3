#include "yuccabeam/limits/concurrency_limit.hpp"

#include <algorithm>

namespace yuccabeam::limits {

concurrency_limit::concurrency_limit(std::uint32_t slots,
                                     concurrency_limit_options options)
    : options_(options), slots_(std::max(1U, slots)), limit_(slots_) {}

void concurrency_limit::resize(std::uint32_t slots) {
    // A limit equal to the old number of slots is not reduced at present.
    bool const unlimited = limit_ >= slots_;
    slots_ = std::max(1U, slots);
    limit_ = unlimited ? slots_ : std::min(limit_, slots_);
}

bool concurrency_limit::is_slow(attempt_report const& report) const {
    auto const usual = report.usual_latency > duration::zero()
                           ? report.usual_latency
                           : baseline_;
    return usual > duration::zero() &&
           report.latency > options_.min_slow_latency &&
           to_seconds(report.latency) >
               options_.slow_multiple * to_seconds(usual);
}

// Stochastic approximation of the median: equal steps up and down are in
// balance where half of the responses are faster. Early responses take larger
// steps.
void concurrency_limit::update_baseline(duration latency, bool slow) {
    if (latency <= duration::zero())
        return;
    if (answers_ == 0) {
        baseline_ = latency;
        answers_ = 1;
        return;
    }
    constexpr std::uint32_t early_answers = 1000;
    answers_ = std::min(answers_ + 1, early_answers);
    double const step =
        slow ? options_.slow_baseline_step
             : std::max(options_.baseline_step, 1.0 / (answers_ + 1.0));
    double const factor = latency > baseline_ ? 1.0 + step : 1.0 - step;
    baseline_ =
        std::max(duration(1), from_seconds(to_seconds(baseline_) * factor));
}

void concurrency_limit::on_report(attempt_report const& report,
                                  time_point now) {
    if (report.result == attempt_result::neutral)
        return;
    bool const answered = report.result == attempt_result::ok;
    bool const slow = answered && is_slow(report);
    if (answered)
        update_baseline(report.latency, slow);
    if (!answered || slow) {
        if (now < pause_until_)
            return;
        limit_ = std::max(1.0, limit_ * options_.decrease_factor);
        pause_until_ = now + options_.decrease_pause;
        return;
    }
    // Only a limit that is reached by the in-flight requests may grow;
    // otherwise the response says nothing about the capacity above it.
    if (report.in_flight >= limit())
        limit_ = std::min(slots_, limit_ + 1.0 / limit_);
}

} // namespace yuccabeam::limits
