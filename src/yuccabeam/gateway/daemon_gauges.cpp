#include "yuccabeam/gateway/daemon_gauges.hpp"

#include <utility>

namespace yuccabeam::gateway {

void set_gauges(counters& out, gauge_sources const& from, time_point now) {
    out.clear_targets();
    for (auto const& snapshot : from.target_table.snapshots(now))
        out.set_target(snapshot.target.value, snapshot.service.value,
                       snapshot.in_flight, snapshot.suspected);
    auto const& calls = from.store.counters();
    auto const& lines = from.log.counters();
    std::pair<char const*, double> const gauges[] = {
        {"peers_live", static_cast<double>(from.peers.table().live_count(now))},
        {"store_revision", static_cast<double>(from.store.mirror().revision())},
        {"store_calls", static_cast<double>(calls.calls)},
        {"store_checks", static_cast<double>(calls.checks)},
        {"store_copy_age_seconds", to_seconds(from.store.copy_age(now))},
        {"store_available_seconds",
         to_seconds(now -
                    from.store.availability().returned_at(now).value_or(now))},
        {"store_call_failures", static_cast<double>(calls.failures)},
        {"peer_pulls", static_cast<double>(calls.pulls)},
        {"peer_pull_failures", static_cast<double>(calls.pull_failures)},
        {"slow_transfers", static_cast<double>(calls.slow_transfers)},
        {"store_changes_early", static_cast<double>(calls.early_changes)},
        {"log_lines", static_cast<double>(lines.written)},
        {"log_lines_lost",
         static_cast<double>(lines.over_rate + lines.blocked)},
        {"target_connections",
         static_cast<double>(from.targets.connections_opened())},
        {"callers_connected", static_cast<double>(from.callers.connections())},
        {"callers_limit",
         static_cast<double>(from.callers.options().max_connections)},
        {"callers_closed_idle",
         static_cast<double>(from.memory.idle_evictions())},
        {"callers_closed_stalled",
         static_cast<double>(from.memory.stalled_evictions())},
        {"callers_refused",
         static_cast<double>(from.callers.counters().connections_refused)},
        {"requests_refused_memory",
         static_cast<double>(from.callers.counters().requests_refused)},
        {"responses_stalled",
         static_cast<double>(from.callers.counters().stalled_responses)},
        {"request_timeouts",
         static_cast<double>(from.callers.counters().head_timeouts)},
        {"body_bytes_limit", static_cast<double>(from.memory.limit())},
        {"body_bytes_held", static_cast<double>(from.memory.held())},
        {"body_bytes_peak", static_cast<double>(from.memory.peak())},
        {"bodies_evicted", static_cast<double>(from.memory.evictions())},
        {"bodies_refused", static_cast<double>(from.memory.refusals())},
    };
    for (auto const& [name, value] : gauges)
        out.set(name, value);
    for (std::size_t i = 0; i < peer_message_names.size(); ++i) {
        auto const name = "peer_" + std::string(peer_message_names[i]);
        out.set(name + "_sent",
                static_cast<double>(from.peers.counters().sent[i]));
        out.set(name + "_received",
                static_cast<double>(from.peers.counters().received[i]));
    }
}

void set_quota_gauges(counters& out, quota_service& from, time_point now) {
    auto const& counts = from.counters();
    std::pair<char const*, double> const gauges[] = {
        {"quota_granted", static_cast<double>(counts.granted)},
        {"quota_exceeded", static_cast<double>(counts.exceeded)},
        {"quota_undecided", static_cast<double>(counts.undecided)},
        {"quota_resent", static_cast<double>(counts.resent)},
        {"quota_silent_pools", static_cast<double>(counts.silent_pools)},
        {"quota_waiting", static_cast<double>(from.waiting())},
        {"quota_slots_held", from.shares(now)},
    };
    for (auto const& [name, value] : gauges)
        out.set(name, value);
}

} // namespace yuccabeam::gateway
