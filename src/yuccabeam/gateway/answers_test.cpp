#include "yuccabeam/gateway/answers.hpp"

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

} // namespace

TEST_CASE("an attempt without an answer counts as not run only when nothing "
          "was sent") {
    for (auto const& c : ends) {
        CAPTURE(c.guards);
        client_result result;
        result.status = c.status;
        result.reused = c.reused;
        auto const outcome = judge(result, names, false);
        CHECK(to_string(outcome) == to_string(c.expected));
        CHECK(may_have_run(outcome) == c.ran);
    }
}
