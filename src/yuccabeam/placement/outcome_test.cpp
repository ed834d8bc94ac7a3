#include "yuccabeam/placement/outcome.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace yuccabeam::placement;

namespace {

struct step_case {
    char const* guards;
    attempt_facts facts;
    bool ran_before;
    next_step expected;
};

std::vector<step_case> const cases = {
    {"a proven answer is delivered", {}, false, next_step::deliver},
    {"a non-idempotent request is never sent again after a reset",
     {attempt_outcome::reset, false, 1, 3},
     false,
     next_step::fail},
    {"a non-idempotent request is never sent again after a timeout",
     {attempt_outcome::timed_out, false, 1, 3},
     false,
     next_step::fail},
    {"a non-idempotent request is never sent again after the deadline",
     {attempt_outcome::expired, false, 1, 3},
     false,
     next_step::fail},
    {"a non-idempotent request is never sent again after the reset of a reused "
     "connection",
     {attempt_outcome::kept_reset, false, 1, 3},
     false,
     next_step::fail},
    {"a non-idempotent request is never sent again after a broken response",
     {attempt_outcome::broken_answer, false, 1, 3},
     false,
     next_step::fail},
    {"a non-idempotent request is never sent again after an error response",
     {attempt_outcome::target_error, false, 1, 3},
     false,
     next_step::deliver},
    {"a declared not-run lets a non-idempotent request be retried at another "
     "target",
     {attempt_outcome::not_run, false, 1, 2},
     false,
     next_step::try_other},
    {"a failed connect uses no attempt",
     {attempt_outcome::connect_failed, false, 2, 2, true, false},
     false,
     next_step::try_other},
    {"the limit on attempts holds for declared not-run",
     {attempt_outcome::not_run, false, 2, 2},
     false,
     next_step::refuse},
    {"the retry budget limits idempotent retries",
     {attempt_outcome::reset, true, 1, 3, true, false},
     false,
     next_step::fail},
    {"an idempotent request is retried at another target after a reset",
     {attempt_outcome::reset, true, 1, 2},
     false,
     next_step::try_other},
    {"not-run is not reported when an earlier attempt may have run",
     {attempt_outcome::not_run, true, 2, 2},
     true,
     next_step::fail},
    {"without another target the caller is told that the request has not run",
     {attempt_outcome::connect_failed, false, 0, 2, true, true, false},
     false,
     next_step::refuse},
    {"without time left there is no retry",
     {attempt_outcome::not_run, true, 1, 3, false},
     false,
     next_step::refuse},
};

} // namespace

TEST_CASE("the next step after an attempt") {
    for (auto const& c : cases) {
        CAPTURE(c.guards);
        CHECK(after_attempt(c.facts, c.ran_before) == c.expected);
    }
}

// Guards against a log line with another cause than that of the decision.
TEST_CASE("a failed attempt reports each unmet condition for a retry") {
    struct row {
        char const* expected;
        attempt_facts facts;
    };
    row const rows[] = {
        {"none", {attempt_outcome::reset, true, 1, 2}},
        {"idempotence", {attempt_outcome::reset, false, 1, 2}},
        {"time", {attempt_outcome::not_run, false, 1, 2, false}},
        {"attempts", {attempt_outcome::reset, true, 2, 2}},
        {"credit", {attempt_outcome::reset, true, 1, 2, true, false}},
        {"target", {attempt_outcome::reset, true, 1, 2, true, true, false}},
        {"attempts,credit,target",
         {attempt_outcome::reset, true, 2, 2, true, false, false}},
        {"none", {attempt_outcome::connect_failed, false, 2, 2, true, false}},
        {"target",
         {attempt_outcome::connect_failed, false, 2, 2, true, false, false}},
    };
    for (auto const& row : rows) {
        auto const missing = unmet_retry_conditions(row.facts);
        CHECK(to_string(missing) == row.expected);
        CHECK(missing.any() ==
              (after_attempt(row.facts, false) != next_step::try_other));
    }
}
