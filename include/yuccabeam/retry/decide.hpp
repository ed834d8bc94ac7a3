#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>

namespace yuccabeam::retry {

enum class failure_kind : std::uint8_t {
    connect_refused,  ///< no byte of the request was sent
    declared_not_run, ///< the response has `Yuccabeam-Not-Run: 1`
    other             ///< anything else: the target may have run it
};

/// A failed attempt and the conditions for a further one.
struct failed_attempt {
    bool idempotent = false;
    failure_kind failure = failure_kind::other;
    /// An earlier attempt of the same request may have run.
    bool earlier_may_have_run = false;
    std::uint32_t attempts = 1; ///< made so far, including this one
    duration deadline_left{};
    duration service_time{}; ///< median of the request class
    bool budget_available = false;
    bool overloaded = false;
    bool other_target_available = false;
    /// Response bytes have been forwarded to the caller.
    bool response_started = false;
};

struct retry_options {
    std::uint32_t max_attempts = 3;
};

enum class retry_decision : std::uint8_t {
    retry_elsewhere, ///< take a budget token, exclude the targets tried
    answer_not_run,
    answer_unknown
};

/// Returns whether this attempt or an earlier one may have run at a target.
/// Pass the result to the next attempt as `earlier_may_have_run`.
constexpr bool may_have_run(failed_attempt const& attempt) {
    return attempt.earlier_may_have_run || attempt.response_started ||
           attempt.failure == failure_kind::other;
}

/// Decides whether a failed attempt is retried and how it is answered if not.
///
/// A request that may have run is retried only if it is idempotent. It is
/// never answered as not-run, even if its last attempt was refused.
retry_decision decide_retry(failed_attempt const& attempt,
                            retry_options const& options = {});

/// An attempt that has not received a response yet.
struct slow_attempt {
    bool idempotent = false;
    bool route_hedges = false; ///< the route's `hedge` rule
    bool already_hedged = false;
    bool response_started = false;
    duration elapsed{};
    duration hedge_after{}; ///< such as the 95th percentile of the class
    duration deadline_left{};
    duration service_time{};
    bool budget_available = false;
    bool overloaded = false;
    bool other_target_available = false;
};

/// Returns whether to send a hedge, a second attempt at another target. The
/// caller takes a token of the retry budget for it.
bool decide_hedge(slow_attempt const& attempt);

} // namespace yuccabeam::retry
