#pragma once

#include "yuccabeam/values/time.hpp"

namespace yuccabeam::placement {

/// Options of the estimate. A target is modelled as a two-state process,
/// healthy or failing. Each outcome multiplies the odds of the failing state by
/// a likelihood ratio (Bayes' rule), and without outcomes the probability
/// decays to the prior.
struct failure_estimate_options {
    /// Probability that a target without any outcomes is failing.
    double prior = 0.03;
    /// Time constant of the decay: the difference from the prior falls to 1/e.
    duration memory = std::chrono::seconds(5);
    /// Likelihood ratios: how much likelier a failing target produces the
    /// outcome than a healthy one.
    double failure_factor = 300;
    /// Weak evidence (a doubt): an error response, a late response or the reset
    /// of a reused connection.
    double doubt_factor = 10;
    /// Replaces doubt_factor while the service has no spare capacity:
    /// suspecting a target after a single doubt then costs more slots than it
    /// avoids failures.
    double crowded_doubt_factor = 4;
    double success_factor = 0.3;
    /// Bounds of the probability, so that contrary evidence can still change
    /// it.
    double lowest = 0.01;
    double highest = 0.95;
    /// A target above this probability is suspected: single retryable requests
    /// serve as its trials, and its slots are not spare capacity.
    double suspicion = 0.15;
};

/// Estimated probability that one target is failing.
struct failure_estimate {
    double failing = 0; ///< probability at `at`
    time_point at{};

    bool operator==(failure_estimate const&) const = default;
};

/// Estimate for a target without any outcomes.
failure_estimate prior_estimate(failure_estimate_options const& options,
                                time_point now);

/// Probability at `now` that the target fails requests, decayed since the last
/// update.
double failing_probability(failure_estimate const& estimate,
                           failure_estimate_options const& options,
                           time_point now);

/// Estimate after an outcome that is `factor` times as likely at a failing
/// target as at a healthy one.
failure_estimate updated_estimate(failure_estimate before, double factor,
                                  failure_estimate_options const& options,
                                  time_point now);

} // namespace yuccabeam::placement
