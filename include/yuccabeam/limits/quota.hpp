#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Quotas of client accounts over a fleet, see docs/design/quota.md.
namespace yuccabeam::limits {

/// Accounts are divided into this many slots by a hash of their ids.
inline constexpr std::size_t quota_slots = 64;

/// A set of slots, one bit each.
using slot_set = std::uint64_t;

constexpr slot_set slot_bit(std::size_t slot) {
    return slot_set{1} << slot;
}

/// What an account may use over the whole fleet.
struct quota {
    double rate = 0;  ///< requests per second
    double burst = 0; ///< requests at once in addition

    bool operator==(quota const&) const = default;
};

/// What the fleet may run at most in any window:
/// (`rate` x `window` + `burst`) x (1 + `overshoot`) + `slack`.
struct quota_bound {
    duration window = std::chrono::seconds(5);
    double overshoot = 0.1;
    double slack = 20;

    bool operator==(quota_bound const&) const = default;
};

struct quota_options {
    quota_bound bound;
    /// A loan counts at the pool for this long after its arrival.
    duration loan_validity = std::chrono::milliseconds(700);
    /// The lender counts a loan for this long after it was sent. The difference
    /// to `loan_validity` is the longest time in transit, pauses of the pool
    /// excepted, which `quota_pool::forget_loans` handles.
    duration loan_hold = std::chrono::milliseconds(1'000);
    /// Time after the first loan in which a pool that has no token leaves the
    /// request undecided.
    duration warm_up = std::chrono::seconds(2);

    /// Capacity of the bucket of a whole quota, in requests. With `fill_rate`
    /// it uses a part of the bound's margin, so that a quota isn't refused
    /// below its limit; the rest covers loans that move and a fleet that is
    /// larger than it seems.
    double capacity(quota const& of) const {
        return of.burst * (1 + 0.5 * bound.overshoot) +
               of.rate * 0.4 * bound.overshoot * to_seconds(bound.window) +
               0.4 * bound.slack;
    }
    /// Requests per second that the bucket of a whole quota earns.
    double fill_rate(quota const& of) const {
        return of.rate * (1 + 0.4 * bound.overshoot);
    }
    /// Requests that a whole quota's bucket gains when its shares move to
    /// another pool. A share moves at most once in `loan_hold`, that is five
    /// times in a window of five seconds.
    double moving_gain() const { return 0.1 * bound.slack; }
};

} // namespace yuccabeam::limits
