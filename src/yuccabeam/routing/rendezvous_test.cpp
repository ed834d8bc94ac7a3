#include "yuccabeam/routing/rendezvous.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>
#include <string>

namespace yuccabeam::routing {
namespace {

daemons_by_domain fleet(int domains, int per_domain) {
    daemons_by_domain out;
    for (int d = 0; d < domains; ++d)
        for (int i = 0; i < per_domain; ++i)
            out[{std::to_string(d)}].push_back(
                {std::to_string(d).append("-").append(std::to_string(i))});
    return out;
}

// Guards against home daemons that change when an unrelated daemon fails, and
// against daemons that disagree because their member lists differ in order.
TEST_CASE("a failed daemon is replaced and the other home daemons stay") {
    CHECK(rc::check([] {
        auto daemons = fleet(3, 30);
        service_id const service{*rc::gen::arbitrary<std::string>()};
        auto const before = home_daemons(service, daemons);
        RC_ASSERT(before.size() == 9U);
        for (auto& [domain, members] : daemons)
            std::ranges::reverse(members);
        RC_ASSERT(home_daemons(service, daemons) == before);

        auto& members = daemons.at({"1"});
        auto const at = *rc::gen::inRange<std::ptrdiff_t>(0, 30);
        auto const lost = members[static_cast<std::size_t>(at)];
        members.erase(members.begin() + at);
        auto const after = home_daemons(service, daemons);
        for (auto const& home : before)
            RC_ASSERT(home.id == lost || std::ranges::count(after, home) == 1);
        RC_ASSERT(after.size() == 9U);
    }));
}

// Guards against too few home daemons in a small fleet or failure domain.
TEST_CASE("number of home daemons and watchers by fleet size") {
    service_id const service{"stock"};
    CHECK(home_daemons(service, fleet(4, 16)).size() == 64);
    CHECK(home_daemons(service, fleet(5, 13)).size() == 15);
    CHECK(home_daemons(service, fleet(40, 2)).size() == 80);
    CHECK(home_daemons(service, {}).empty());
    CHECK(watchers(fleet(3, 12)).size() == 6);
    CHECK(watchers(fleet(3, 1)).size() == 3);
}

// Guards against targets that no daemon connects to, against overloaded
// daemons, and against daemons whose results are inconsistent.
TEST_CASE("subsets cover every target equally and within the bound") {
    CHECK(rc::check([] {
        auto const homes = home_daemons({"s"}, fleet(4, 20));
        std::vector<placed_target> targets;
        auto const count = *rc::gen::inRange<std::size_t>(1, 80);
        for (std::size_t i = 0; i < count; ++i)
            targets.push_back({{std::to_string(i)},
                               {std::to_string(*rc::gen::inRange(0, 5))}});
        subset_options options;
        options.targets_per_daemon = *rc::gen::inRange<std::size_t>(1, 20);

        std::map<target_id, std::size_t> homes_of;
        std::size_t most = 0;
        std::size_t total = 0;
        for (auto const& home : homes) {
            auto const subset =
                target_subset(home.id, {"s"}, homes, targets, options);
            std::set<target_id> const distinct(subset.begin(), subset.end());
            RC_ASSERT(distinct.size() == subset.size());
            for (auto const& target : subset)
                ++homes_of[target];
            most = std::max(most, subset.size());
            total += subset.size();
        }
        RC_ASSERT(homes_of.size() == count);
        auto const each = total / count;
        for (auto const& [target, number] : homes_of)
            RC_ASSERT(number == each);
        RC_ASSERT(each >= options.min_homes);
        double const mean =
            static_cast<double>(total) / static_cast<double>(homes.size());
        RC_ASSERT(static_cast<double>(most) <= options.slack * mean + 1.0);
    }));
    CHECK(target_subset({"x"}, {"s"}, {}, {}).empty());
}

// Guards against daemons that don't connect to the targets of their own failure
// domain.
TEST_CASE("home daemons of a target's failure domain come first") {
    auto const homes = home_daemons({"s"}, fleet(4, 20));
    std::vector<placed_target> targets(40);
    for (std::size_t i = 0; i < targets.size(); ++i)
        targets[i] = {{std::to_string(i)}, {std::to_string(i % 4)}};
    subset_options options;
    options.targets_per_daemon = 10;
    for (auto const& home : homes) {
        auto const subset =
            target_subset(home.id, {"s"}, homes, targets, options);
        for (auto const& target : targets)
            if (target.failure_domain == home.failure_domain)
                CHECK(std::ranges::count(subset, target.id) == 1);
    }
}

// Guards against a target with too few daemons because those of its failure
// domain have reached their bound.
TEST_CASE("the number of daemons per target has priority over their bound") {
    std::vector<placed_daemon> const homes = {
        {{"1"}, {"a"}}, {{"2"}, {"a"}}, {{"3"}, {"a"}}, {{"4"}, {"b"}}};
    std::vector<placed_target> targets(40);
    for (std::size_t i = 0; i < targets.size(); ++i)
        targets[i] = {{std::to_string(i)}, {"a"}};
    subset_options options;
    options.targets_per_daemon = 30;
    std::size_t total = 0;
    for (auto const& home : homes)
        total += target_subset(home.id, {"s"}, homes, targets, options).size();
    CHECK(total == 3 * targets.size());
}

} // namespace
} // namespace yuccabeam::routing
