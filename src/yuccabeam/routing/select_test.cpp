#include "yuccabeam/routing/select.hpp"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace yuccabeam::routing {
namespace {

using enum target_state;
using enum select_status;

constexpr std::uint32_t here = 0;
constexpr std::uint32_t there = 1;

candidate busy(std::uint32_t domain, std::uint32_t in_flight,
               double load_hint = 0.0, std::uint32_t limit = 6) {
    return {0, 6, 1.0, in_flight, load_hint, domain, healthy, limit};
}

candidate in(target_state state, std::uint32_t domain,
             std::uint32_t in_flight = 0) {
    return {0, 6, 1.0, in_flight, 0.0, domain, state};
}

candidate warming(double weight, std::uint32_t in_flight) {
    return {0, 6, weight, in_flight};
}

// Guards against queueing while a target is free, against requests to ejected
// and leaving targets, and against suspect targets preferred to healthy ones.
TEST_CASE("selection follows the order of preference") {
    constexpr selection all_at_limit = {all_busy, 0};
    constexpr selection none = {none_eligible, 0};
    constexpr selection first = {chosen, 0};
    constexpr selection second = {chosen, 1};
    struct row {
        char const* name;
        selection expected;
        std::vector<candidate> candidates;
        std::vector<std::uint32_t> excluded = {};
        bool trial = false;
    };
    std::vector<row> rows = {
        {"no candidates", none, {}},
        {"local but loaded", second, {busy(there, 0), busy(here, 3, 1)}},
        {"local at limit", first, {busy(there, 0), busy(here, 2, 0, 2)}},
        {"filled by other daemons", first, {busy(there, 0), busy(here, 1, 5)}},
        {"all seem full", second, {busy(there, 0, 9), busy(here, 1, 9)}},
        {"remote healthy", first, {busy(there, 5), in(suspect, here)}},
        {"only suspect free", second, {busy(here, 6), in(suspect, there)}},
        {"ejected", none, {in(ejected, here)}, {}, true},
        {"leaving", none, {in(leaving, here)}, {}, true},
        {"all busy", all_at_limit, {busy(here, 6), in(ejected, here)}},
        {"tried", second, {busy(here, 0), busy(here, 5)}, {0}},
        {"all tried", none, {busy(here, 0)}, {0}},
        {"no trial", second, {in(trial, here), busy(here, 5)}},
        {"trial", first, {in(trial, there), busy(here, 0)}, {}, true},
        {"second trial", second, {in(trial, here, 1), busy(here, 0)}, {}, true},
        {"slow start", second, {warming(0.5, 3), busy(here, 5)}},
        {"slow start, one slot", first, {warming(0.1, 0), busy(here, 6)}},
        {"no weight", none, {warming(0.0, 0)}},
    };
    std::mt19937_64 random(1);
    for (auto& row : rows) {
        CAPTURE(row.name);
        for (std::uint32_t i = 0; i < row.candidates.size(); ++i)
            row.candidates[i].index = i;
        for (int i = 0; i < 20; ++i)
            CHECK(select(row.candidates, {here, row.trial}, row.excluded,
                         random) == row.expected);
    }
}

// Guards against a busy result while a target is free, and against choosing an
// ineligible target, over any mix of states.
TEST_CASE("the chosen target is eligible and has a free slot") {
    CHECK(rc::check([] {
        std::vector<candidate> all;
        auto const count = *rc::gen::inRange<std::uint32_t>(0, 8);
        for (std::uint32_t i = 0; i < count; ++i)
            all.push_back(
                {i, 6, *rc::gen::element(0.1, 0.5, 1.0),
                 *rc::gen::inRange(0U, 4U), *rc::gen::element(0.0, 2.5, 8.0),
                 *rc::gen::inRange(0U, 3U),
                 *rc::gen::element(healthy, suspect, trial, ejected, leaving),
                 *rc::gen::inRange(1U, 5U)});
        std::vector<std::uint32_t> const excluded = {1, 3};
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        bool const may_run_trial = *rc::gen::arbitrary<bool>();
        auto const result = select(all, {0, may_run_trial}, excluded, random);

        bool eligible = false;
        bool free_healthy = false;
        bool free_suspect = false;
        for (auto const& c : all) {
            if (c.index == 1 || c.index == 3 ||
                (c.state != healthy && c.state != suspect))
                continue;
            bool const open =
                c.in_flight == 0 || c.in_flight < c.limit * c.weight;
            eligible = true;
            free_healthy = free_healthy || (open && c.state == healthy);
            free_suspect = free_suspect || (open && c.state == suspect);
        }
        if (result.status != chosen) {
            RC_ASSERT(!free_healthy && !free_suspect);
            RC_ASSERT((result.status == all_busy) == eligible);
            return;
        }
        auto const& c = all.at(result.index);
        RC_ASSERT(result.index != 1U && result.index != 3U);
        RC_ASSERT(c.state == healthy || (c.state == suspect && !free_healthy) ||
                  (c.state == trial && may_run_trial && c.in_flight == 0));
        RC_ASSERT(c.in_flight == 0 || c.in_flight < c.limit * c.weight);
    }));
}

// Guards against a thundering herd at an idle target that has just recovered,
// and against starving it, which would leave its health without evidence.
TEST_CASE("an idle target in slow start takes a share near its weight") {
    std::vector<candidate> all;
    for (std::uint32_t i = 0; i < 10; ++i)
        all.push_back({i, 6, i == 0 ? 0.1 : 1.0});
    std::mt19937_64 random(7);
    std::map<std::uint32_t, int> counts;
    for (int i = 0; i < 91'000; ++i)
        ++counts[select(all, {}, {}, random).index];
    // 91,000 x 0.1 / 9.1 = 1,000 expected.
    CHECK(counts[0] > 800);
    CHECK(counts[0] < 1'200);
    for (std::uint32_t i = 1; i < 10; ++i)
        CHECK(counts[i] > 9'000);
}

// Guards against a choice that ignores load: the most loaded target is never
// chosen.
TEST_CASE("the less loaded of two candidates is chosen") {
    std::vector<candidate> const all = {
        {0, 6, 1, 1, 3.0}, {1, 6, 1, 2, 0.0}, {2, 12, 1, 4, 0.0}};
    std::mt19937_64 random(3);
    std::map<std::uint32_t, int> counts;
    for (int i = 0; i < 1'000; ++i)
        ++counts[select(all, {}, {}, random).index];
    CHECK(counts[0] == 0);
    CHECK(counts[1] > 0);
    CHECK(counts[2] > 0);
}

} // namespace
} // namespace yuccabeam::routing
