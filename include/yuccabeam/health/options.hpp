#pragma once

#include "yuccabeam/values/rules.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>

namespace yuccabeam::health {

/// Rules by which evidence marks a target as bad.
struct detector_options {
    /// Failure rate that a healthy target may have.
    double p0 = 0.03;
    /// Failure rate to detect.
    double p1 = 0.3;
    /// Desired mean time between two false alarms of one test at
    /// `requests_per_s`. In each scope, a target has a test for failures and
    /// one for slowness, both over all kinds and for each kind.
    duration false_alarm_interval = std::chrono::hours(24 * 365 * 3);
    double requests_per_s = 100;
    /// A request is slow above this multiple of the other targets' median,
    /// or of the arbiter's median over all targets while this daemon has too
    /// few samples of the others.
    double slow_multiple = 4;
    /// Minimum excess over the median, so that scheduling noise on a median of
    /// 1 ms doesn't count as slowness.
    duration min_slow_excess = std::chrono::milliseconds(10);
    /// Factor applied to `slow_multiple` for a cold or newly admitted target.
    double cold_factor = 3;
    duration cold_time = std::chrono::seconds(30);
    /// Minimum time over which slow requests must occur: one stall of a healthy
    /// target delays all its requests at once, so they are not independent.
    duration min_slow_span = std::chrono::seconds(2);
    /// Minimum number of distinct failing callers; not required when at least
    /// half of the bad requests were refused or reset connections.
    std::uint32_t min_failing_callers = 3;
    /// Largest share of the bad requests that one observer may contribute
    /// while several observers see the target; above it, the observer's own
    /// link is the likelier cause.
    double max_observer_share = 0.67;
    /// Fraction of the threshold from which a target looks bad when the arbiter
    /// checks whether most targets, or all of a failure domain, do.
    double looks_bad_fraction = 0.25;
    /// CUSUM score at which local evidence makes a target suspect: about two
    /// failures in a row.
    double suspect_score = 4;

    bool operator==(detector_options const&) const = default;
};

/// Options for the configured ejection policy.
detector_options options_for(ejection_policy policy);

/// Timing of the grant protocol and of re-admission.
///
/// For safety, `lease` must exceed `grant_validity + margin`.
struct grant_options {
    /// How long a supporter commits to one arbiter.
    duration lease = std::chrono::seconds(6);
    duration grant_validity = std::chrono::seconds(4);
    /// Allowance for clock drift between daemons.
    duration margin = std::chrono::milliseconds(500);
    duration hold_down = std::chrono::seconds(5);
    /// Upper bound before jitter.
    duration max_hold_down = std::chrono::minutes(5);
    double hold_down_jitter = 0.2;
    /// A relapse within this time of the last ejection doubles the hold-down; a
    /// failed trial does so at any time.
    duration relapse_window = std::chrono::minutes(10);
    std::uint32_t good_trials = 5;
    /// Mean time between trial requests of one service. The arbiter multiplies
    /// it by the number of trials, and the product is the minimum time between
    /// two trial requests to one target.
    duration trial_interval = std::chrono::milliseconds(500);
    /// If no trial request has been sent for this time after the next one was
    /// allowed, a probe replaces it.
    duration probe_after = std::chrono::seconds(1);
    /// A trial request without an outcome is considered lost after this time.
    duration trial_timeout = std::chrono::seconds(30);
    duration slow_start = std::chrono::seconds(10);
    double initial_weight = 0.1;

    bool operator==(grant_options const&) const = default;
};

/// When observers report.
struct report_options {
    /// Minimum time since the last report for one that is caused by a failure,
    /// a drain signal or the outcome of a trial.
    duration after_failure = std::chrono::milliseconds(250);
    /// Interval between reports while this daemon holds grants.
    duration with_grants = std::chrono::seconds(1);
    /// Interval between reports otherwise.
    duration idle = std::chrono::seconds(2);
    /// Maximum number of windows in one report, so that it fits into a datagram
    /// of 1,200 bytes.
    std::uint32_t max_windows = 16;
    /// Evidence older than this is dropped.
    duration evidence_age = std::chrono::seconds(10);
    /// Maximum time for which a target stays suspect after the last cause.
    duration suspect_time = std::chrono::seconds(10);
    /// How long a target is treated as leaving after the last drain signal that
    /// this daemon received itself. A mark that another daemon reported lasts
    /// for `suspect_time`.
    duration leaving_time = std::chrono::seconds(60);

    bool operator==(report_options const&) const = default;
};

struct health_options {
    detector_options detector;
    grant_options grants;
    report_options reports;

    bool operator==(health_options const&) const = default;
};

} // namespace yuccabeam::health
