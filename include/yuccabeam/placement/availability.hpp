#pragma once

#include "yuccabeam/values/time.hpp"

#include <optional>

namespace yuccabeam::placement {

struct availability_options {
    /// Time after which a target that leaves must get no new requests.
    duration leaving_limit = std::chrono::seconds(2);
    /// Share of it for which the target is used if no other is available. The
    /// rest covers connecting and requests in transit.
    double leaving_share = 0.4;
    /// A longer rest is cut: a mistaken target would stay unused for good.
    duration longest_rest = std::chrono::minutes(10);
    /// Random part that is added to a rest, so that daemons don't return at
    /// the same moment, and its maximum.
    double return_spread = 0.25;
    duration longest_return_spread = std::chrono::seconds(2);
};

/// What a target has asked for: to get no more requests, or none for a while.
/// Holds for one incarnation of the target.
struct availability {
    std::optional<time_point> leaving_since;
    time_point rests_until{};

    bool operator==(availability const&) const = default;
};

/// Whether a request may be sent to the target now, of whatever kind.
bool may_be_asked(availability const& of, availability_options const& options,
                  time_point now);

/// After a rest of `time` was asked for; `random` is between 0 and 1.
availability after_rest_asked(availability of, duration time, double random,
                              availability_options const& options,
                              time_point now);

} // namespace yuccabeam::placement
