#include "yuccabeam/health/detector.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace yuccabeam;
using namespace yuccabeam::health;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

/// Requests until the score crosses, or `limit`.
std::uint32_t requests_until_alarm(detector_options const& options,
                                   double failure_rate, std::uint32_t limit,
                                   std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::bernoulli_distribution fails(failure_rate);
    cusum test;
    auto const threshold = threshold_of(options);
    for (std::uint32_t i = 1; i <= limit; ++i) {
        evidence_batch batch{i % 36};
        (fails(random) ? batch.bad : batch.good) = 1;
        add(test, batch, steps_for(options, 0), threshold, start);
        if (test.score >= threshold)
            return i;
    }
    return limit;
}

} // namespace

TEST_CASE("a failing target alarms soon, a healthy one not in 2 million") {
    struct row {
        ejection_policy policy;
        double rate;
        std::uint32_t least;
        std::uint32_t most;
    };
    // Upper bounds: 3 s of a target's 30 requests/s. A single failure or a
    // pair must not alarm, hence the lower bounds.
    for (auto const& row : std::vector<row>{
             {ejection_policy::detect_fast, 1.0, 5, 15},
             {ejection_policy::detect_fast, 0.3, 5, 90},
             {ejection_policy::detect_fast, 0.01, 2000000, 2000000},
             {ejection_policy::eject_carefully, 1.0, 5, 15},
             {ejection_policy::eject_carefully, 0.3, 5, 90},
             {ejection_policy::eject_carefully, 0.01, 2000000, 2000000}}) {
        CAPTURE(row.rate);
        double sum = 0;
        auto const runs = row.rate > 0.1 ? 50U : 1U;
        for (std::uint64_t seed = 1; seed <= runs; ++seed)
            sum += requests_until_alarm(options_for(row.policy), row.rate,
                                        2000000, seed);
        CHECK(sum / runs >= row.least);
        CHECK(sum / runs <= row.most);
    }
}

TEST_CASE("the threshold grows with the desired false alarm interval") {
    auto const fast = options_for(ejection_policy::detect_fast);
    auto const careful = options_for(ejection_policy::eject_carefully);
    CHECK(std::exp(threshold_of(fast)) == doctest::Approx(30. * 86400 * 100));
    CHECK(threshold_of(careful) > threshold_of(fast));
}

TEST_CASE("a failure rate shared with the other targets raises no alarm") {
    auto const options = options_for(ejection_policy::detect_fast);
    for (auto const others : {0.0, 0.05, 0.2, 0.4}) {
        CAPTURE(others);
        auto const steps = steps_for(options, others);
        auto const drift = others * steps.bad + (1 - others) * steps.good;
        CHECK(drift < 0);
        auto const alone = std::max(0.3, others * 2.2);
        CHECK(std::min(1.0, alone * 1.4) * steps.bad +
                  (1 - std::min(1.0, alone * 1.4)) * steps.good >
              0);
    }
}

TEST_CASE("failures of few callers or of one observer are not widespread") {
    auto const options = options_for(ejection_policy::detect_fast);
    struct row {
        std::uint64_t callers;
        std::uint32_t connection_faults;
        std::uint32_t second_observer_bad;
        std::uint32_t observers;
        bool spread;
    };
    for (auto const& row :
         std::vector<row>{{0b111, 0, 5, 2, true},
                          {0b011, 0, 5, 2, false}, // two callers
                          {0b001, 10, 5, 2, true}, // refused
                          {0b111, 0, 0, 2, false}, // one observer's link
                          {0b111, 0, 0, 1, true}}) {
        CAPTURE(row.callers);
        CAPTURE(row.second_observer_bad);
        cusum test;
        add(test,
            {1, 0, 10 - row.second_observer_bad, row.connection_faults,
             row.callers},
            {-1, 1}, 99, start);
        if (row.second_observer_bad > 0)
            add(test, {2, 0, row.second_observer_bad, 0, row.callers}, {-1, 1},
                99, start);
        CHECK(is_widespread(test, options, row.observers) == row.spread);
    }
}

TEST_CASE("the slow threshold follows the other targets' median") {
    auto const options = options_for(ejection_policy::detect_fast);
    CHECK(slow_threshold(options, 0ms, false) == duration::max());
    CHECK(slow_threshold(options, 1ms, false) == duration(11ms));
    CHECK(slow_threshold(options, 100ms, false) == duration(400ms));
    CHECK(slow_threshold(options, 100ms, true) == duration(1200ms));
}
