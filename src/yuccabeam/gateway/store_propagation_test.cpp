#include "store_fleet_simulation.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto daemons_per_domain = store_fleet_simulation::daemons_per_domain;
// Time limit for a configuration change to be in force on every daemon.
constexpr duration apply_limit = 2s;

std::vector<silence_case> const cases = {
    {"no daemon is cut off", [](auto, auto) { return false; }},
    {"one watcher is cut off",
     [](auto domain, auto index) { return domain == 0 && index == 0; }},
    {"two watchers are cut off",
     [](auto domain, auto index) { return domain < 2 && index == 0; }},
    {"all watchers are cut off", [](auto, auto index) { return index == 0; }},
    {"all watchers and their first standbys are cut off",
     [](auto, auto index) { return index < 2; }},
    {"all watchers and all standbys but one per domain are cut off",
     [](auto, auto index) { return index < daemons_per_domain - 1; }},
    {"all daemons but one are cut off",
     [](auto domain, auto index) {
         return domain != 1 || index != daemons_per_domain - 1;
     }},
    {"all watchers are cut off, and datagrams are lost",
     [](auto, auto index) { return index == 0; }, false, 0.05},
    {"all watchers are killed", [](auto, auto index) { return index == 0; },
     true},
};

/// The time from the change until all running daemons have it.
duration propagation_time(silence_case const& c, duration silent_from,
                          duration change) {
    store_fleet_simulation simulation(c, silent_from, {change});
    auto const changed_at = store_fleet_simulation::start + change;
    while (simulation.now() < changed_at + 5s) {
        simulation.advance();
        if (simulation.now() >= changed_at && simulation.all_have_newest())
            return simulation.now() - changed_at;
    }
    return 5s;
}

} // namespace

// Guards against detection timeouts that add up when the store stops
// answering, so that a change arrives late.
TEST_CASE("a change reaches every daemon in time while the store doesn't "
          "answer its watchers") {
    for (auto const& c : cases) {
        duration worst{};
        // The change comes shortly after the store stops answering, and at
        // different phases of the watches.
        for (duration silent = 5s; silent < 6s; silent += 50ms)
            for (duration const later : {10ms, 200ms, 500ms, 900ms})
                worst = std::max(worst,
                                 propagation_time(c, silent, silent + later));
        CAPTURE(std::string(c.guards));
        CHECK(to_milliseconds(worst) <= to_milliseconds(apply_limit));
    }
}

// Guards against ages that lose the time in transit each time that a daemon
// passes them on.
TEST_CASE("no daemon takes its copy for younger than the store's last answer "
          "in an outage") {
    silence_case const outage{"an outage", [](auto, auto) { return true; }};
    constexpr duration silent_from = 5s;
    // A call that the store has received before is still answered.
    constexpr duration answer = 20ms;
    for (duration later = 0ms; later < 600ms; later += 100ms) {
        store_fleet_simulation simulation(outage, silent_from + later, {1h});
        auto const last = simulation.start + silent_from + later + answer;
        while (simulation.now() < last + 9s)
            simulation.advance();
        for (std::size_t d = 0; d < simulation.daemons; ++d)
            CHECK(to_milliseconds(simulation.confirmed_at(d) - last) <= 0);
    }
}
