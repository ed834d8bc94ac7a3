#include "policy_scenarios.hpp"

namespace yuccabeam::bench {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint32_t any_target(world& sim) {
    return static_cast<std::uint32_t>(sim.random() % sim.targets.size());
}

/// The target has the fault for a minute.
void one_target(world& sim, std::uint32_t target, target_fault fault) {
    sim.set_fault(target, fault);
    sim.at(sim.now() + seconds(60), [&sim, target] {
        sim.set_fault(target, {});
        sim.end_disturbance();
    });
}

void crash(world& sim) {
    one_target(sim, any_target(sim), {fault_kind::refuse, 1, 1, {}});
}

void gray(world& sim) {
    one_target(sim, any_target(sim), {fault_kind::errors, 0.3, 1, {}});
}

void slow(world& sim) {
    one_target(sim, any_target(sim), {fault_kind::slow, 1, 10, {}});
}

/// Slow for the daemons of the target's own failure domain, which send it
/// most of its requests.
void slow_from_one_domain(world& sim) {
    auto const target = any_target(sim);
    one_target(sim, target,
               {fault_kind::slow, 1, 10, sim.targets[target].domain});
}

void one_way(world& sim) {
    one_target(sim, any_target(sim), {fault_kind::one_way, 1, 1, {}});
}

void flapping(world& sim) {
    auto const target = any_target(sim);
    for (int i = 0; i < 12; ++i)
        sim.at(sim.now() + i * seconds(5), [&sim, target, bad = i % 2 == 0] {
            target_fault fault;
            fault.kind = bad ? fault_kind::errors : fault_kind::none;
            sim.set_fault(target, fault);
            if (!bad)
                sim.end_disturbance();
        });
}

void rate_for(world& sim, double factor, duration time) {
    sim.rate_factor = factor;
    sim.at(sim.now() + time, [&sim] {
        sim.rate_factor = 1;
        sim.end_disturbance();
    });
}

/// Twice the service's capacity for 30 s.
void overload(world& sim) {
    rate_for(sim, 2 / sim.options.load, seconds(30));
}

void burst(world& sim) {
    rate_for(sim, 10, seconds(3));
}

void half_cold(world& sim) {
    for (std::uint32_t t = 0; t < sim.targets.size(); t += 2)
        sim.targets[t].cold_since = sim.now();
    sim.at(sim.now() + seconds(30), [&sim] { sim.end_disturbance(); });
}

/// Each target in turn drains for 15 s, is away for 5 s and comes back; the
/// VM list shows both changes 10 s late.
void rolling_drain(world& sim) {
    for (std::uint32_t t = 0; t < sim.targets.size(); ++t) {
        auto const start = sim.now() + t * seconds(20);
        sim.at(start, [&sim, t] { sim.drain(t, true); });
        sim.at(start + seconds(10), [&sim, t] { sim.list(t, false); });
        sim.at(start + seconds(15), [&sim, t] {
            sim.set_fault(t, {fault_kind::refuse, 1, 1, {}});
        });
        sim.at(start + seconds(20), [&sim, t] {
            sim.drain(t, false);
            sim.set_fault(t, {});
        });
        sim.at(start + seconds(30), [&sim, t] { sim.list(t, true); });
    }
    sim.at(sim.now() + sim.targets.size() * seconds(20),
           [&sim] { sim.end_disturbance(); });
}

/// Targets and daemons of one failure domain are gone for good. The balancer
/// knows at once, the other daemons' membership after 5 s, the VM list after
/// 10 s.
void domain_lost(world& sim) {
    auto const domain = static_cast<std::uint32_t>(
        sim.random() % sim.options.deployment.domains);
    sim.lose_domain(domain);
    sim.at(sim.now() + seconds(5), [&sim] { sim.membership_changed(); });
    sim.at(sim.now() + seconds(10), [&sim, domain] {
        for (std::uint32_t t = 0; t < sim.targets.size(); ++t)
            if (sim.targets[t].domain == domain)
                sim.list(t, false);
        sim.end_disturbance();
    });
}

void all_bad(world& sim) {
    for (std::uint32_t t = 0; t < sim.targets.size(); ++t) {
        sim.set_fault(t, {fault_kind::errors, 0.5, 1, {}});
        sim.at(sim.now() + seconds(30), [&sim, t] { sim.set_fault(t, {}); });
    }
    sim.at(sim.now() + seconds(30), [&sim] { sim.end_disturbance(); });
}

void nothing(world&) {}

void with_repeats(world_options& options) {
    options.callers_repeat = true;
}

void light_load(world_options& options) {
    options.load = 0.35;
}

/// A tenth of the other scenarios' rate, which bounds the time of a run.
void healthy_day(world_options& options) {
    options.load = 0.045;
    options.error_rate = 0.01;
    options.sigma = 1.0;
    options.sample_period = seconds(1);
}

} // namespace

std::vector<scenario> const& scenarios() {
    static std::vector<scenario> const all = {
        {"crash", crash},
        {"gray_30_percent", gray},
        {"slow_10x", slow},
        {"slow_from_one_domain", slow_from_one_domain},
        {"one_way", one_way},
        {"flapping_5_s", flapping},
        {"overload", overload, with_repeats},
        {"half_cold", half_cold},
        {"rolling_drain", rolling_drain, nullptr, seconds(340)},
        {"domain_lost", domain_lost, light_load},
        {"all_bad", all_bad},
        {"burst_10x", burst, with_repeats},
        {"healthy_24_h", nothing, healthy_day, hours(24), true},
    };
    return all;
}

std::vector<deployment_shape> const& deployments() {
    static std::vector<deployment_shape> const all = {
        {"ga-central",
         36,
         3,
         milliseconds(3),
         ejection_policy::detect_fast,
         {{"stock", 7, milliseconds(20), 1, seconds(2)},
          {"orders", 15, milliseconds(40), 0.3, seconds(3)},
          {"catalog", 6, milliseconds(150), 1, seconds(5)}}},
        {"ee-south",
         36,
         4,
         std::chrono::microseconds(4500),
         ejection_policy::eject_carefully,
         {{"balances", 10, milliseconds(20), 1, seconds(2)},
          {"ledger", 15, milliseconds(40), 0.3, seconds(3)},
          {"statements", 8, milliseconds(150), 1, seconds(5)}}},
    };
    return all;
}

} // namespace yuccabeam::bench
