#include "yuccabeam/placement/outcome.hpp"

namespace yuccabeam::placement {

std::string_view to_string(attempt_outcome value) {
    switch (value) {
    case attempt_outcome::success:
        return "success";
    case attempt_outcome::target_error:
        return "target_error";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::wrong_target:
        return "wrong_target";
    case attempt_outcome::connect_failed:
        return "connect_failed";
    case attempt_outcome::reset:
        return "reset";
    case attempt_outcome::kept_reset:
        return "kept_reset";
    case attempt_outcome::broken_answer:
        return "broken_answer";
    case attempt_outcome::timed_out:
        return "timed_out";
    case attempt_outcome::expired:
        return "expired";
    }
    return "unknown";
}

bool may_ask_again(attempt_outcome outcome) {
    return outcome == attempt_outcome::reset ||
           outcome == attempt_outcome::kept_reset ||
           outcome == attempt_outcome::broken_answer;
}

bool may_have_run(attempt_outcome outcome) {
    return outcome != attempt_outcome::not_run &&
           outcome != attempt_outcome::wrong_target &&
           outcome != attempt_outcome::connect_failed;
}

std::string_view to_string(next_step value) {
    switch (value) {
    case next_step::deliver:
        return "deliver";
    case next_step::try_other:
        return "try_other";
    case next_step::refuse:
        return "refuse";
    case next_step::fail:
        return "fail";
    }
    return "unknown";
}

namespace {

bool may_try_other(attempt_facts const& facts) {
    if (!facts.time_left || !facts.target_left)
        return false;
    // Nothing has arrived anywhere, so neither limit is touched.
    if (facts.outcome == attempt_outcome::connect_failed)
        return true;
    return facts.attempts_sent < facts.max_attempts && facts.budget_left;
}

} // namespace

next_step after_attempt(attempt_facts const& facts, bool ran_before) {
    if (facts.outcome == attempt_outcome::success)
        return next_step::deliver;
    bool const ran = may_have_run(facts.outcome);
    if ((!ran || facts.idempotent) && may_try_other(facts))
        return next_step::try_other;
    if (facts.outcome == attempt_outcome::target_error)
        return next_step::deliver;
    return ran || ran_before ? next_step::fail : next_step::refuse;
}

} // namespace yuccabeam::placement
