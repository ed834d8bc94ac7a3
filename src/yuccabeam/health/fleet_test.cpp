#include "fleet_sim.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::health;
using namespace yuccabeam::health::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t broken = 3;
constexpr time_point fault_start{130s};

answer healthy(std::mt19937_64& random) {
    // Log-normal latency with a heavy tail and 1% background errors.
    std::lognormal_distribution<double> latency(0, 1);
    std::bernoulli_distribution fails(0.01);
    return {fails(random) ? request_outcome::server_error : request_outcome::ok,
            from_seconds(std::min(0.005 * latency(random), 9.0))};
}

using effect = void (*)(answer& given, std::uint32_t target,
                        std::uint32_t daemon, std::mt19937_64& random);

fault_model with_fault(effect change, time_point end = time_point::max()) {
    return [change, end](std::uint32_t target, std::uint32_t daemon,
                         time_point now, std::mt19937_64& random) {
        auto given = healthy(random);
        if (now >= fault_start && now < end)
            change(given, target, daemon, random);
        return given;
    };
}

bool chance(double share, std::mt19937_64& random) {
    return std::bernoulli_distribution(share)(random);
}

constexpr answer refusal{request_outcome::refused, 1ms};

void none(answer&, std::uint32_t, std::uint32_t, std::mt19937_64&) {}

void crash(answer& given, std::uint32_t target, std::uint32_t,
           std::mt19937_64&) {
    if (target == broken)
        given = refusal;
}

void fail_30_percent(answer& given, std::uint32_t target, std::uint32_t,
                     std::mt19937_64& random) {
    if (target == broken && chance(0.3, random))
        given.outcome = request_outcome::server_error;
}

void slow_down(answer& given, std::uint32_t target, std::uint32_t,
               std::mt19937_64&) {
    if (target == broken)
        given.latency *= 10;
}

void slow_down_for_z1(answer& given, std::uint32_t target, std::uint32_t daemon,
                      std::mt19937_64&) {
    if (target == broken && daemon % 3 == 1)
        given.latency *= 10;
}

void cut_off_z1(answer& given, std::uint32_t target, std::uint32_t daemon,
                std::mt19937_64&) {
    if (target == broken && daemon % 3 == 1)
        given = {request_outcome::timeout, 500ms};
}

void overload_all(answer& given, std::uint32_t, std::uint32_t,
                  std::mt19937_64& random) {
    if (chance(0.25, random))
        given = {request_outcome::timeout, 1s};
}

void fail_all(answer& given, std::uint32_t, std::uint32_t, std::mt19937_64&) {
    given = {request_outcome::server_error, 1ms};
}

void slow_down_all(answer& given, std::uint32_t, std::uint32_t,
                   std::mt19937_64&) {
    given.latency *= 10;
}

void cut_link_of_daemon_5(answer& given, std::uint32_t target,
                          std::uint32_t daemon, std::mt19937_64&) {
    if (daemon == 5 && target % 3 == 0)
        given = {request_outcome::timeout, 1s};
}

void crash_six(answer& given, std::uint32_t target, std::uint32_t,
               std::mt19937_64&) {
    if (target < 6)
        given = refusal;
}

void lose_z0(answer& given, std::uint32_t target, std::uint32_t,
             std::mt19937_64&) {
    if (target % 3 == 0)
        given = refusal;
}

health_options options_of(ejection_policy policy) {
    health_options options;
    options.detector = options_for(policy);
    return options;
}

constexpr auto both_policies = {ejection_policy::detect_fast,
                                ejection_policy::eject_carefully};

/// Mean time until the last of the observers has sent five requests to a
/// target that fails them all, at 0.8 requests/s each: the detection time of
/// the rule "five consecutive errors at one daemon".
duration consecutive_errors_baseline(std::uint32_t observers) {
    std::mt19937_64 random(1);
    std::gamma_distribution<double> fifth(5, 1 / 0.8);
    double sum = 0;
    constexpr auto runs = 200;
    for (auto run = 0; run < runs; ++run) {
        double last = 0;
        for (std::uint32_t i = 0; i < observers; ++i)
            last = std::max(last, fifth(random));
        sum += last;
    }
    return from_seconds(sum / runs);
}

fleet fleet_with(ejection_policy policy, fault_model const& model,
                 std::uint64_t seed) {
    return {36, make_topology(15, 60), options_of(policy), model, seed};
}

} // namespace

TEST_CASE("a partly failing target is ejected only for observers that see the "
          "fault") {
    struct row {
        std::string what;
        effect change;
        std::string scope;
        /// Observers that see the fault, and when a request fails. A fifth
        /// of the baseline's time is allowed. 0: the baseline finds the
        /// fault rarely or never, and 10 s are allowed.
        std::uint32_t observers;
        duration fails_after;
    };
    std::vector<row> const rows = {
        {"crash", crash, "", 36, 1ms},
        {"30% failing", fail_30_percent, "", 0, 0s},
        {"10 times slower", slow_down, "", 0, 0s},
        {"10 times slower for one failure domain", slow_down_for_z1, "z1", 0,
         0s},
        {"unreachable for one failure domain", cut_off_z1, "z1", 12, 500ms}};
    for (auto const policy : both_policies)
        for (auto const& row : rows) {
            CAPTURE(row.what);
            CAPTURE(policy);
            auto const most =
                row.observers == 0
                    ? duration(10s)
                    : (consecutive_errors_baseline(row.observers) +
                       row.fails_after) /
                          5;
            auto fleet = fleet_with(policy, with_fault(row.change), 11);
            fleet.run(fault_start + most - fleet.now);
            auto const table = fleet.service_arbiter.table(fleet.now);
            REQUIRE(table.grants.size() == 1);
            CHECK(table.grants[0].target == "td");
            CHECK(table.grants[0].scope == row.scope);
            CHECK(table.grants[0].suppressed_by.empty());
            fleet.run(20ms); // the pushed table reaches every daemon
            for (auto i = 0U; i < 36; ++i)
                if (row.scope.empty() || i % 3 == 1)
                    CHECK(fleet.daemon(i).status(broken, fleet.now).reason ==
                          state_reason::granted);
        }
}

TEST_CASE("without a fault nothing is ejected") {
    for (auto const policy : both_policies) {
        auto fleet = fleet_with(policy, with_fault(none), 5);
        fleet.run(300s);
        CHECK(fleet.service_arbiter.counters().ejections == 0);
    }
}

TEST_CASE("faults of the whole service eject nothing") {
    struct row {
        std::string what;
        effect change;
    };
    std::vector<row> const rows = {{"a quarter times out", overload_all},
                                   {"all fail", fail_all},
                                   {"all 10 times slower", slow_down_all}};
    for (auto const policy : both_policies)
        for (auto const& row : rows) {
            CAPTURE(row.what);
            CAPTURE(policy);
            auto fleet = fleet_with(
                policy, with_fault(row.change, fault_start + 30s), 3);
            fleet.run(80s);
            CHECK(fleet.service_arbiter.counters().ejections == 0);
        }
}

TEST_CASE("a daemon's own bad link ejects nothing and is recognized") {
    auto fleet = fleet_with(ejection_policy::detect_fast,
                            with_fault(cut_link_of_daemon_5), 3);
    fleet.run(40s);
    auto avoided = 0;
    for (auto second = 0; second < 60; ++second) {
        fleet.run(1s);
        if (fleet.daemon(5).status(0, fleet.now).reason ==
            state_reason::own_link)
            ++avoided;
    }
    CHECK(fleet.service_arbiter.counters().ejections == 0);
    CHECK(avoided > 30);
}

TEST_CASE(
    "ejections stop at the floor, for many targets and for a lost domain") {
    struct row {
        std::string what;
        effect change;
        std::uint32_t bad;
        std::string suppressed_by;
    };
    std::vector<row> const rows = {
        {"six targets, budget for five", crash_six, 6, "budget"},
        {"a whole failure domain", lose_z0, 5, "domain-lost"}};
    for (auto const& row : rows) {
        CAPTURE(row.what);
        auto fleet =
            fleet_with(ejection_policy::detect_fast, with_fault(row.change), 3);
        fleet.run(60s);
        auto const table = fleet.service_arbiter.table(fleet.now);
        CHECK(table.grants.size() == row.bad);
        CHECK(std::any_of(table.grants.begin(), table.grants.end(),
                          [&](grant const& item) {
                              return item.suppressed_by == row.suppressed_by;
                          }));
        CHECK(fleet.lowest_capacity >= 60);
    }
}

TEST_CASE("a recovered target regains full weight within the expected time") {
    for (auto const length : {1s, 8s, 20s}) {
        CAPTURE(length.count());
        auto fleet = fleet_with(ejection_policy::detect_fast,
                                with_fault(crash, fault_start + length), 3);
        fleet.run(fault_start + length - fleet.now);
        REQUIRE(fleet.service_arbiter.counters().ejections == 1);
        // Hold-down after as many relapses as fit, 5 trials of at most 1.5 s
        // with probes, slow start, 2 s for reports.
        auto const relapses =
            fleet.service_arbiter.table(fleet.now).grants[0].relapses;
        auto const hold = 5 * (1U << relapses) * 1.2;
        fleet.run(from_seconds(hold + 7.5 + 10 + 2));
        CHECK(fleet.service_arbiter.table(fleet.now).grants.empty());
        for (auto i = 0U; i < 36; ++i) {
            auto const status = fleet.daemon(i).status(broken, fleet.now);
            CHECK(status.weight == 1);
            CHECK(status.state != target_state::ejected);
        }
    }
}
