#pragma once

#include "yuccabeam/values/time.hpp"

namespace yuccabeam::placement {

/// A target is sound or failing. The odds that it fails grow with each
/// failure, shrink with each success and drift back to those of a target of
/// which nothing is known (Bayes' rule on a two-state process).
struct failure_estimate_options {
    /// Probability that a target of which nothing is known is failing.
    double prior = 0.03;
    /// Time in which the excess over the prior falls to 1/e.
    duration memory = std::chrono::seconds(5);
    /// Factors on the odds: how much likelier a failing target gives this
    /// outcome than a sound one.
    double failure_factor = 300;
    double doubt_factor = 10; ///< an error of its own, or a late answer
    /// The same without room: a single doubt then costs more slots than it
    /// spares failures.
    double crowded_doubt_factor = 4;
    double success_factor = 0.3;
    /// Bounds of the probability, so that new evidence always counts.
    double lowest = 0.01;
    double highest = 0.95;
    /// A target above this probability is suspected: it is tried by single
    /// idempotent requests and doesn't count as room.
    double suspicion = 0.15;
};

/// What is believed of one target.
struct failure_estimate {
    double failing = 0; ///< probability at `at`
    time_point at{};

    bool operator==(failure_estimate const&) const = default;
};

/// Belief in a target of which nothing is known.
failure_estimate prior_estimate(failure_estimate_options const& options,
                                time_point now);

/// Probability that the target fails requests, as far as evidence tells.
double failing_probability(failure_estimate const& estimate,
                           failure_estimate_options const& options,
                           time_point now);

/// Belief after an outcome that is `factor` times as likely at a failing
/// target as at a sound one.
failure_estimate updated_estimate(failure_estimate before, double factor,
                                  failure_estimate_options const& options,
                                  time_point now);

} // namespace yuccabeam::placement
