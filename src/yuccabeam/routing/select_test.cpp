#include "yuccabeam/routing/select.hpp"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace yuccabeam::routing {
namespace {

using enum target_state;
using enum select_status;

// Guards against queues beside free targets, against work for ejected and
// leaving targets, and against suspects that take work from healthy ones.
TEST_CASE("selection keeps the order of preference") {
    struct row {
        char const* name;
        select_status status;
        std::uint32_t index;
        std::vector<candidate> candidates;
        std::vector<std::uint32_t> excluded = {};
        bool trial = false;
    };
    // index, slots, weight, in flight, hint, domain, state, limit
    std::vector<row> const rows = {
        {"no candidates", none_eligible, 0, {}},
        {"own domain first, though more loaded",
         chosen,
         1,
         {{0, 6, 1, 0, 0, 1}, {1, 6, 1, 3, 1, 0}}},
        {"spills at the limit",
         chosen,
         0,
         {{0, 6, 1, 0, 0, 1}, {1, 6, 1, 2, 0, 0, healthy, 2}}},
        {"spills when other daemons take the slots",
         chosen,
         0,
         {{0, 6, 1, 0, 0, 1}, {1, 6, 1, 1, 5, 0}}},
        {"own limit decides when all seem full",
         chosen,
         1,
         {{0, 6, 1, 0, 9, 1}, {1, 6, 1, 1, 9, 0}}},
        {"healthy elsewhere before suspect here",
         chosen,
         0,
         {{0, 6, 1, 5, 0, 1}, {1, 6, 1, 0, 0, 0, suspect}}},
        {"suspect when no other has a slot",
         chosen,
         1,
         {{0, 6, 1, 6, 0, 0}, {1, 6, 1, 0, 0, 1, suspect}}},
        {"never ejected or leaving",
         none_eligible,
         0,
         {{0, 6, 1, 0, 0, 0, ejected}, {1, 6, 1, 0, 0, 0, leaving}},
         {},
         true},
        {"busy, not without targets",
         all_busy,
         0,
         {{0, 6, 1, 6, 0, 0}, {1, 6, 1, 0, 0, 0, ejected}}},
        {"not a tried target again",
         chosen,
         1,
         {{0, 6, 1, 0, 0, 0}, {1, 6, 1, 5, 0, 0}},
         {0}},
        {"all tried", none_eligible, 0, {{0, 6, 1, 0, 0, 0}}, {0}},
        {"no trial with this request",
         chosen,
         1,
         {{0, 6, 1, 0, 0, 0, trial}, {1, 6, 1, 5, 0, 0}}},
        {"trial first",
         chosen,
         0,
         {{0, 6, 1, 0, 0, 1, trial}, {1, 6, 1, 0, 0, 0}},
         {},
         true},
        {"one trial at a time",
         chosen,
         1,
         {{0, 6, 1, 1, 0, 0, trial}, {1, 6, 1, 5, 0, 0}},
         {},
         true},
        {"slow start scales the limit",
         chosen,
         1,
         {{0, 6, .5, 3, 0, 0}, {1, 6, 1, 5, 0, 0}}},
        {"slow start leaves one slot",
         chosen,
         0,
         {{0, 6, .1, 0, 0, 0}, {1, 6, 1, 6, 0, 0}}},
        {"no weight, no work", none_eligible, 0, {{0, 6, 0, 0, 0, 0}}},
    };
    std::mt19937_64 random(1);
    for (auto const& row : rows) {
        CAPTURE(row.name);
        for (int i = 0; i < 20; ++i)
            CHECK(select(row.candidates, {0, row.trial}, row.excluded,
                         random) == selection{row.status, row.index});
    }
}

// Guards against a busy answer beside a free target, and against choosing
// one that may not be chosen, over any mix of states.
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

// Guards against a herd at an idle target that has just returned, and
// against starving it, which would keep its evidence empty.
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

// Guards against a choice that ignores load: the busiest target always
// loses the comparison.
TEST_CASE("the less loaded of two candidates wins") {
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
