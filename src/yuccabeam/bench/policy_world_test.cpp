#include "policy_scenarios.hpp"
#include "policy_yuccabeam.hpp"

#include <doctest/doctest.h>

namespace yuccabeam::bench {
namespace {

using std::chrono::seconds;

world_options small_service(std::uint64_t seed) {
    world_options out;
    out.deployment = deployments().front();
    out.deployment.daemons = 6;
    out.service = out.deployment.services.front();
    out.error_rate = 0;
    out.seed = seed;
    return out;
}

/// Sends everything to one target and claims to eject the first `Ejected`
/// targets.
template <std::uint32_t Target, std::uint32_t Ejected>
class fixed_node {
public:
    fixed_node(world& sim, fleet<fixed_node> const&, std::uint32_t self)
        : sim_(sim), self_(self) {}
    void start() {}
    void submit(std::uint64_t id) { sim_.send(self_, id, Target, false); }
    void sent(std::uint64_t) {}
    void ended(attempt const& tried) {
        sim_.answer(tried.call, tried.outcome == request_outcome::ok);
    }
    void vm_list(std::uint32_t, bool) {}
    void membership_changed() {}
    /// From 2 s after the start of the measurement on.
    bool ejects(std::uint32_t target) const {
        return target < Ejected && sim_.now() > time_point(seconds(32));
    }

private:
    world& sim_;
    std::uint32_t self_;
};

void crash_first(world& sim) {
    sim.set_fault(0, {fault_kind::refuse, 1, 1, {}});
    sim.at(sim.now() + seconds(5), [&sim] { sim.set_fault(0, {}); });
}

void calm(world&) {}

scenario short_run(void (*arrange)(world&)) {
    return {"test", arrange, nullptr, seconds(10), false};
}

// Guards against figures that change between two runs with the same seed.
TEST_CASE("a run is determined by its seed") {
    auto const run = [](std::uint64_t seed) {
        return run_policy<yuccabeam_node>(small_service(seed),
                                          short_run(crash_first));
    };
    auto const first = run(1);
    auto const again = run(1);
    CHECK(first.calls == again.calls);
    CHECK(first.successes == again.successes);
    CHECK(first.attempts == again.attempts);
    CHECK(first.detection_s == again.detection_s);
    CHECK(first.calls != run(2).calls);
}

// Guards against a detection time, success or fault share that hides a policy
// which never reacts.
TEST_CASE("a policy that stays at a crashed target is charged for it") {
    auto const seen =
        run_policy<fixed_node<0, 0>>(small_service(1), short_run(crash_first));
    REQUIRE(seen.detection_s.size() == 1);
    CHECK(seen.detection_s[0] > 4.9);
    CHECK(seen.quiet_s[0] > 4.9);
    CHECK(seen.at_faulty == seen.during_fault);
    CHECK(seen.successes < seen.calls);
    auto const away =
        run_policy<fixed_node<1, 0>>(small_service(1), short_run(crash_first));
    CHECK(away.detection_s[0] == 0);
    CHECK(away.at_faulty == 0);
}

// Guards against floor and false-ejection counters that can't fail.
TEST_CASE("ejections below the floor and of healthy targets are counted") {
    // 7 targets of 6 slots, floor 25: two ejections are allowed.
    auto const two =
        run_policy<fixed_node<6, 2>>(small_service(1), short_run(calm));
    CHECK(two.floor_slots == 25);
    CHECK(two.lowest_slots == 30);
    CHECK(two.floor_violations == 0);
    CHECK(two.false_ejections == 2);
    auto const three =
        run_policy<fixed_node<6, 3>>(small_service(1), short_run(calm));
    CHECK(three.lowest_slots == 24);
    CHECK(three.floor_violations == 1);
}

// Guards against a target that works on more requests than it has slots.
TEST_CASE("one target does not serve more than its slots allow") {
    auto options = small_service(1);
    options.sigma = 0;
    auto const seen = run_policy<fixed_node<0, 0>>(options, short_run(calm));
    // 6 slots of 20 ms for 10 s, and the requests under way at the end.
    CHECK(seen.successes <= 6 * 50 * 10 + 6);
    CHECK(seen.successes > 6 * 50 * 9);
}

// Guards against a baseline weaker than its description, which would flatter
// the comparison.
TEST_CASE("five consecutive errors, and no fewer, eject for 30 s") {
    consecutive_errors strategy(2, 0);
    time_point const now{};
    for (int i = 0; i < 4; ++i)
        strategy.ended(0, true, now);
    CHECK_FALSE(strategy.ejected(0, now));
    strategy.ended(0, false, now);
    for (int i = 0; i < 5; ++i)
        strategy.ended(0, true, now);
    CHECK(strategy.ejected(0, now));
    CHECK(strategy.ejected(0, now + seconds(29)));
    CHECK_FALSE(strategy.ejected(0, now + seconds(31)));
    CHECK_FALSE(strategy.ejected(1, now));
}

} // namespace
} // namespace yuccabeam::bench
