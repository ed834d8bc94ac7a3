#include "yuccabeam/placement/expected_value.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

request_conditions usual() {
    request_conditions out;
    out.time_left = 4s;
    out.objective_left = 2s;
    out.service_time = 500ms;
    return out;
}

double value(target_conditions const& target,
             request_conditions const& request = usual()) {
    return expected_value(target, request, {});
}

struct order_case {
    char const* guards;
    target_conditions better;
    target_conditions worse;
};

constexpr double sound = 0.03;
constexpr double failing = 0.9;

std::vector<order_case> const cases = {
    {"a failing target while the healthy one has free slots",
     {sound, 5, 6},
     {failing, 0, 6}},
    {"a failing target while the healthy one's queue is short",
     {sound, 11, 6},
     {failing, 0, 6}},
    {"a queue that takes longer than the caller waits",
     {failing, 0, 6},
     {sound, 60, 6}},
    {"the more loaded of two alike", {sound, 1, 6}, {sound, 2, 6}},
    {"the smaller of two with the same load", {sound, 4, 12}, {sound, 4, 6}},
    {"a cold target while another has slots",
     {sound, 2, 6},
     {sound, 2, 6, true}},
    {"another failure domain at equal load",
     {sound, 1, 6},
     {sound, 1, 6, false, true}},
    {"the local failure domain despite a long queue",
     {sound, 1, 6, false, true},
     {sound, 9, 6}},
};

} // namespace

TEST_CASE("which of two targets has the higher expected value") {
    for (auto const& c : cases) {
        CAPTURE(c.guards);
        CHECK(value(c.better) > value(c.worse));
    }
}

TEST_CASE("load never makes a target that surely fails attractive: value is "
          "a product, not a sum of costs") {
    for (double in_flight = 0; in_flight < 100; ++in_flight)
        CHECK(value({sound, in_flight, 6}) >= value({1, 0, 6}));
}

TEST_CASE("a failure costs less if the request may be retried") {
    auto retryable = usual();
    retryable.retryable = true;
    CHECK(value({failing, 0, 6}, retryable) > value({failing, 0, 6}));
    CHECK(value({0, 0, 6}, retryable) == doctest::Approx(value({0, 0, 6})));
}

TEST_CASE("the probability of a response in time falls with the expected time "
          "and is 0.5 at the limit") {
    CHECK(probability_in_time(1s, 1s, 0.4) == doctest::Approx(0.5));
    CHECK(probability_in_time(500ms, 1s, 0.4) > 0.9);
    CHECK(probability_in_time(2s, 1s, 0.4) < 0.1);
    // Zero expected time: unknown service. Zero limit: no response can arrive
    // in time.
    CHECK(probability_in_time(0s, 1s, 0.4) == 1);
    CHECK(probability_in_time(1s, 0s, 0.4) == 0);
}
