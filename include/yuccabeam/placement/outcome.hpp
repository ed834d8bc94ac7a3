#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccabeam::placement {

/// How one attempt at one target ended.
enum class attempt_outcome : std::uint8_t {
    success,
    target_error,   ///< the target ran the request and answered with a failure
    not_run,        ///< the target states that it did not run the request
    wrong_target,   ///< another target has the address; not run
    connect_failed, ///< nothing was sent
    reset,          ///< the connection ended without an answer
    kept_reset,     ///< the same on a kept connection, which the target may
                    ///< have closed before the request came
    broken_answer,  ///< truncated, malformed or without proof
    timed_out,
    expired ///< the caller's time ended before the target was late
};

std::string_view to_string(attempt_outcome value);

/// True when the target may have run the request.
bool may_have_run(attempt_outcome outcome);

/// True when the same target may well answer an idempotent request that is
/// sent again: a target in a gray failure fails only a part of its requests.
bool may_retry_same_target(attempt_outcome outcome);

/// What is known when an attempt has ended.
struct attempt_facts {
    attempt_outcome outcome = attempt_outcome::success;
    bool idempotent = false;
    std::uint32_t attempts_sent = 1; ///< this one included
    std::uint32_t max_attempts = 1;
    bool time_left = true;   ///< enough for another attempt
    bool budget_left = true; ///< for one more arrival in the fleet
    bool target_left = true; ///< one that may get this request next
};

/// Conditions for another attempt that do not hold.
struct unmet_conditions {
    bool idempotence = false; ///< the request may have run and isn't idempotent
    bool time = false;
    bool attempts = false;
    bool credit = false; ///< of the budget for repeats
    bool target = false; ///< to choose

    bool any() const {
        return idempotence || time || attempts || credit || target;
    }
    bool operator==(unmet_conditions const&) const = default;
};

/// Names with commas between them, as in "credit,target"; "none" for none.
std::string to_string(unmet_conditions const& value);

/// What an attempt that has failed lacks to be followed by another one.
unmet_conditions unmet_retry_conditions(attempt_facts const& facts);

enum class next_step : std::uint8_t {
    deliver,   ///< the target's answer is the request's answer
    try_other, ///< send it to another target, or to the same one again
    refuse,    ///< answer that the request has not run
    fail       ///< answer that the outcome is unknown
};

std::string_view to_string(next_step value);

/// Decides what follows an attempt.
///
/// A request that may have run goes to another target only when it is
/// idempotent; "not run" is told to the caller only when no attempt can have
/// run. `ran_before` says that an earlier attempt of the request may have.
next_step after_attempt(attempt_facts const& facts, bool ran_before);

} // namespace yuccabeam::placement
