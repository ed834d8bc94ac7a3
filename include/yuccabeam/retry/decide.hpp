#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>

namespace yuccabeam::retry {

enum class failure_kind : std::uint8_t {
    connect_refused,  ///< provably no byte of the request was sent
    declared_not_run, ///< the target said `Yuccabeam-Not-Run: 1`
    other             ///< anything else: the target may have run it
};

/// A failed attempt and what a further one would have to work with.
struct failed_attempt {
    bool idempotent = false;
    failure_kind failure = failure_kind::other;
    /// An earlier attempt of the same request may have run.
    bool earlier_may_have_run = false;
    std::uint32_t attempts = 1; ///< so far, this one included
    duration deadline_left{};
    duration service_time{}; ///< median of the request's class
    bool budget_available = false;
    bool overloaded = false;
    bool other_target_available = false;
    /// Bytes of a response have reached the caller.
    bool response_started = false;
};

struct retry_options {
    std::uint32_t max_attempts = 3;
};

enum class retry_decision : std::uint8_t {
    retry_elsewhere, ///< take a budget token and exclude the tried targets
    answer_not_run,
    answer_unknown
};

/// True when the request may have run at some target after this failure.
/// Carry it to the next attempt as `earlier_may_have_run`.
constexpr bool may_have_run(failed_attempt const& attempt) {
    return attempt.earlier_may_have_run || attempt.response_started ||
           attempt.failure == failure_kind::other;
}

/// Decides what follows a failed attempt.
///
/// A request that may have run is repeated only when it is idempotent, and
/// is never answered as not-run, even when its last attempt was refused.
retry_decision decide_retry(failed_attempt const& attempt,
                            retry_options const& options = {});

/// An attempt that has not been answered yet.
struct slow_attempt {
    bool idempotent = false;
    bool route_hedges = false; ///< the route's `hedge` rule
    bool already_hedged = false;
    bool response_started = false;
    duration elapsed{};
    duration hedge_after{}; ///< such as the class's 95th percentile
    duration deadline_left{};
    duration service_time{};
    bool budget_available = false;
    bool overloaded = false;
    bool other_target_available = false;
};

/// True when a second attempt should start at another target; it takes a
/// token of the retry budget.
bool decide_hedge(slow_attempt const& attempt);

} // namespace yuccabeam::retry
