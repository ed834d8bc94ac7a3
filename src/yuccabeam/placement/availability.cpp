#include "yuccabeam/placement/availability.hpp"

#include <algorithm>

namespace yuccabeam::placement {

bool may_be_asked(availability const& of, availability_options const& options,
                  time_point now) {
    if (now < of.rests_until)
        return false;
    auto const usable_for =
        from_seconds(to_seconds(options.leaving_limit) * options.leaving_share);
    return !of.leaving_since || now - *of.leaving_since < usable_for;
}

availability after_rest_asked(availability of, duration time, double random,
                              availability_options const& options,
                              time_point now) {
    auto const rest = std::clamp(time, duration{}, options.longest_rest);
    auto const spread =
        std::min(from_seconds(to_seconds(rest) * options.return_spread),
                 options.longest_return_spread);
    of.rests_until = std::max(
        of.rests_until, now + rest + from_seconds(to_seconds(spread) * random));
    return of;
}

} // namespace yuccabeam::placement
