#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>

namespace yuccabeam::placement {

struct expected_value_options {
    /// Worth of an answer that comes after the latency objective, as a share
    /// of that of one in time.
    double late_worth = 0.4;
    /// Relative spread of the time to an answer.
    double spread = 0.4;
    /// Share of its worth that a failure costs a request that may be repeated.
    double repeat_cost = 0.4;
    /// Share of its worth that a target loses with all its slots in use,
    /// growing with the square of their use: many targets slow down when nearly
    /// full, and what strikes one target strikes all that it has.
    double load_cost = 0.1;
    /// Worth of sending one megabyte between failure domains.
    double crossing_cost_per_mb = 4;
    double least_crossing_cost = 0.03;
    /// Time to an answer at a target in a cold start, relative to others.
    double cold_factor = 2;
};

/// A target, as far as the choice depends on it.
struct target_conditions {
    double risk = 0; ///< probability that it fails a request
    double in_flight = 0;
    std::uint32_t slots = 1;
    bool cold = false;
    bool crossing = false; ///< in another failure domain
};

/// A request, as far as the choice depends on it.
struct request_conditions {
    bool retryable = false; ///< may go to another target after a failure
    duration time_left{};
    duration objective_left{};
    duration service_time{}; ///< without waiting; 0: unknown
    double answer_mb = 0;    ///< expected size of the answer
};

/// Probability that an answer that takes `expected` comes within `limit`.
double probability_in_time(duration expected, duration limit, double spread);

/// Worth that the caller can expect when the target gets the request; 1 is a
/// certain answer in time at no cost.
double expected_value(target_conditions const& target,
                      request_conditions const& request,
                      expected_value_options const& options);

} // namespace yuccabeam::placement
