#pragma once

#include "policy_baselines.hpp"

namespace yuccabeam::bench {

struct scenario {
    std::string name;
    /// Plans the disturbance; called when measuring starts.
    void (*arrange)(world&) = nullptr;
    void (*prepare)(world_options&) = nullptr;
    duration length = std::chrono::seconds(100);
    bool long_run = false;
};

std::vector<scenario> const& scenarios();
std::vector<deployment_shape> const& deployments();

/// Runs one service under one scenario after 30 s of warm-up.
template <policy_node Node>
measurement run_policy(world_options const& options, scenario const& what) {
    world sim(options);
    fleet<Node> nodes;
    sim.submit = [&](std::uint32_t d, std::uint64_t id) {
        nodes[d]->submit(id);
    };
    sim.sent = [&](std::uint64_t id) {
        nodes[sim.find_attempt(id)->daemon]->sent(id);
    };
    sim.ended = [&](attempt const& a) { nodes[a.daemon]->ended(a); };
    sim.ejects = [&](std::uint32_t d, std::uint32_t t) {
        return nodes[d]->ejects(t);
    };
    sim.vm_list = [&](std::uint32_t target, bool leaving) {
        for (auto const& node : nodes)
            node->vm_list(target, leaving);
    };
    sim.membership_changed = [&] {
        for (std::uint32_t d = 0; d < nodes.size(); ++d)
            if (sim.alive(d))
                nodes[d]->membership_changed();
    };
    for (std::uint32_t d = 0; d < options.deployment.daemons; ++d)
        nodes.push_back(std::make_unique<Node>(sim, nodes, d));
    for (auto const& node : nodes)
        node->start();
    time_point const begin{std::chrono::seconds(30)};
    sim.at(begin, [&] {
        sim.start_measuring();
        what.arrange(sim);
    });
    sim.start_sampling();
    sim.repeat_vm_list();
    sim.run_until(begin + what.length);
    return sim.finish();
}

} // namespace yuccabeam::bench
