#include "yuccabeam/placement/failure_estimate.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

} // namespace

TEST_CASE(
    "evidence never makes an estimate certain, and it decays to the prior") {
    failure_estimate_options const options;
    auto estimate = prior_estimate(options, start);
    for (int i = 0; i < 20; ++i)
        estimate =
            updated_estimate(estimate, options.failure_factor, options, start);
    CHECK(failing_probability(estimate, options, start) ==
          doctest::Approx(options.highest));
    CHECK(failing_probability(estimate, options, start + 60s) ==
          doctest::Approx(options.prior).epsilon(0.01));
    for (int i = 0; i < 100; ++i)
        estimate =
            updated_estimate(estimate, options.success_factor, options, start);
    CHECK(failing_probability(estimate, options, start) ==
          doctest::Approx(options.lowest));
}
