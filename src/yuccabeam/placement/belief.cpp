#include "yuccabeam/placement/belief.hpp"

#include <algorithm>
#include <cmath>

namespace yuccabeam::placement {

belief new_belief(belief_options const& options, time_point now) {
    return {options.prior, now};
}

double failing_probability(belief const& of, belief_options const& options,
                           time_point now) {
    double const age = to_seconds(now - of.at);
    return options.prior + (of.failing - options.prior) *
                               std::exp(-age / to_seconds(options.memory));
}

belief after_evidence(belief before, double factor,
                      belief_options const& options, time_point now) {
    double const known = failing_probability(before, options, now);
    double const odds = known / (1 - known) * factor;
    before.failing =
        std::clamp(odds / (1 + odds), options.lowest, options.highest);
    before.at = now;
    return before;
}

} // namespace yuccabeam::placement
