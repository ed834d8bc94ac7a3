#include "ejection_registry.hpp"
#include "fleet_sim.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::health;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

verdict_evidence bad(std::uint32_t of_hundred) {
    verdict_evidence evidence;
    evidence.requests = 100;
    evidence.bad = of_hundred;
    return evidence;
}

std::uint32_t granted(ejection_registry const& registry,
                      std::uint32_t targets) {
    std::uint32_t number = 0;
    for (std::uint32_t i = 0; i < targets; ++i)
        number += registry.record_of(i).granted ? 1U : 0U;
    return number;
}

} // namespace

TEST_CASE("grants go to the worst targets when the budget is short") {
    auto const topology = test::make_topology(3, 0);
    ejection_registry registry(topology, {}, 1);
    registry.eject(0, "", bad(30), start);
    registry.eject(1, "", bad(100), start);
    registry.eject(2, "", bad(60), start);
    CHECK(registry.update_grants(topology, 12, start));
    CHECK(registry.record_of(0).suppressed_by == "budget");
    CHECK(registry.record_of(1).granted);
    CHECK(registry.record_of(2).granted);
}

TEST_CASE("a shrinking share can't be exceeded by alternating subsets") {
    auto const topology = test::make_topology(4, 0);
    ejection_registry registry(topology, {}, 1);
    for (std::uint32_t i = 0; i < 4; ++i)
        registry.eject(i, "", bad(90 - i), start);
    registry.update_grants(topology, 24, start);
    CHECK(granted(registry, 4) == 4);
    registry.update_grants(topology, 12, start + 1s);
    CHECK(granted(registry, 4) == 2);
    // The renewed ejections end; the other targets must not replace them while
    // grants of the first table may still be valid.
    registry.cancel(0);
    registry.cancel(1);
    registry.update_grants(topology, 12, start + 2s);
    CHECK(granted(registry, 4) == 0);
    CHECK(registry.outstanding_slots(topology, start + 4400ms) == 24);
    CHECK(registry.outstanding_slots(topology, start + 5s) == 12);
    registry.update_grants(topology, 12, start + 6s);
    CHECK(granted(registry, 4) == 2);
}

TEST_CASE("hold-downs double at relapses, up to the limit, with jitter") {
    auto const topology = test::make_topology(1, 0);
    grant_options const options;
    ejection_registry registry(topology, options, 7);
    std::vector<trial_candidate> const daemons = {{{"d0"}, "z0", {}}};
    auto now = start;
    registry.eject(0, "", bad(100), now);
    duration wanted = options.hold_down;
    for (auto relapses = 0; relapses < 9; ++relapses) {
        auto const length = registry.record_of(0).hold_until - now;
        CAPTURE(relapses);
        CHECK(to_seconds(length) >= to_seconds(wanted) * 0.8);
        CHECK(to_seconds(length) <= to_seconds(wanted) * 1.2);
        now = registry.record_of(0).hold_until;
        registry.advance(topology, daemons, now);
        REQUIRE(registry.record_of(0).phase == ejection_phase::trial);
        registry.record_trial(
            0, {"d0"}, {"ta", registry.record_of(0).trial_round, 3, true}, now);
        wanted = std::min<duration>(wanted * 2, options.max_hold_down);
    }
}

TEST_CASE("only the assigned daemon's current trial round ends an ejection") {
    auto const topology = test::make_topology(1, 0);
    ejection_registry registry(topology, {}, 7);
    registry.eject(0, "", bad(100), start);
    auto const now = registry.record_of(0).hold_until;
    registry.advance(topology, {{{"d1"}, "z0", {"z0"}}, {{"d0"}, "z0", {}}},
                     now);
    // d1 suspects its link to the target's failure domain.
    REQUIRE(registry.record_of(0).trial_daemon == daemon_id{"d0"});
    auto const round = registry.record_of(0).trial_round;
    CHECK_FALSE(registry.record_trial(0, {"d1"}, {"ta", round, 5, false}, now));
    CHECK_FALSE(
        registry.record_trial(0, {"d0"}, {"ta", round + 1, 5, false}, now));
    CHECK_FALSE(registry.record_trial(0, {"d0"}, {"ta", round, 4, false}, now));
    CHECK(registry.record_trial(0, {"d0"}, {"ta", round, 5, false}, now));
    CHECK(registry.record_of(0).phase == ejection_phase::returning);
    registry.advance(topology, {}, now + 10s);
    CHECK(registry.record_of(0).phase == ejection_phase::none);
}

// Guards against a trial from a failure domain that doesn't see the fault: its
// success would re-admit the target for the domains that still see it.
TEST_CASE(
    "trials run in the failure domain with the worst view of the target") {
    struct row {
        std::string worst;
        std::vector<trial_candidate> candidates;
        char const* chosen;
    };
    row const rows[] = {
        {"z1", {{{"d0"}, "z0", {}}, {{"d1"}, "z1", {}}}, "d1"},
        {"z0", {{{"d0"}, "z0", {}}, {{"d1"}, "z1", {}}}, "d0"},
        {"z1", {{{"d0"}, "z0", {}}}, "d0"}, // no candidate in z1
        {"z1", {{{"d0"}, "z0", {}}, {{"d1"}, "z1", {"z0"}}}, "d0"}, // bad link
    };
    auto const topology = test::make_topology(1, 0);
    for (auto const& row : rows) {
        CAPTURE(row.worst);
        ejection_registry registry(topology, {}, 7);
        registry.eject(0, "", bad(100), start);
        registry.set_trial_domain(0, row.worst);
        registry.advance(topology, row.candidates,
                         registry.record_of(0).hold_until);
        CHECK(registry.record_of(0).trial_daemon == daemon_id{row.chosen});
    }
}

TEST_CASE("a silent trial daemon is replaced") {
    auto const topology = test::make_topology(1, 0);
    ejection_registry registry(topology, {}, 7);
    registry.eject(0, "", bad(100), start);
    auto const now = registry.record_of(0).hold_until;
    registry.advance(topology, {{{"d0"}, "z0", {}}}, now);
    registry.advance(topology, {{{"d1"}, "z0", {}}}, now + 1s);
    CHECK(registry.record_of(0).trial_daemon == daemon_id{"d1"});
}
