#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>

namespace yuccabeam::limits {

enum class attempt_result : std::uint8_t {
    ok,      ///< a response, whatever its status
    shed,    ///< the target rejected the request for lack of capacity
    timeout, ///< no response within the attempt's time
    neutral  ///< not related to load: cancelled, refused, reset
};

/// One finished attempt at a target.
struct attempt_report {
    attempt_result result = attempt_result::ok;
    duration latency{};          ///< to the first byte of the response
    std::uint32_t in_flight = 0; ///< at this target, including this attempt
    /// Usual latency of this kind of request. Zero means the limit's own
    /// baseline, which suits targets with a single kind of request.
    duration usual_latency{};
};

struct concurrency_limit_options {
    double decrease_factor = 0.7;
    /// A latency above this multiple of the usual one indicates overload.
    double slow_multiple = 4.0;
    /// A latency up to this is never slow, whatever the usual one.
    duration min_slow_latency = std::chrono::milliseconds(20);
    /// Time after a decrease without a further one, as responses to requests
    /// that were sent before the decrease still arrive.
    duration decrease_pause = std::chrono::milliseconds(100);
    /// Relative change of the baseline by one response.
    double baseline_step = 0.01;
    /// Relative change by one slow response. It is smaller, so that the
    /// baseline doesn't follow an overload but adapts to a lasting change.
    double slow_baseline_step = 0.001;
};

/// Adaptive concurrency limit of one target, between 1 and the target's slots:
/// additive increase, multiplicative decrease (Chiu and Jain 1989). It starts
/// at the number of slots.
class concurrency_limit {
public:
    explicit concurrency_limit(std::uint32_t slots,
                               concurrency_limit_options options = {});

    /// Updates the limit with the result of an attempt.
    void on_report(attempt_report const& report, time_point now);

    /// Sets the target's slots. The limit never exceeds them.
    void resize(std::uint32_t slots);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }
    /// Running estimate of the median latency; zero before the first response.
    duration baseline() const { return baseline_; }

private:
    bool is_slow(attempt_report const& report) const;
    void update_baseline(duration latency, bool slow);

    concurrency_limit_options options_;
    double slots_;
    double limit_;
    duration baseline_{};
    std::uint32_t answers_ = 0;
    time_point pause_until_ = time_point::min();
};

} // namespace yuccabeam::limits
