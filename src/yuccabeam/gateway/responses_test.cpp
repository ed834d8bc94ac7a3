#include "yuccabeam/gateway/responses.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace yuccabeam::gateway;
using yuccabeam::http1::client_result;
using yuccabeam::http1::client_status;
using yuccabeam::http1::http_fields;
using yuccabeam::placement::attempt_outcome;
using yuccabeam::placement::may_have_run;

namespace {

header_names const names{"Id", "Left-Ms", "Expected", "Not-Run", "Proof"};

struct failure_case {
    std::string guards;
    client_status status;
    bool reused = false;
    attempt_outcome expected = attempt_outcome::reset;
    bool ran = true; ///< the request may have run
};

std::vector<failure_case> const failures = {
    {"a failed connect, the only end before the request is sent",
     client_status::connect_failed, false, attempt_outcome::connect_failed,
     false},
    {"a timeout after the request was sent", client_status::timed_out, false,
     attempt_outcome::timed_out},
    {"a reset of a new connection", client_status::reset, false,
     attempt_outcome::reset},
    {"a reset of a kept connection", client_status::reset, true,
     attempt_outcome::kept_reset},
    {"a truncated response", client_status::truncated, false,
     attempt_outcome::broken_answer},
    {"a malformed response", client_status::malformed, false,
     attempt_outcome::broken_answer},
    {"a response that is too large", client_status::too_large, false,
     attempt_outcome::broken_answer},
    {"a cancelled call", client_status::cancelled, false,
     attempt_outcome::reset},
};

struct response_case {
    std::string guards;
    int status;
    yuccabeam::http1::http_fields fields;
    attempt_outcome expected;
    bool ran; ///< the request may have run
};

std::vector<response_case> const responses = {
    {"a refusal of an overloaded target",
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
    {"a 503 without the not-run field",
     503,
     {},
     attempt_outcome::target_error,
     true},
    {"a 429 without the not-run field",
     429,
     {},
     attempt_outcome::target_error,
     true},
    {"a 408 without the not-run field",
     408,
     {},
     attempt_outcome::target_error,
     true},
    {"a 500 with the not-run field",
     500,
     {{"Not-Run", "1"}},
     attempt_outcome::target_error,
     true},
    {"a 504 with the not-run field",
     504,
     {{"Not-Run", "1"}},
     attempt_outcome::target_error,
     true},
    {"a success with the not-run field",
     200,
     {{"Not-Run", "1"}, {"Proof", "p"}},
     attempt_outcome::broken_answer,
     true},
    {"a redirect with the not-run field",
     302,
     {{"Not-Run", "1"}},
     attempt_outcome::broken_answer,
     true},
    {"a 400 with the not-run field",
     400,
     {{"Not-Run", "1"}},
     attempt_outcome::success,
     true},
};

} // namespace

// Guards against a second run of a request after a contradictory response.
TEST_CASE("a response counts as not run only with the not-run field and a "
          "matching status") {
    for (auto const& c : responses) {
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

TEST_CASE("an attempt without a response counts as not run only if nothing was "
          "sent") {
    for (auto const& c : failures) {
        CAPTURE(c.guards);
        client_result result;
        result.status = c.status;
        result.reused = c.reused;
        auto const outcome = classify_result(result, names, false);
        CHECK(to_string(outcome) == to_string(c.expected));
        CHECK(may_have_run(outcome) == c.ran);
    }
}

// Guards against a word that is taken from another target's response, and
// against a Retry-After that can't be read.
TEST_CASE("a target's word is read from its complete responses") {
    struct row {
        char const* what;
        client_status transport;
        int status;
        http_fields fields;
        target_word word;
    };
    auto const complete = client_status::complete;
    using std::chrono::milliseconds;
    std::vector<row> const rows = {
        {"none", complete, 200, {}, {}},
        {"it leaves", complete, 200, {{"Leaving", "1"}}, {true, {}, false}},
        {"an error counts too",
         complete,
         500,
         {{"leaving", "1"}},
         {true, {}, false}},
        {"another value", complete, 200, {{"Leaving", "0"}}, {}},
        {"another target", complete, 421, {{"Leaving", "1"}}, {}},
        {"truncated", client_status::truncated, 200, {{"Leaving", "1"}}, {}},
        {"a rest",
         complete,
         503,
         {{"Retry-After", "2"}},
         {false, milliseconds(2'000), false}},
        {"a fraction",
         complete,
         503,
         {{"Retry-After", "0.25"}},
         {false, milliseconds(250), false}},
        {"another status", complete, 429, {{"Retry-After", "2"}}, {}},
        {"negative", complete, 503, {{"Retry-After", "-1"}}, {false, {}, true}},
        {"a date",
         complete,
         503,
         {{"Retry-After", "Sat, 05 Dec 2026 17:00:00 GMT"}},
         {false, {}, true}},
        {"absurd",
         complete,
         503,
         {{"Retry-After", "1e300"}},
         {false, {}, true}},
        {"not a number",
         complete,
         503,
         {{"Retry-After", "nan"}},
         {false, {}, true}},
    };
    header_names names_with_leaving = names;
    names_with_leaving.leaving = "Leaving";
    for (auto const& row : rows) {
        CAPTURE(row.what);
        client_result result;
        result.status = row.transport;
        result.head.status = row.status;
        result.head.fields = row.fields;
        CHECK(word_of(result, names_with_leaving) == row.word);
    }
}
