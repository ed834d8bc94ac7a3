#pragma once

#include "policy_baselines.hpp"

#include "yuccabeam/health/arbiter.hpp"
#include "yuccabeam/health/service_health.hpp"
#include "yuccabeam/limits/admission_queue.hpp"
#include "yuccabeam/limits/concurrency_limit.hpp"
#include "yuccabeam/retry/decide.hpp"
#include "yuccabeam/retry/retry_budget.hpp"

namespace yuccabeam::bench {

/// One daemon with yuccabeam's own decision modules. Hedging is off, as it
/// is on a route without the rule. Evidence reports carry no load, so a
/// target that has shed counts as full for a second instead.
class yuccabeam_node {
public:
    static constexpr std::string_view name = "yuccabeam";

    yuccabeam_node(world& sim, fleet<yuccabeam_node> const& nodes,
                   std::uint32_t self);

    void start();
    void submit(std::uint64_t id);
    void sent(std::uint64_t attempt_id);
    void ended(attempt const& tried);
    void vm_list(std::uint32_t target, bool leaving);
    void membership_changed();
    bool ejects(std::uint32_t target) const;

private:
    struct choice {
        std::uint32_t target = 0;
        bool trial = false;
    };

    std::optional<choice> choose(std::vector<std::uint32_t> const& tried,
                                 bool idempotent);
    void send(std::uint64_t id, choice chosen);
    void settle(attempt const& tried);
    void serve_queue();
    void run(std::vector<limits::queue_action> const& actions);
    void tick();
    void follow_arbiter();
    void deliver(std::vector<health::ejection_table> const& tables);
    health::observation observed(attempt const& tried) const;

    world& sim_;
    fleet<yuccabeam_node> const& nodes_;
    std::uint32_t self_;
    std::uint32_t arbiter_node_ = 0;
    health::service_health health_;
    std::optional<health::arbiter> arbiter_;
    limits::admission_queue queue_;
    std::vector<limits::concurrency_limit> limits_;
    std::vector<std::uint32_t> in_flight_;
    std::vector<time_point> full_until_;
    retry::retry_budget budget_;
    time_point next_tick_ = time_point::max();
};

} // namespace yuccabeam::bench
