#include "policy_yuccabeam.hpp"

#include "yuccabeam/routing/health_state.hpp"
#include "yuccabeam/routing/rendezvous.hpp"
#include "yuccabeam/routing/select.hpp"

#include <array>

namespace yuccabeam::bench {
namespace {

std::string padded(std::string_view prefix, std::uint32_t number) {
    auto digits = std::to_string(number);
    return std::string(prefix) + std::string(3 - digits.size(), '0') + digits;
}

daemon_id daemon_name(std::uint32_t daemon) {
    return {padded("daemon-", daemon)};
}

failure_domain_id domain_name(std::uint32_t domain) {
    return {padded("domain-", domain)};
}

health::service_topology topology(world const& sim) {
    health::service_topology out;
    out.id = {sim.options.service.name};
    out.kinds = {{"read"}, {"write"}};
    auto const count = static_cast<std::uint32_t>(sim.targets.size());
    out.floor_slots = sim.options.floor_slots();
    for (std::uint32_t t = 0; t < count; ++t)
        out.targets.push_back(
            {{padded("target-", t)}, domain_name(sim.targets[t].domain), 6});
    return out;
}

health::health_options options_of(world const& sim) {
    health::health_options out;
    out.detector = health::options_for(sim.options.deployment.policy);
    return out;
}

/// The first living daemon in rendezvous order.
std::uint32_t arbiter_of(world const& sim) {
    routing::daemons_by_domain daemons;
    for (std::uint32_t d = 0; d < sim.options.deployment.daemons; ++d)
        if (sim.alive(d))
            daemons[domain_name(sim.domain_of(d))].push_back(daemon_name(d));
    auto const first =
        routing::home_daemons({sim.options.service.name}, daemons).front().id;
    std::uint32_t number = 0;
    while (daemon_name(number) != first)
        ++number;
    return number;
}

limits::attempt_result limit_result(request_outcome outcome) {
    switch (outcome) {
    case request_outcome::ok:
    case request_outcome::server_error:
        return limits::attempt_result::ok;
    case request_outcome::shed:
        return limits::attempt_result::shed;
    case request_outcome::timeout:
        return limits::attempt_result::timeout;
    default:
        return limits::attempt_result::neutral;
    }
}

} // namespace

yuccabeam_node::yuccabeam_node(world& sim, fleet<yuccabeam_node> const& nodes,
                               std::uint32_t self)
    : sim_(sim), nodes_(nodes), self_(self),
      health_({daemon_name(self), self + 1, domain_name(sim.domain_of(self))},
              topology(sim), options_of(sim), sim.now()),
      limits_(sim.targets.size(), limits::concurrency_limit(6)),
      in_flight_(sim.targets.size()), full_until_(sim.targets.size()) {}

void yuccabeam_node::start() {
    follow_arbiter();
}

void yuccabeam_node::membership_changed() {
    follow_arbiter();
}

void yuccabeam_node::follow_arbiter() {
    auto const& shape = sim_.options.deployment;
    arbiter_node_ = arbiter_of(sim_);
    if (arbiter_node_ != self_)
        arbiter_.reset();
    else if (!arbiter_)
        arbiter_.emplace(daemon_name(self_), self_ + 1, topology(sim_),
                         options_of(sim_), self_, sim_.now());
    health_.choose_arbiter(daemon_name(arbiter_node_), shape.daemons);
    if (arbiter_)
        arbiter_->set_home_daemons(shape.daemons);
    tick();
}

/// Sends due reports and plans the next time. Stale timers end here.
void yuccabeam_node::tick() {
    if (!sim_.alive(self_))
        return;
    auto const now = sim_.now();
    if (now >= health_.report_due())
        if (auto report = health_.report(now))
            sim_.message(self_, arbiter_node_,
                         [this, to = arbiter_node_, report = *report] {
                             auto& judge = nodes_[to]->arbiter_;
                             if (judge)
                                 nodes_[to]->deliver(
                                     judge->receive(report, sim_.now()));
                         });
    if (auto const target = health_.target_to_probe(now))
        if (health_.try_start_trial(*target, now))
            send(sim_.add_probe(self_), {*target, true});
    auto const next = std::min(
        std::max(health_.report_due(), now + std::chrono::milliseconds(1)),
        now + std::chrono::seconds(1));
    if (next_tick_ > now && next_tick_ <= next)
        return;
    next_tick_ = next;
    sim_.at(next, [this, next] {
        if (next_tick_ == next)
            tick();
    });
}

void yuccabeam_node::deliver(
    std::vector<health::ejection_table> const& tables) {
    for (auto const& table : tables) {
        std::uint32_t to = 0;
        while (daemon_name(to).value != table.receiver)
            ++to;
        sim_.message(self_, to, [this, to, table] {
            nodes_[to]->health_.apply(table, sim_.now());
            nodes_[to]->tick();
        });
    }
}

std::optional<yuccabeam_node::choice>
yuccabeam_node::choose(std::vector<std::uint32_t> const& tried,
                       bool idempotent) {
    std::vector<routing::candidate> candidates;
    candidates.reserve(limits_.size());
    for (std::uint32_t t = 0; t < limits_.size(); ++t) {
        auto const status = health_.status(t, sim_.now());
        candidates.push_back(
            {t, 6, status.weight, in_flight_[t],
             full_until_[t] > sim_.now() ? 6.0 : 0.0, sim_.targets[t].domain,
             routing::selection_state(status.state), limits_[t].limit()});
        if (status.state == health::target_state::trial)
            candidates.back().weight = 1;
    }
    auto excluded = tried;
    for (;;) {
        auto const picked = routing::select(
            std::span<routing::candidate const>(candidates),
            {sim_.domain_of(self_), idempotent}, excluded, sim_.random);
        if (picked.status != routing::select_status::chosen)
            return std::nullopt;
        auto const trial =
            candidates[picked.index].state == routing::target_state::trial;
        if (!trial || health_.try_start_trial(picked.index, sim_.now()))
            return choice{picked.index, trial};
        excluded.push_back(picked.index);
    }
}

void yuccabeam_node::submit(std::uint64_t id) {
    budget_.on_request();
    auto const& request = sim_.call_of(id);
    if (queue_.empty())
        if (auto const chosen = choose({}, request.idempotent)) {
            send(id, *chosen);
            return;
        }
    auto const& service = sim_.options.service;
    limits::queue_entry const entry{id,
                                    {std::to_string(request.caller)},
                                    1,
                                    priority::interactive,
                                    request.deadline,
                                    service.median};
    run(queue_.push(entry, sim_.now()));
    if (auto const drop = queue_.next_drop())
        sim_.at(*drop, [this] { run(queue_.take(0, sim_.now())); });
}

void yuccabeam_node::run(std::vector<limits::queue_action> const& actions) {
    for (auto const& action : actions) {
        if (auto const* drop = std::get_if<limits::drop_entry>(&action)) {
            sim_.answer(drop->id, false);
            continue;
        }
        auto const id = std::get<limits::dispatch_entry>(action).id;
        if (auto const chosen = choose({}, sim_.call_of(id).idempotent))
            send(id, *chosen);
        else
            sim_.answer(id, false);
    }
}

void yuccabeam_node::serve_queue() {
    // Asked as a non-idempotent request, so that no trial is claimed.
    while (!queue_.empty() && choose({}, false))
        run(queue_.take(1, sim_.now()));
}

void yuccabeam_node::send(std::uint64_t id, choice chosen) {
    ++in_flight_[chosen.target];
    sim_.send(self_, id, chosen.target, chosen.trial);
}

health::observation yuccabeam_node::observed(attempt const& tried) const {
    auto const& request = sim_.call_of(tried.call);
    health::observation out;
    out.target = tried.target;
    out.kind = request.idempotent ? 0 : 1;
    out.outcome = tried.outcome;
    out.latency = sim_.now() - tried.sent;
    out.caller = request.caller;
    out.overdue_reported = tried.overdue_seen;
    out.trial = tried.trial;
    return out;
}

void yuccabeam_node::sent(std::uint64_t attempt_id) {
    auto const& tried = *sim_.find_attempt(attempt_id);
    auto const kind = sim_.call_of(tried.call).idempotent ? 0U : 1U;
    auto const wait = health_.slow_after(tried.target, kind);
    if (wait > std::chrono::minutes(1))
        return;
    sim_.at(tried.sent + wait, [this, attempt_id] {
        auto* open = sim_.find_attempt(attempt_id);
        if (!open || !sim_.alive(self_))
            return;
        auto seen = observed(*open);
        seen.outcome = request_outcome::overdue;
        health_.observe(seen, sim_.now());
        open->overdue_seen = true;
        tick();
    });
}

void yuccabeam_node::ended(attempt const& tried) {
    auto const now = sim_.now();
    limits_[tried.target].on_report({limit_result(tried.outcome),
                                     now - tried.sent, in_flight_[tried.target],
                                     sim_.options.service.median},
                                    now);
    --in_flight_[tried.target];
    if (tried.outcome == request_outcome::shed)
        full_until_[tried.target] = now + std::chrono::seconds(1);
    health_.observe(observed(tried), now);
    if (tried.drain_signal)
        health_.mark_leaving(tried.target, now);
    settle(tried);
    serve_queue();
    if (tried.outcome != request_outcome::ok)
        tick();
}

void yuccabeam_node::settle(attempt const& tried) {
    auto& request = sim_.call_of(tried.call);
    if (tried.outcome == request_outcome::ok || request.probe) {
        sim_.answer(tried.call, tried.outcome == request_outcome::ok);
        return;
    }
    auto const now = sim_.now();
    retry::failed_attempt failed;
    failed.idempotent = request.idempotent;
    if (tried.outcome == request_outcome::refused)
        failed.failure = retry::failure_kind::connect_refused;
    else if (tried.outcome == request_outcome::shed)
        failed.failure = retry::failure_kind::declared_not_run;
    else
        failed.failure = retry::failure_kind::other;
    failed.earlier_may_have_run = request.may_have_run;
    failed.attempts = request.attempts;
    failed.deadline_left = request.deadline - now;
    failed.service_time = sim_.options.service.median;
    failed.budget_available = budget_.available();
    failed.overloaded = queue_.overloaded(now) || health_.degraded(now);
    failed.other_target_available = request.tried.size() < limits_.size();
    request.may_have_run = retry::may_have_run(failed);
    if (retry::decide_retry(failed) == retry::retry_decision::retry_elsewhere)
        if (auto const chosen = choose(request.tried, false)) {
            budget_.take();
            send(tried.call, *chosen);
            return;
        }
    sim_.answer(tried.call, false);
}

void yuccabeam_node::vm_list(std::uint32_t target, bool leaving) {
    if (leaving)
        health_.mark_leaving(target, sim_.now());
    else
        health_.clear_leaving(target, sim_.now());
}

bool yuccabeam_node::ejects(std::uint32_t target) const {
    auto const state = health_.status(target, sim_.now()).state;
    return state == health::target_state::ejected ||
           state == health::target_state::trial;
}

} // namespace yuccabeam::bench
