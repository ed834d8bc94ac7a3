#include "yuccabeam/membership/config_spread.hpp"
#include "yuccabeam/standins/simulated_fleet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace yuccabeam::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start_time{std::chrono::hours(1)};

received_digest from(char const* address, revision number) {
    return {{"p"}, address, {number, {}}};
}

// Guards against a fetch of a revision that is not newer, a second concurrent
// fetch, and a daemon that stops retrying when its peers fail.
TEST_CASE("fetches go to announcing peers first and then to the store") {
    config_spread spread({5, {}}, {});
    CHECK(!spread.digest_received(from("a", 4), start_time));
    CHECK(!spread.digest_received(from("a", 5), start_time));
    auto const first = spread.digest_received(from("a", 7), start_time);
    REQUIRE(first);
    CHECK(*first == fetch_request{{7, {}}, "a"});
    CHECK(!spread.digest_received(from("b", 7), start_time));
    CHECK(!spread.digest_received(from("c", 6), start_time));
    CHECK(spread.fetch_failed(start_time)->http_address == "b");
    CHECK(spread.fetch_failed(start_time)->http_address.empty());
    CHECK(!spread.fetch_failed(start_time));
    CHECK(!spread.tick(start_time + milliseconds(999)));
    CHECK(spread.digest_received(from("a", 7), start_time + seconds(1))
              ->http_address == "a");
    // A fetch without an outcome times out.
    auto const retry = spread.tick(start_time + seconds(3));
    REQUIRE(retry);
    CHECK(retry->http_address.empty());
}

// Guards against an undetected conflict between two manifests of one revision.
TEST_CASE("two manifests of one revision are counted") {
    config_spread spread({5, {}}, {});
    received_digest other = from("a", 5);
    other.config.manifest[0] = 1;
    CHECK(!spread.digest_received(other, start_time));
    CHECK(spread.counters().conflicts == 1);
}

// Guards against a revision that doesn't reach a daemon when announcements are
// lost and daemons restart while the store is unreachable, and against a daemon
// that reverts to a lower revision.
TEST_CASE("every running daemon gets the last revision") {
    CHECK(rc::check([] {
        constexpr std::size_t size = 9;
        standins::fleet_options settings;
        settings.seed = *rc::gen::arbitrary<std::uint64_t>();
        int loss = *rc::gen::inRange(0, 60);
        standins::simulated_fleet fleet(size, settings);
        std::vector<std::size_t> const all{0, 1, 2, 3, 4, 5, 6, 7, 8};
        for (std::size_t i : all)
            fleet.start(i, 1, all);
        fleet.set_link([&](std::size_t, std::size_t, random_engine& rng) {
            std::uniform_int_distribution<int> percent(0, 99);
            std::uniform_int_distribution<int> delay(1, 300);
            return std::vector<duration>(percent(rng) >= loss,
                                         milliseconds(delay(rng)));
        });
        std::vector<revision> in_force(size);
        fleet.set_applied([&](std::size_t i, config_digest config) {
            RC_ASSERT(config.revision > in_force[i]);
            in_force[i] = config.revision;
        });
        constexpr revision last = 6;
        for (revision number = 1; number <= last; ++number) {
            auto const at = *rc::gen::inRange<std::size_t>(0, size);
            if (in_force[at] < number)
                fleet.accept(at, {number, {}});
            fleet.run_for(milliseconds(*rc::gen::inRange(1, 2000)));
            auto const restarted = (at + 1) % size;
            in_force[restarted] = 0;
            fleet.start(restarted, 1 + number, all);
        }
        loss = 0;
        // One round of probes, with the local health's longest period once.
        fleet.run_for(seconds(9 + size));
        RC_ASSERT(in_force == std::vector<revision>(size, last));
    }));
}

} // namespace
} // namespace yuccabeam::membership
