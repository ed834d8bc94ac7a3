#include "placement_world.hpp"

#include <cmath>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(scenario, "", "run only scenarios whose name begins so");
DEFINE_int32(seeds, 32, "runs of each scenario");
DEFINE_int32(digest_ms, 100, "period of what failure domains tell each other");
DEFINE_int32(digest_targets, 35, "targets in one such message");
DEFINE_string(set, "", "options to change, as name=value,name=value");

using namespace yuccabeam;
using namespace yuccabeam::bench;

namespace {

void add(class_result& sum, class_result const& one) {
    sum.asked += one.asked;
    sum.in_objective += one.in_objective;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.failed += one.failed;
}

void add(usage_result& sum, usage_result const& one) {
    sum.windows += one.windows;
    sum.windows_below += one.windows_below;
    sum.sum_of_shares += one.sum_of_shares;
    sum.least_share = std::min(sum.least_share, one.least_share);
}

struct options {
    placement::target_table_options table;
    placement::dispatch_options dispatch;
};

std::map<std::string, double*> settable(options& of) {
    auto& estimate = of.table.estimate;
    return {{"prior", &estimate.prior},
            {"failure_factor", &estimate.failure_factor},
            {"doubt_factor", &estimate.doubt_factor},
            {"crowded_doubt_factor", &estimate.crowded_doubt_factor},
            {"success_factor", &estimate.success_factor},
            {"lowest", &estimate.lowest},
            {"highest", &estimate.highest},
            {"suspicion", &estimate.suspicion},
            {"late_worth", &of.table.value.late_worth},
            {"spread", &of.table.value.spread},
            {"repeat_cost", &of.table.value.repeat_cost},
            {"load_cost", &of.table.value.load_cost},
            {"crossing_cost_per_mb", &of.table.value.crossing_cost_per_mb},
            {"least_crossing_cost", &of.table.value.least_crossing_cost},
            {"room_utilisation", &of.table.room_utilisation},
            {"likely_failing", &of.table.likely_failing},
            {"min_share_used", &of.table.min_share_used},
            {"trial_share", &of.table.trials.share},
            {"trial_burst", &of.table.trials.burst},
            {"hedge_share", &of.dispatch.hedge_share},
            {"overdue_share", &of.dispatch.overdue_share},
            {"overdue_factor", &of.dispatch.overdue_factor}};
}

std::map<std::string, duration*> settable_times(options& of) {
    return {{"memory_s", &of.table.estimate.memory},
            {"trial_after_s", &of.table.trial_after},
            {"trial_interval_s", &of.table.trial_interval},
            {"trial_pause_s", &of.table.trial_pause},
            {"trial_spread_s", &of.table.trial_mean_delay},
            {"max_idle_s", &of.table.max_idle},
            {"max_idle_failing_s", &of.table.max_idle_failing},
            {"max_idle_failing_urgent_s", &of.table.max_idle_failing_urgent}};
}

bool apply_settings(std::string const& text, options& to) {
    auto const numbers = settable(to);
    auto const times = settable_times(to);
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        auto const at = part.find('=');
        auto const name = part.substr(0, at);
        auto const value =
            at == std::string::npos ? 0 : std::strtod(&part[at + 1], nullptr);
        if (auto const found = numbers.find(name); found != numbers.end())
            *found->second = value;
        else if (auto const time = times.find(name); time != times.end())
            *time->second = from_seconds(value);
        else
            return false;
    }
    return true;
}

// Share of what the requests are worth that was earned: late answers count
// for a part, and failures on a logarithmic scale besides.
double worth(class_result const& result) {
    constexpr double late_worth = 0.4;
    constexpr double best_failed_share = 0.005;
    if (result.asked == 0)
        return 0;
    auto const asked = static_cast<double>(result.asked);
    double const earned = (static_cast<double>(result.in_objective) +
                           late_worth * static_cast<double>(result.late)) /
                          asked;
    double const failed = std::max(result.failed_share(), best_failed_share);
    return (earned + std::log(failed) / std::log(best_failed_share)) / 2;
}

nlohmann::json report(class_result const& result) {
    return {{"asked", result.asked},
            {"worth", worth(result)},
            {"failed_share", result.failed_share()},
            {"late_share", result.late_share()},
            {"refused", result.refused}};
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "what callers get from the gateway's decisions, in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    options chosen;
    if (!apply_settings(FLAGS_set, chosen)) {
        std::cerr << "unknown option in --set\n";
        return 2;
    }
    for (auto scenario : placement_scenarios()) {
        if (!scenario.name.starts_with(FLAGS_scenario))
            continue;
        placement_result sum;
        for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
            scenario.digest_period = std::chrono::milliseconds(FLAGS_digest_ms);
            scenario.digest_targets =
                static_cast<std::size_t>(FLAGS_digest_targets);
            scenario.seed = static_cast<std::uint64_t>(seed);
            auto const one =
                run_placement(scenario, chosen.table, chosen.dispatch);
            add(sum.non_idempotent, one.non_idempotent);
            add(sum.idempotent, one.idempotent);
            for (auto const& [reason, count] : one.reasons)
                sum.reasons[reason] += count;
            sum.repeat_share += one.repeat_share / FLAGS_seeds;
            sum.crossing_share += one.crossing_share / FLAGS_seeds;
            add(sum.usage, one.usage);
        }
        nlohmann::json const line = {
            {"scenario", scenario.name},
            {"non_idempotent", report(sum.non_idempotent)},
            {"idempotent", report(sum.idempotent)},
            {"reasons", sum.reasons},
            {"repeat_share", sum.repeat_share},
            {"crossing_share", sum.crossing_share},
            {"healthy_targets_used",
             {{"least", sum.usage.least_share},
              {"mean", sum.usage.mean_share()},
              {"windows", sum.usage.windows},
              {"windows_below", sum.usage.windows_below}}}};
        std::cout << line.dump() << "\n";
    }
    return 0;
}
