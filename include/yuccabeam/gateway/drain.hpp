#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace yuccabeam::gateway {

struct drain_options {
    /// Time from the stop signal until the load balancer sends no more
    /// requests. It checks readiness every second and takes a daemon out of
    /// rotation after two failed checks.
    duration out_of_rotation = std::chrono::milliseconds(2'800);
    /// Time from the stop signal to the kill.
    duration grace = std::chrono::seconds(6);
    /// Safety margin before the kill.
    duration reserve = std::chrono::milliseconds(150);
};

enum class drain_step {
    serve,          ///< the load balancer may still send requests
    stop_accepting, ///< only requests in flight are finished
    /// Out of rotation with no connection left, or the time until the kill is
    /// `reserve` or less. A connection without a request in flight may have one
    /// that is not read yet, or a response that the caller hasn't received.
    end
};

/// True if a daemon may pass on a request that is completely read `elapsed`
/// after its stop signal. A later one could not end before the kill.
constexpr bool accepts_requests(duration elapsed,
                                drain_options const& options) {
    return elapsed < options.out_of_rotation;
}

/// The step of a daemon's shutdown `elapsed` after its stop signal.
constexpr drain_step next_drain_step(duration elapsed, std::size_t connections,
                                     drain_options const& options) {
    if (elapsed >= options.grace - options.reserve)
        return drain_step::end;
    if (accepts_requests(elapsed, options))
        return drain_step::serve;
    return connections == 0 ? drain_step::end : drain_step::stop_accepting;
}

} // namespace yuccabeam::gateway
