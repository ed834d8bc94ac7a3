#include "grant_store.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::health {

grant_store::grant_store(observer_identity self,
                         service_topology const& topology,
                         grant_options options, report_options reports)
    : self_(std::move(self)), options_(options), reports_(reports),
      states_(topology.targets.size()) {}

void grant_store::record_sent(std::uint64_t sequence, daemon_id const& arbiter,
                              time_point now) {
    sent_[sequence % sent_.size()] = {sequence, arbiter, now, false};
}

sent_report const* grant_store::sent(std::uint64_t sequence) const {
    auto const& slot = sent_[sequence % sent_.size()];
    return sequence != 0 && slot.sequence == sequence ? &slot : nullptr;
}

std::pair<incarnation, std::uint64_t>
grant_store::newest(daemon_id const& arbiter) const {
    for (auto const& known : arbiters_)
        if (known.id == arbiter)
            return {known.incarnation, known.sequence};
    return {0, 0};
}

grant_store::fencing_token& grant_store::token_of(daemon_id const& id) {
    for (auto& known : arbiters_)
        if (known.id == id)
            return known;
    return arbiters_.emplace_back(fencing_token{id});
}

bool grant_store::apply(ejection_table const& table,
                        service_topology const& topology, time_point now) {
    if (table.service != topology.id.value ||
        table.receiver != self_.id.value ||
        table.receiver_incarnation != self_.incarnation)
        return false;
    auto const* answered = sent(table.report_sequence);
    if (!answered || answered->arbiter.value != table.arbiter ||
        answered->at + options_.grant_validity <= now)
        return false;
    auto& known = token_of(daemon_id{table.arbiter});
    if (table.incarnation < known.incarnation ||
        (table.incarnation == known.incarnation &&
         table.sequence <= known.sequence))
        return false;
    known.incarnation = table.incarnation;
    known.sequence = table.sequence;
    auto const sent_at = answered->at;
    sent_[table.report_sequence % sent_.size()].answered = true;
    auto const position = static_cast<std::uint32_t>(&known - arbiters_.data());
    apply_grants(table, topology, position, sent_at, now);
    apply_returning(table, topology, now);
    for (auto const& name : table.leaving)
        if (auto const target = target_index(topology, name)) {
            auto& state = states_[*target];
            if (state.leaving_until <= now)
                state.leaving_since = now;
            state.leaving_until = now + reports_.suspect_time;
        }
    last_answered_ = sent_at;
    last_table_ = table;
    return true;
}

void grant_store::apply_grants(ejection_table const& table,
                               service_topology const& topology,
                               std::uint32_t position, time_point sent_at,
                               time_point now) {
    std::vector<bool> listed(states_.size(), false);
    for (auto const& item : table.grants) {
        auto const target = target_index(topology, item.target);
        if (!target)
            continue;
        auto& state = states_[*target];
        listed[*target] = true;
        auto const until = sent_at + options_.grant_validity;
        auto const since = now - std::chrono::milliseconds(item.age_ms);
        if (!item.suppressed_by.empty()) {
            if (state.arbiter == position)
                state.valid_until = distant_past;
            if (state.valid_until <= now) {
                state.last = item;
                state.arbiter = position;
                state.applies_to_self = covers(item.scope);
                state.since = since;
            }
            state.suppressed_until = until;
            state.domain_lost = item.suppressed_by == "domain-lost";
            continue;
        }
        state.last = item;
        state.arbiter = position;
        state.applies_to_self = covers(item.scope);
        state.since = since;
        state.valid_until = std::max(until, state.valid_until);
        state.suppressed_until = distant_past;
        state.domain_lost = false;
        state.returned_at = distant_past;
    }
    for (std::size_t i = 0; i < states_.size(); ++i) {
        auto& state = states_[i];
        if (listed[i] || state.arbiter != position)
            continue;
        // Withdrawn by the arbiter that issued it.
        if (state.valid_until > now)
            state.valid_until = now;
        state.suppressed_until = std::min(state.suppressed_until, now);
        state.domain_lost = false;
    }
}

void grant_store::apply_returning(ejection_table const& table,
                                  service_topology const& topology,
                                  time_point now) {
    for (auto const& item : table.returning) {
        auto const target = target_index(topology, item.target);
        if (!target || !covers(item.scope))
            continue;
        auto& state = states_[*target];
        if (state.valid_until > now)
            continue; // another arbiter still ejects it
        auto const start = now - std::chrono::milliseconds(item.age_ms);
        // The first table sets the time of the re-admission; the delays of
        // later tables would shift it back and forth.
        if (state.returned_at + options_.slow_start <= now)
            state.returned_at = start;
        state.valid_until = distant_past;
    }
}

void grant_store::check_floor(service_topology const& topology,
                              std::vector<bool> const& counted,
                              time_point now) {
    std::uint32_t capacity = 0;
    for (std::size_t i = 0; i < states_.size(); ++i)
        if (counted[i])
            capacity += topology.targets[i].slots;
    // Accepted grants come first, so that a new grant can't displace one in
    // force.
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < states_.size(); ++i)
        if (states_[i].valid_until > now)
            order.push_back(i);
    std::stable_partition(order.begin(), order.end(),
                          [&](std::size_t i) { return states_[i].accepted; });
    for (auto& state : states_)
        state.accepted = state.accepted && state.valid_until > now;
    for (auto const i : order) {
        auto const slots = counted[i] ? topology.targets[i].slots : 0;
        states_[i].accepted = capacity >= topology.floor_slots + slots;
        if (states_[i].accepted)
            capacity -= slots;
    }
}

bool grant_store::holds_grants(time_point now) const {
    return std::any_of(
        states_.begin(), states_.end(), [&](granted_state const& state) {
            return state.valid_until > now || state.suppressed_until > now;
        });
}

void grant_store::reconfigure(service_topology const& before,
                              service_topology const& after) {
    std::vector<granted_state> states(after.targets.size());
    for (std::size_t i = 0; i < after.targets.size(); ++i)
        if (auto const old = target_index(before, after.targets[i].id.value))
            states[i] = std::move(states_[*old]);
    states_ = std::move(states);
}

} // namespace yuccabeam::health
