#pragma once

#include "policy_world.hpp"

#include <algorithm>

namespace yuccabeam::bench {

/// A daemon's policy in the simulation. All time and randomness come from
/// the world.
template <class Node>
concept policy_node = requires(Node node, std::uint64_t id, attempt const& a,
                               std::uint32_t target, bool leaving) {
    node.start();                  // once, when all nodes exist
    node.submit(id);               // a caller's request
    node.sent(id);                 // an attempt has left
    node.ended(a);                 // an attempt has ended
    node.vm_list(target, leaving); // the VM list shows a change
    node.membership_changed();
    { node.ejects(target) } -> std::convertible_to<bool>;
};

/// What the daemons have in common, here their nodes by number.
template <class Node>
using fleet = std::vector<std::unique_ptr<Node>>;

/// Five consecutive errors eject a target from this daemon for 30 s; round
/// robin over the rest, or over all when none is left.
class consecutive_errors {
public:
    static constexpr std::string_view name = "consecutive_errors";

    consecutive_errors(std::size_t targets, std::uint64_t seed)
        : entries_(targets), next_(seed) {}

    bool ejected(std::uint32_t target, time_point now) const {
        return entries_[target].until > now;
    }

    std::uint32_t choose(std::vector<std::uint32_t> const& open, world& sim) {
        std::vector<std::uint32_t> rest;
        for (auto const target : open)
            if (!ejected(target, sim.now()))
                rest.push_back(target);
        auto const& from = rest.empty() ? open : rest;
        return from[next_++ % from.size()];
    }

    void ended(std::uint32_t target, bool error, time_point now) {
        auto& entry = entries_[target];
        entry.errors = error ? entry.errors + 1 : 0;
        if (entry.errors < 5)
            return;
        entry = {0, now + std::chrono::seconds(30), true};
    }

    /// Requests to a target that this daemon has ejected before count as
    /// trials, in favor of this baseline: it has no others.
    bool trial(std::uint32_t target) const { return entries_[target].before; }

private:
    struct entry {
        int errors = 0;
        time_point until{};
        bool before = false;
    };
    std::vector<entry> entries_;
    std::uint64_t next_;
};

/// Random choice among all targets.
class no_ejection {
public:
    static constexpr std::string_view name = "no_ejection";

    no_ejection(std::size_t, std::uint64_t) {}
    static bool ejected(std::uint32_t, time_point) { return false; }
    static std::uint32_t choose(std::vector<std::uint32_t> const& open,
                                world& sim) {
        return open[sim.random() % open.size()];
    }
    static void ended(std::uint32_t, bool, time_point) {}
    static bool trial(std::uint32_t) { return false; }
};

/// A daemon without queue, limits, retry budget or shared evidence. It
/// leaves targets that the VM list shows as leaving, tries idempotent
/// requests up to three times, and others again only when they did not run.
template <class Strategy>
class baseline_node {
public:
    static constexpr std::string_view name = Strategy::name;

    baseline_node(world& sim, fleet<baseline_node> const&, std::uint32_t self)
        : sim_(sim), self_(self), strategy_(sim.targets.size(), self) {}

    void start() {}
    void membership_changed() {}
    void sent(std::uint64_t) {}
    void vm_list(std::uint32_t, bool) {}
    bool ejects(std::uint32_t target) const {
        return strategy_.ejected(target, sim_.now());
    }

    void submit(std::uint64_t id) {
        auto const& tried = sim_.call_of(id).tried;
        std::vector<std::uint32_t> open;
        for (std::uint32_t t = 0; t < sim_.targets.size(); ++t)
            if (sim_.targets[t].listed && std::ranges::count(tried, t) == 0)
                open.push_back(t);
        if (open.empty()) {
            sim_.answer(id, false);
            return;
        }
        auto const target = strategy_.choose(open, sim_);
        sim_.send(self_, id, target, strategy_.trial(target));
    }

    void ended(attempt const& tried) {
        auto const outcome = tried.outcome;
        auto const good = outcome == request_outcome::ok;
        strategy_.ended(tried.target, !good, sim_.now());
        auto const& request = sim_.call_of(tried.call);
        auto const not_run = outcome == request_outcome::refused ||
                             outcome == request_outcome::shed;
        if (!good && (request.idempotent || not_run) && request.attempts < 3 &&
            sim_.now() < request.deadline)
            submit(tried.call);
        else
            sim_.answer(tried.call, good);
    }

private:
    world& sim_;
    std::uint32_t self_;
    Strategy strategy_;
};

} // namespace yuccabeam::bench
