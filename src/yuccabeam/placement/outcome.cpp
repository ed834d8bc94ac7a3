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

bool may_retry_same_target(attempt_outcome outcome) {
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

std::string to_string(unmet_conditions const& value) {
    std::string out;
    auto const add = [&](bool missing, std::string_view name) {
        if (missing)
            out.append(out.empty() ? "" : ",").append(name);
    };
    add(value.idempotence, "idempotence");
    add(value.time, "time");
    add(value.attempts, "attempts");
    add(value.credit, "credit");
    add(value.target, "target");
    return out.empty() ? "none" : out;
}

unmet_conditions unmet_retry_conditions(attempt_facts const& facts) {
    unmet_conditions out;
    out.idempotence = may_have_run(facts.outcome) && !facts.idempotent;
    out.time = !facts.time_left;
    out.target = !facts.target_left;
    // Nothing was sent, so neither the attempt limit nor the retry budget
    // applies.
    if (facts.outcome == attempt_outcome::connect_failed)
        return out;
    out.attempts = facts.attempts_sent >= facts.max_attempts;
    out.credit = !facts.budget_left;
    return out;
}

next_step after_attempt(attempt_facts const& facts, bool ran_before) {
    if (facts.outcome == attempt_outcome::success)
        return next_step::deliver;
    if (!unmet_retry_conditions(facts).any())
        return next_step::try_other;
    if (facts.outcome == attempt_outcome::target_error)
        return next_step::deliver;
    bool const ran = may_have_run(facts.outcome);
    return ran || ran_before ? next_step::fail : next_step::refuse;
}

} // namespace yuccabeam::placement
