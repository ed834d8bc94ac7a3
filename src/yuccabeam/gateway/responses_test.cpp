#include "yuccabeam/gateway/responses.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace yuccabeam::gateway;
using yuccabeam::http1::client_result;
using yuccabeam::http1::client_status;
using yuccabeam::placement::attempt_outcome;
using yuccabeam::placement::may_have_run;

namespace {

header_names const names{"Id", "Left-Ms", "Expected", "Not-Run", "Proof"};

struct end_case {
    std::string guards;
    client_status status;
    bool reused = false;
    attempt_outcome expected = attempt_outcome::reset;
    bool ran = true; ///< the request may have run
};

std::vector<end_case> const ends = {
    {"only a connection that was never made leaves a request unsent",
     client_status::connect_failed, false, attempt_outcome::connect_failed,
     false},
    {"a limit after the request was sent", client_status::timed_out, false,
     attempt_outcome::timed_out},
    {"a reset of a new connection", client_status::reset, false,
     attempt_outcome::reset},
    {"a reset of a kept connection", client_status::reset, true,
     attempt_outcome::kept_reset},
    {"an answer that breaks off", client_status::truncated, false,
     attempt_outcome::broken_answer},
    {"bytes that are no answer", client_status::malformed, false,
     attempt_outcome::broken_answer},
    {"an answer that is too large", client_status::too_large, false,
     attempt_outcome::broken_answer},
    {"a call that was given up", client_status::cancelled, false,
     attempt_outcome::reset},
};

struct mark_case {
    std::string guards;
    int status;
    yuccabeam::http1::http_fields fields;
    attempt_outcome expected;
    bool ran; ///< the request may have run
};

std::vector<mark_case> const marks = {
    {"a refusal of a full target",
     503,
     {{"Not-Run", "1"}},
     attempt_outcome::not_run,
     false},
    {"a refusal for too many requests",
     429,
     {{"Not-Run", "1"}},
     attempt_outcome::not_run,
     false},
    {"another target at the address",
     421,
     {{"Not-Run", "1"}},
     attempt_outcome::wrong_target,
     false},
    {"a 503 without the mark", 503, {}, attempt_outcome::target_error, true},
    {"a 429 without the mark", 429, {}, attempt_outcome::target_error, true},
    {"a 408 without the mark", 408, {}, attempt_outcome::target_error, true},
    {"a target's own failure that says that it did not run",
     500,
     {{"Not-Run", "1"}},
     attempt_outcome::target_error,
     true},
    {"a target's time limit that says that it did not run",
     504,
     {{"Not-Run", "1"}},
     attempt_outcome::target_error,
     true},
    {"a success that says that it did not run",
     200,
     {{"Not-Run", "1"}, {"Proof", "p"}},
     attempt_outcome::broken_answer,
     true},
    {"a redirect that says that it did not run",
     302,
     {{"Not-Run", "1"}},
     attempt_outcome::broken_answer,
     true},
    {"a request that the target can't read",
     400,
     {{"Not-Run", "1"}},
     attempt_outcome::success,
     true},
};

} // namespace

// Guards against a second run of a request whose target contradicts itself.
TEST_CASE("an answer counts as not run only with a mark and a status that "
          "promise it") {
    for (auto const& c : marks) {
        CAPTURE(c.guards);
        client_result result;
        result.status = client_status::complete;
        result.head.status = c.status;
        result.head.fields = c.fields;
        auto const outcome = classify_result(result, names, true);
        CHECK(to_string(outcome) == to_string(c.expected));
        CHECK(may_have_run(outcome) == c.ran);
    }
}

TEST_CASE("an attempt without an answer counts as not run only when nothing "
          "was sent") {
    for (auto const& c : ends) {
        CAPTURE(c.guards);
        client_result result;
        result.status = c.status;
        result.reused = c.reused;
        auto const outcome = classify_result(result, names, false);
        CHECK(to_string(outcome) == to_string(c.expected));
        CHECK(may_have_run(outcome) == c.ran);
    }
}
