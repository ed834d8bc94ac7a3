#include "yuccabeam/retry/decide.hpp"

namespace yuccabeam::retry {

retry_decision decide_retry(failed_attempt const& attempt,
                            retry_options const& options) {
    bool const ran = may_have_run(attempt);
    bool const may_repeat =
        !attempt.response_started && (attempt.idempotent || !ran);
    bool const can_repeat = attempt.attempts < options.max_attempts &&
                            attempt.deadline_left > duration::zero() &&
                            attempt.deadline_left >= attempt.service_time &&
                            attempt.budget_available && !attempt.overloaded &&
                            attempt.other_target_available;
    if (may_repeat && can_repeat)
        return retry_decision::retry_elsewhere;
    return ran ? retry_decision::answer_unknown
               : retry_decision::answer_not_run;
}

bool decide_hedge(slow_attempt const& attempt) {
    return attempt.idempotent && attempt.route_hedges &&
           !attempt.already_hedged && !attempt.response_started &&
           attempt.hedge_after > duration::zero() &&
           attempt.elapsed >= attempt.hedge_after &&
           attempt.deadline_left > duration::zero() &&
           attempt.deadline_left >= attempt.service_time &&
           attempt.budget_available && !attempt.overloaded &&
           attempt.other_target_available;
}

} // namespace yuccabeam::retry
