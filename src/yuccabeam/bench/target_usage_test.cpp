#include "placement_world.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace yuccabeam::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seeds = 8;

/// A service without idempotent requests at a ninth of a large fleet's size.
placement_scenario orders() {
    placement_scenario out;
    out.daemons = 21;
    out.domains = 5;
    out.link = milliseconds(5);
    out.repeat_slack = 23;
    out.targets = 27;
    out.non_idempotent_per_s = 84;
    out.idempotent_per_s = 0;
    out.checks_per_s = 0;
    out.work = milliseconds(630);
    out.work_spread = 0.8;
    out.objective = milliseconds(2'500);
    out.timeout = seconds(8);
    out.turn_period = seconds(12);
    out.failing_resets = 0.75;
    return out;
}

/// All failures come from one spell, in which 0.7 of the targets reset what
/// they get.
placement_scenario orders_after_spell() {
    auto out = orders();
    out.failing_share = 0;
    out.troubles = {{target_trouble::reset, 1, 19, seconds(20), seconds(1)}};
    out.usage_from = seconds(20);
    return out;
}

placement_scenario reads(double repeat_slack) {
    auto out = orders();
    out.targets = 17;
    out.repeat_slack = repeat_slack;
    out.non_idempotent_per_s = 0;
    out.idempotent_per_s = 40;
    out.work = milliseconds(810);
    return out;
}

placement_scenario little_traffic() {
    auto out = orders();
    out.targets = 10;
    out.non_idempotent_per_s = 14;
    out.work = milliseconds(500);
    return out;
}

struct row {
    std::string name;
    placement_scenario scenario;
};

std::vector<row> rows() {
    return {
        {"non-idempotent requests after a spell of resets",
         orders_after_spell()},
        {"non-idempotent requests, targets that fail in turns", orders()},
        {"idempotent requests", reads(23)},
        {"idempotent requests without a retry budget", reads(0)},
    };
}

void check_usage(placement_scenario scenario) {
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
        CAPTURE(scenario.seed);
        auto const usage = run_placement(scenario).usage;
        CAPTURE(usage.windows);
        CHECK(usage.windows > 0);
        CHECK(usage.windows_below == 0);
        CHECK(usage.least_share >= scenario.usage_share);
    }
}

} // namespace

// Guards against healthy targets that get no requests for seconds after they,
// or the requests of one daemon, have failed.
TEST_CASE("of the targets that are healthy again, at least 0.7 get requests in "
          "any 2 seconds") {
    for (auto const& row : rows()) {
        CAPTURE(row.name);
        check_usage(row.scenario);
    }
}

// Guards against the same where few requests reach each target.
TEST_CASE("at least 0.7 of the healthy targets of a service with little "
          "traffic get requests in any 2 seconds") {
    check_usage(little_traffic());
}

} // namespace yuccabeam::bench
