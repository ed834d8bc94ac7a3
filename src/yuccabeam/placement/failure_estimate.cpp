#include "yuccabeam/placement/failure_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace yuccabeam::placement {

failure_estimate prior_estimate(failure_estimate_options const& options,
                                time_point now) {
    return {options.prior, now};
}

double failing_probability(failure_estimate const& estimate,
                           failure_estimate_options const& options,
                           time_point now) {
    double const age = to_seconds(now - estimate.at);
    return options.prior + (estimate.failing - options.prior) *
                               std::exp(-age / to_seconds(options.memory));
}

failure_estimate updated_estimate(failure_estimate before, double factor,
                                  failure_estimate_options const& options,
                                  time_point now) {
    double const known = failing_probability(before, options, now);
    double const odds = known / (1 - known) * factor;
    before.failing =
        std::clamp(odds / (1 + odds), options.lowest, options.highest);
    before.at = now;
    return before;
}

} // namespace yuccabeam::placement
