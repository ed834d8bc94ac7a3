#include "yuccabeam/placement/belief.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

} // namespace

TEST_CASE("evidence never makes a belief certain, and it fades") {
    belief_options const options;
    auto of = new_belief(options, start);
    for (int i = 0; i < 20; ++i)
        of = after_evidence(of, options.failure_factor, options, start);
    CHECK(failing_probability(of, options, start) ==
          doctest::Approx(options.highest));
    CHECK(failing_probability(of, options, start + 60s) ==
          doctest::Approx(options.prior).epsilon(0.01));
    for (int i = 0; i < 100; ++i)
        of = after_evidence(of, options.success_factor, options, start);
    CHECK(failing_probability(of, options, start) ==
          doctest::Approx(options.lowest));
}
