// Loads on one service. Each is served with the admission and without it, where
// the order of arrival decides.
#include "service_world.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

void show(std::string const& load, world_result const& with,
          world_result const& without) {
    for (auto const& [name, kind] : with.kinds)
        MESSAGE(std::string(load)
                << " " << name << ": sent " << kind.sent << ", served "
                << kind.share() << ", refused " << kind.refused << ", late "
                << kind.late << "; at rest served "
                << without.kinds.at(name).share());
}

constexpr auto interactive = priority::interactive;
constexpr auto normal = priority::normal;
constexpr auto bulk = priority::bulk;

// The fleets in which each load is served. The slots of the service are fewer
// than the daemons of the last one, whose loads are old.
struct fleet {
    char const* name;
    world_options options;
    /// Daemons know of one another's requests in time. Where they don't, what
    /// they do together overshoots, and only a gain over the order of arrival
    /// is asked for.
    bool prompt = true;
};

std::vector<fleet> fleets() {
    return {{"one daemon", {.daemons = 1}},
            {"four daemons", {}},
            {"twelve daemons", {.daemons = 12, .load_age = 100ms}},
            {"80 daemons with relayed loads",
             {.daemons = 80, .load_age = 400ms, .relayed = true},
             false}};
}

// A tenth of the requests may stay unserved.
constexpr double nearly_all = 0.9;

std::size_t answered(kind_result const& kind) {
    return kind.served + kind.late + kind.refused;
}

template <class Check>
void for_each_fleet(char const* load, std::vector<caller_kind> const& kinds,
                    Check check) {
    for (auto const& fleet : fleets())
        for (std::uint64_t const seed : {7, 8, 9}) {
            auto options = fleet.options;
            options.seed = seed;
            CAPTURE(std::string(fleet.name));
            CAPTURE(seed);
            auto const with = serve(kinds, options);
            auto const rest = without_admission(kinds, options);
            if (seed == 7)
                show(std::string(load) + ", " + fleet.name, with, rest);
            check(with, rest, fleet.prompt);
            // Nothing waits while the service has room, or while less than 0.7
            // of its targets get requests for 2 s.
            if (fleet.prompt) {
                CHECK(with.waits_with_room == 0);
                CHECK(static_cast<double>(with.least_targets_used) >=
                      0.7 * targets);
            }
        }
}

std::vector<caller_kind> overload(double factor) {
    double const each = factor / 3 * capacity;
    return {{"urgent", "a", interactive, each, 300ms, 1s},
            {"normal", "b", normal, each},
            {"bulk", "c", bulk, each, 4s, 10s},
            {"later", "b", normal, 0.3 * capacity, 500ms, 2s, 1, 11s, 13s}};
}

} // namespace

// Load: a burst of requests that have time, beside urgent ones. Guards against
// the order of arrival, in which the burst takes the slots of the urgent ones.
TEST_CASE("a burst of bulk requests delays itself and not urgent requests") {
    std::vector<caller_kind> const kinds = {
        {"urgent", "a", interactive, 0.3 * capacity, 300ms, 1s},
        {"normal", "b", normal, 0.3 * capacity},
        {"bulk", "c", bulk, 1.4 * capacity, 5s, 10s, 1, 2s, 6s}};
    for_each_fleet(
        "bulk burst", kinds,
        [](auto const& with, auto const& rest, bool prompt) {
            auto const& urgent = with.kinds.at("urgent");
            CHECK(urgent.share() >=
                  (prompt ? nearly_all : 2 * rest.kinds.at("urgent").share()));
            CHECK(with.kinds.at("normal").share() >=
                  (prompt ? nearly_all : 2 * rest.kinds.at("normal").share()));
            CHECK(with.kinds.at("bulk").served > 0);
        });
}

// Load: one account sends ten times as much as each other one. Guards against
// an account that takes the slots of all; none may be served less than a
// quarter as often as all.
TEST_CASE("an account with ten times the requests doesn't displace others") {
    std::vector<caller_kind> const kinds = {
        {"greedy", "g", normal, 1.0 * capacity},
        {"small 1", "s1", normal, 0.1 * capacity},
        {"small 2", "s2", normal, 0.1 * capacity},
        {"small 3", "s3", normal, 0.1 * capacity}};
    for_each_fleet("greedy account", kinds,
                   [](auto const& with, auto const& rest, bool prompt) {
                       double served = 0;
                       double sent = 0;
                       for (auto const& [name, kind] : with.kinds) {
                           served += static_cast<double>(kind.served);
                           sent += static_cast<double>(kind.sent);
                       }
                       for (auto const& entry : with.kinds) {
                           auto const& name = entry.first;
                           auto const& kind = entry.second;
                           CAPTURE(name);
                           CHECK(kind.share() >= 0.25 * served / sent);
                           CHECK(kind.share() >=
                                 2 * rest.kinds.at(name).share());
                           if (prompt && name != "greedy")
                               CHECK(kind.share() >= nearly_all);
                       }
                   });
}

// Load: requests whose time is shorter than the usual service time, beside
// others. Guards against slots that are spent on answers nobody waits for.
TEST_CASE("requests that can't finish are refused at once and not run") {
    std::vector<caller_kind> const kinds = {
        {"hopeless", "a", normal, 0.5 * capacity, 70ms, 70ms},
        {"ample", "a", normal, 0.9 * capacity, 500ms, 1s}};
    for_each_fleet("little time", kinds,
                   [](auto const& with, auto const& rest, bool prompt) {
                       auto const& hopeless = with.kinds.at("hopeless");
                       if (prompt) {
                           CHECK(hopeless.refused > hopeless.late);
                           CHECK(with.kinds.at("ample").share() >= nearly_all);
                       }
                       CHECK(hopeless.refused >
                             rest.kinds.at("hopeless").refused);
                   });
}

// Load: bulk requests that need eight times the work of the others. Guards
// against long work that holds the slots that short work waits for.
TEST_CASE("long bulk work doesn't displace short work") {
    std::vector<caller_kind> const kinds = {
        {"long", "a", bulk, 0.1 * capacity, 5s, 10s, 8},
        {"short", "b", normal, 0.7 * capacity}};
    for_each_fleet("long and short work", kinds,
                   [](auto const& with, auto const& rest, bool prompt) {
                       auto const& few = with.kinds.at("short");
                       CHECK(
                           few.share() >=
                           (prompt ? 0.5 : 2 * rest.kinds.at("short").share()));
                       CHECK(with.kinds.at("long").served > 0);
                   });
}

// Load: more than the slots can serve for 10 s, and a usual load afterwards.
// Guards against an order that ignores priorities, a priority that starves, a
// queue that sustains the overload after its cause has ended, and requests
// without an answer.
TEST_CASE("an overload is borne by the lowest priorities and ends with its "
          "cause") {
    for (double const factor : {1.5, 3.0}) {
        CAPTURE(factor);
        auto const load = std::to_string(factor) + " times the capacity";
        for_each_fleet(
            load.c_str(), overload(factor),
            [&](auto const& with, auto const& rest, bool prompt) {
                auto const& urgent = with.kinds.at("urgent");
                auto const& normals = with.kinds.at("normal");
                auto const& bulks = with.kinds.at("bulk");
                CHECK(urgent.share() > normals.share());
                CHECK(urgent.share() >= 2 * rest.kinds.at("urgent").share());
                CHECK(normals.served > 0);
                CHECK(bulks.served > 0);
                if (prompt && factor < 2)
                    CHECK(normals.share() > bulks.share());
                for (auto const& entry : with.kinds) {
                    auto const& name = entry.first;
                    auto const& kind = entry.second;
                    CAPTURE(name);
                    CHECK(answered(kind) == kind.sent);
                }
                CHECK(with.kinds.at("later").share() >=
                      (prompt ? nearly_all
                              : 0.9 * rest.kinds.at("later").share()));
                CHECK(with.left_in_queue == 0);
                CHECK_FALSE(with.short_at_end);
            });
    }
}

// Load: four fifths of what the slots can serve. Guards against requests that
// wait or are refused although there is room.
TEST_CASE("with enough slots requests are served as without the admission") {
    std::vector<caller_kind> const kinds = {
        {"urgent", "a", interactive, 0.4 * capacity, 300ms, 1s},
        {"bulk", "c", bulk, 0.4 * capacity, 4s, 10s}};
    for_each_fleet(
        "enough slots", kinds, [](auto const& with, auto const& rest, bool) {
            for (auto const& entry : with.kinds) {
                auto const& name = entry.first;
                auto const& kind = entry.second;
                CAPTURE(name);
                CHECK(kind.share() >= rest.kinds.at(name).share() - 0.02);
                CHECK(kind.refused * 100 <= kind.sent);
            }
        });
}

// Load: twice the capacity, while no daemon hears of the others' requests.
// Guards against a daemon that takes missing loads for a reason to refuse.
TEST_CASE("loads that are missing make no request wait below the capacity") {
    world_options options;
    options.loads_arrive = false;
    auto const below = serve(
        {{"urgent", "a", interactive, 0.8 * capacity, 300ms, 1s}}, options);
    CHECK(below.queued == 0);
    auto const above = serve(overload(1.5), options);
    CHECK(above.kinds.at("later").share() >= nearly_all);
    CHECK(above.left_in_queue == 0);
}
