#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>

namespace yuccabeam::limits {

enum class attempt_result : std::uint8_t {
    ok,      ///< a response, whatever its status
    shed,    ///< the target declined for lack of capacity
    timeout, ///< no response within the attempt's time
    neutral  ///< says nothing about load: cancelled, refused, reset
};

/// One finished attempt at a target.
struct attempt_report {
    attempt_result result = attempt_result::ok;
    duration latency{};          ///< to the first byte of the response
    std::uint32_t in_flight = 0; ///< at this target, this attempt included
    /// Usual latency of this kind of request; zero takes the limit's own
    /// baseline, which suits targets with one kind of request.
    duration usual_latency{};
};

struct concurrency_limit_options {
    double decrease_factor = 0.7;
    /// Latency above this multiple of the baseline counts as overload.
    double slow_multiple = 4.0;
    /// Latency below this is never slow, whatever the baseline.
    duration min_slow_latency = std::chrono::milliseconds(20);
    /// Answers to requests sent before a decrease don't cause another one.
    duration decrease_pause = std::chrono::milliseconds(100);
    /// Share by which one answer moves the baseline.
    double baseline_step = 0.01;
    /// The same for a slow answer; smaller, so that the baseline doesn't
    /// follow an overload, but a lasting change is learned in the end.
    double slow_baseline_step = 0.001;
};

/// Adaptive concurrency limit of one target between 1 and its slots:
/// additive increase, multiplicative decrease (Chiu and Jain 1989). It
/// starts at the target's slots.
class concurrency_limit {
public:
    explicit concurrency_limit(std::uint32_t slots,
                               concurrency_limit_options options = {});

    /// Takes the result of an attempt.
    void on_report(attempt_report const& report, time_point now);

    /// Changes the target's slots; the limit stays within them.
    void resize(std::uint32_t slots);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }
    /// Running median of the latency; zero before the first answer.
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
