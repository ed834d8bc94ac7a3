#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>

namespace yuccabeam::placement {

struct expected_value_options {
    /// Value of a response after the latency objective, relative to one within
    /// it.
    double late_worth = 0.4;
    /// Relative spread of the response time.
    double spread = 0.4;
    /// Share of its value that a retryable request loses by a failure.
    double repeat_cost = 0.4;
    /// The value is multiplied by exp(-load_cost * utilisation^2), where a
    /// utilisation of 1 means that all slots are in use. Many targets slow down
    /// when nearly full, and a fault of one target affects all its in-flight
    /// requests.
    double load_cost = 0.1;
    /// Cost in value of a response from another failure domain: for each
    /// megabyte, and the minimum for any response.
    double crossing_cost_per_mb = 4;
    double least_crossing_cost = 0.03;
    /// Response time of a target during its cold start, relative to others.
    double cold_factor = 2;
};

/// The state of a target that determines its expected value.
struct target_conditions {
    double risk = 0; ///< probability that it fails a request
    double in_flight = 0;
    std::uint32_t slots = 1;
    bool cold = false;
    bool crossing = false; ///< in another failure domain
};

/// The properties of a request that determine the expected value.
struct request_conditions {
    bool retryable = false; ///< may be retried after a failure
    duration time_left{};
    duration objective_left{};
    duration service_time{}; ///< without waiting; 0: unknown
    double answer_mb = 0;    ///< expected response size
};

/// Probability that a response with the expected time `expected` arrives within
/// `limit`.
double probability_in_time(duration expected, duration limit, double spread);

/// Expected value for the caller of sending the request to the target; 1 is a
/// certain response in time at no cost.
double expected_value(target_conditions const& target,
                      request_conditions const& request,
                      expected_value_options const& options);

} // namespace yuccabeam::placement
