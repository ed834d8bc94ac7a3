#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccabeam::placement {

/// Outcome of one attempt at one target.
enum class attempt_outcome : std::uint8_t {
    success,
    target_error,   ///< the target executed the request and responded with an
                    ///< error
    not_run,        ///< the target declares that it did not execute the request
    wrong_target,   ///< another target has the address; not executed
    connect_failed, ///< nothing was sent
    reset,          ///< the connection was closed without a response
    kept_reset, ///< the same on a reused connection, which the target may have
                ///< closed before the request arrived
    /// Truncated, malformed, contradictory or too large, or a success response
    /// without the signature of the target.
    broken_answer,
    timed_out,
    /// The deadline of the caller passed before the attempt was late, which
    /// requires a latency objective.
    expired
};

std::string_view to_string(attempt_outcome value);

/// True if the target may have executed the request.
bool may_have_run(attempt_outcome outcome);

/// True if a retry of an idempotent request at the same target may succeed: a
/// target in a gray failure fails only a part of its requests.
bool may_retry_same_target(attempt_outcome outcome);

/// State on which the decision after an attempt depends.
struct attempt_facts {
    attempt_outcome outcome = attempt_outcome::success;
    bool idempotent = false;
    std::uint32_t attempts_sent = 1; ///< including this one if it connected
    std::uint32_t max_attempts = 1;
    bool time_left = true;   ///< enough before the deadline for another attempt
    bool budget_left = true; ///< the retry budget allows one more attempt
    bool target_left = true; ///< a target is left for the next attempt
};

/// Conditions for another attempt that are not met; true means not met.
struct unmet_conditions {
    bool idempotence = false; ///< possibly executed, and not idempotent
    bool time = false;
    bool attempts = false;
    bool credit = false; ///< the retry budget is exhausted
    bool target = false; ///< no target is left to choose

    bool any() const {
        return idempotence || time || attempts || credit || target;
    }
    bool operator==(unmet_conditions const&) const = default;
};

/// Comma-separated names, as in "credit,target"; "none" if all are met.
std::string to_string(unmet_conditions const& value);

/// Conditions for a retry that are not met after a failed attempt.
unmet_conditions unmet_retry_conditions(attempt_facts const& facts);

enum class next_step : std::uint8_t {
    deliver,   ///< return the target's response to the caller
    try_other, ///< retry, preferably at a target that is not yet tried
    refuse,    ///< respond that the request was not executed
    fail       ///< respond that the outcome is unknown
};

std::string_view to_string(next_step value);

/// Decides the next step after an attempt.
///
/// If this attempt may have been executed, the request is retried only if it is
/// idempotent. The result is `refuse` only if no attempt can have been
/// executed. `ran_before`: an earlier attempt may have been executed; it does
/// not prevent a retry.
next_step after_attempt(attempt_facts const& facts, bool ran_before);

} // namespace yuccabeam::placement
