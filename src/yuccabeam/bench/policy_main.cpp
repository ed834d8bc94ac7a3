#include "policy_scenarios.hpp"
#include "policy_yuccabeam.hpp"

#include "yuccabeam/bench/load_report.hpp"

#include <atomic>
#include <gflags/gflags.h>
#include <iostream>
#include <numeric>
#include <thread>

DEFINE_string(scenario, "", "run only this scenario");
DEFINE_string(deployment, "", "run only this deployment");
DEFINE_string(policy, "", "run only this policy");
DEFINE_int64(seed, 20261204, "seed of the first repeat");
DEFINE_int32(repeats, 5, "runs of each scenario; the long one runs once");
DEFINE_double(message_loss, 0.02, "share of lost messages between daemons");
DEFINE_int32(threads, 3, "threads, at most 8");

namespace {

using namespace yuccabeam;
using namespace yuccabeam::bench;

using policy_run = measurement (*)(world_options const&, scenario const&);

struct job {
    deployment_shape const* deployment;
    scenario const* what;
    std::string_view policy;
    policy_run run;
    std::size_t line; ///< of the output
    world_options options;
    measurement result;
};

struct named_policy {
    std::string_view name;
    policy_run run;
};

template <class Node>
named_policy policy_of() {
    return {Node::name, run_policy<Node>};
}

bool chosen(std::string const& flag, std::string_view name) {
    return flag.empty() || flag == name;
}

void add_runs(std::vector<job>& jobs, job const& base) {
    auto const repeats = base.what->long_run ? 1 : FLAGS_repeats;
    for (auto const& service : base.deployment->services)
        for (int r = 0; r < repeats; ++r) {
            auto& run = jobs.emplace_back(base);
            run.options.deployment = *base.deployment;
            run.options.service = service;
            run.options.seed = static_cast<std::uint64_t>(FLAGS_seed + r);
            run.options.message_loss = FLAGS_message_loss;
            if (base.what->prepare)
                base.what->prepare(run.options);
        }
}

std::vector<job> plan() {
    std::vector<job> jobs;
    std::size_t line = 0;
    named_policy const policies[] = {
        policy_of<yuccabeam_node>(),
        policy_of<baseline_node<consecutive_errors>>(),
        policy_of<baseline_node<no_ejection>>()};
    for (auto const& what : scenarios())
        for (auto const& deployment : deployments())
            for (auto const& policy : policies)
                if (chosen(FLAGS_scenario, what.name) &&
                    chosen(FLAGS_deployment, deployment.name) &&
                    chosen(FLAGS_policy, policy.name))
                    add_runs(jobs, {&deployment,
                                    &what,
                                    policy.name,
                                    policy.run,
                                    line++,
                                    {},
                                    {}});
    return jobs;
}

/// Runs take very different times; each thread takes the next one.
void execute(std::vector<job>& jobs) {
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (int i = 0; i < std::clamp(FLAGS_threads, 1, 8); ++i)
        threads.emplace_back([&] {
            // The long runs stand last and take longest.
            for (auto n = next++; n < jobs.size(); n = next++) {
                auto& job = jobs[jobs.size() - 1 - n];
                job.result = job.run(job.options, *job.what);
            }
        });
}

double ratio(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

/// Null where a scenario has no faulty target.
void add_quantiles(nlohmann::ordered_json& out, std::string const& name,
                   std::vector<double>& values) {
    std::sort(values.begin(), values.end());
    for (auto const& [suffix, q] : {std::pair("_p50_s", 0.5), {"_p99_s", 0.99}})
        out[name + suffix] = values.empty()
                                 ? nlohmann::ordered_json(nullptr)
                                 : nlohmann::ordered_json(quantile(values, q));
}

nlohmann::ordered_json line_of(std::span<job const> runs) {
    measurement sum;
    job const* tightest = &runs.front();
    auto const margin = [](job const& run) {
        return std::int64_t{run.result.lowest_slots} - run.result.floor_slots;
    };
    for (auto const& run : runs) {
        auto const& one = run.result;
        sum.detection_s.insert(sum.detection_s.end(), one.detection_s.begin(),
                               one.detection_s.end());
        sum.quiet_s.insert(sum.quiet_s.end(), one.quiet_s.begin(),
                           one.quiet_s.end());
        sum.calls += one.calls;
        sum.successes += one.successes;
        sum.attempts += one.attempts;
        sum.at_faulty += one.at_faulty;
        sum.during_fault += one.during_fault;
        sum.false_ejections += one.false_ejections;
        sum.duplicates += one.duplicates;
        sum.floor_violations += one.floor_violations;
        sum.target_days += one.target_days;
        sum.recovery_s = std::max(sum.recovery_s, one.recovery_s);
        for (auto const& [bucket, count] : one.latency.counts)
            sum.latency.counts[bucket] += count;
        if (margin(run) < margin(*tightest))
            tightest = &run;
    }
    nlohmann::ordered_json out;
    auto const& first = runs.front();
    out["scenario"] = first.what->name;
    out["deployment"] = first.deployment->name;
    out["policy"] = first.policy;
    out["seed"] = first.options.seed;
    out["runs"] = runs.size();
    out["load"] = first.options.load;
    out["message_loss"] = first.options.message_loss;
    add_quantiles(out, "detection", sum.detection_s);
    add_quantiles(out, "quiet", sum.quiet_s);
    out["fault_share"] = ratio(sum.at_faulty, sum.during_fault);
    out["false_ejections"] = sum.false_ejections;
    out["false_ejections_per_target_day"] =
        static_cast<double>(sum.false_ejections) / sum.target_days;
    out["calls"] = sum.calls;
    out["success"] = ratio(sum.successes, sum.calls);
    out["p99_ms"] = sum.latency.quantile(0.99);
    out["amplification"] = ratio(sum.attempts, sum.calls);
    out["lowest_capacity"] = tightest->result.lowest_slots;
    out["floor"] = tightest->result.floor_slots;
    out["floor_violations"] = sum.floor_violations;
    out["duplicates"] = sum.duplicates;
    if (first.what->long_run)
        out["recovery_s"] = nullptr;
    else
        out["recovery_s"] = sum.recovery_s;
    return out;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Compares policies in virtual time.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_repeats < 1 || FLAGS_repeats > 100 || FLAGS_message_loss < 0 ||
        FLAGS_message_loss > 1) {
        std::cerr << "--repeats or --message_loss is out of range\n";
        return 2;
    }
    auto jobs = plan();
    execute(jobs);
    for (auto begin = jobs.begin(); begin != jobs.end();) {
        auto const end = std::find_if(begin, jobs.end(), [&](job const& run) {
            return run.line != begin->line;
        });
        std::cout << line_of({begin, end}).dump() << std::endl;
        begin = end;
    }
    return 0;
}
