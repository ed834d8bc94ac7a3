// What a daemon does with updates from the store and from its peers.
#include "gateway_daemon_implementation.hpp"

#include "yuccabeam/gateway/target_description.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace yuccabeam::gateway {

using implementation = gateway_daemon::implementation;

namespace {

// Time after a peer has announced a newer revision during which its changes may
// still arrive by datagram. After it they are pulled.
constexpr duration pull_delay = std::chrono::milliseconds(60);
// A copy that was older than a peer's for at least this long is logged.
constexpr duration behind_log_threshold = std::chrono::milliseconds(500);
// Daemons that are heard in this time share a line of the log.
constexpr duration peer_line_period = std::chrono::milliseconds(100);
// A first copy of this age is not used before it is confirmed.
constexpr duration unconfirmed_copy_age = std::chrono::seconds(1);
// In a large fleet, a pass over all peers in every tick is too expensive.
constexpr duration watch_decision_period = std::chrono::milliseconds(200);

// A complete copy affects all keys, those that it lacks included.
bool affects(mirror::store_changes const& changes, std::string_view prefix) {
    return changes.base == 0 ||
           std::ranges::any_of(changes.events, [&](auto const& event) {
               return event.item.key.starts_with(prefix);
           });
}

} // namespace

// --- store and configuration -----------------------------------------------

store_sync_callbacks implementation::store_callbacks() {
    store_sync_callbacks out;
    out.changed = [this](mirror::store_changes const& changes,
                         bool from_store) {
        on_store_changed(changes, from_store);
    };
    out.should_watch = [this] { return should_watch(boot_now()); };
    out.confirmed = [this] { peers.announce_to_domain(boot_now()); };
    out.peers_discovered = [this](std::vector<std::string> const& addresses) {
        for (auto const& address : addresses)
            peers.table().add_address(address, boot_now());
    };
    return out;
}

bool implementation::should_watch(time_point now) {
    auto const& table = peers.table();
    if (!table.uses_relays() || now >= next_watch_decision) {
        watch_decision = table.should_watch(now);
        next_watch_decision = now + watch_decision_period;
    }
    return watch_decision;
}

void implementation::on_store_changed(mirror::store_changes const& changes,
                                      bool from_store) {
    auto const now = boot_now();
    if (policies.empty() && store->copy_age(now) >= unconfirmed_copy_age)
        gate.on_unconfirmed_copy(now);
    policies.update(store->mirror(), now);
    quotas.set_active(policies.accounts().has_quotas());
    admitted.set_active(calls_for_admission(policies.policy()));
    auto const& content = formats.content;
    if (affects(changes, content.target_prefix))
        apply_targets(now);
    // Not only the changed ones: a registered daemon that was silent for long
    // would otherwise stay forgotten after its partition ends.
    for (auto const* item : store->mirror().with_prefix(content.daemon_prefix))
        peers.table().add_address(item->value, now);
    budgets.on_fleet_size(peers.table().known_count() + 1, now);
    if (from_store && changes.base != 0)
        peers.forward_changes(changes, now);
    log_readiness_change();
    router.serve_waiting();
}

void implementation::apply_targets(time_point now) {
    auto const update = target_list.update(store->mirror());
    if (update.rejected > 0)
        counters.count("target_entries_rejected",
                       static_cast<double>(update.rejected));
    for (auto const& entry : update.reasons)
        log.write("target_entry_rejected",
                  {{"key", entry.key},
                   {"reason", entry.reason},
                   {"store_revision", std::to_string(entry.revision)}});
    bool const first = target_table.size() == 0;
    auto const changes = target_table.replace(
        target_list.targets(), now,
        {.listed_until = store->changed_after(),
         .store_returned_at = store->availability().returned_at(now)});
    if (first) {
        log.write(
            "targets_loaded",
            {{"targets", std::to_string(target_table.size())},
             {"store_revision", std::to_string(store->mirror().revision())}});
        return;
    }
    log_target_changes(changes, now);
}

void implementation::log_target_changes(
    std::vector<placement::target_change> const& changes, time_point now) {
    auto const ms_before = [&](time_point at) {
        return std::to_string(to_milliseconds(now - at));
    };
    for (auto const& change : changes) {
        telemetry::log_fields fields{
            {"target", change.target.value},
            {"service", change.service.value},
            {"change", std::string(to_string(change.kind))},
            {"store_revision", std::to_string(store->mirror().revision())}};
        if (change.usable_until) {
            fields.push_back({"usable_ms", std::to_string(to_milliseconds(
                                               *change.usable_until - now))});
            fields.push_back(
                {"listed_ms_ago", ms_before(store->changed_after())});
            if (auto const returned = store->availability().returned_at(now))
                fields.push_back({"store_available_ms", ms_before(*returned)});
        }
        log.write("target_changed", fields);
    }
}

// --- peers -------------------------------------------------------------------

peer_link_callbacks implementation::peer_callbacks() {
    peer_link_callbacks out;
    out.send = [this](std::vector<std::uint8_t> const& bytes,
                      std::vector<std::string> const& addresses) {
        peer_transport->send_to_all(bytes, addresses);
    };
    out.fill_heartbeat = [this](heartbeat& message) {
        fill_heartbeat(message);
    };
    out.on_heartbeat = [this](heartbeat const& message, bool is_new) {
        on_heartbeat(message, is_new);
    };
    out.on_changes = [this](change_message const& message) {
        return on_peer_changes(message);
    };
    out.on_credit_request = [this](credit_request_message const& message) {
        auto const grant = budgets.of(message.service)
                               .on_credit_request(message.request, boot_now());
        counters.count("repeat_credit_granted", grant.amount);
        return grant;
    };
    out.on_credit_grant = [this](credit_grant_message const& message) {
        counters.count("repeat_credit_received", message.grant.amount);
        budgets.of(message.service).on_grant(message.grant, boot_now());
        ask_for_credit(boot_now());
    };
    out.on_quota_request = [this](quota_request_message const& message) {
        quotas.handle(message, boot_now());
    };
    out.on_quota_grant = [this](quota_grant_message const& message) {
        quotas.handle(message, boot_now());
    };
    out.on_quota_release = [this](quota_release_message const& message) {
        quotas.handle(message, boot_now());
    };
    out.on_rejected = [this](codec::message_fault fault) {
        counters.count("peer_messages_rejected_" +
                       std::string(to_string(fault)));
    };
    return out;
}

result<void> implementation::open_peer_transport() {
    net::peer_transport_options options;
    options.bind_address = settings.peers;
    options.max_datagram_bytes = max_datagram_bytes;
    auto opened = net::peer_transport::open(
        context, options,
        [this](net::peer_transport::bytes_view bytes, std::string const&) {
            peers.receive(bytes, boot_now());
        });
    if (!opened)
        return opened.error();
    peer_transport = std::move(opened.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool implementation::on_peer_changes(change_message const& message) {
    auto const before = store->mirror().revision();
    if (!store->apply_peer_changes(message.changes))
        store->pull({{message.control, message.changes.revision}}, random(),
                    boot_now());
    return store->mirror().revision() > before;
}

void implementation::fill_heartbeat(heartbeat& out) {
    out.store_revision = store->mirror().revision();
    out.watching = store->watching() && !stopping_since;
    out.copy_age = std::chrono::duration_cast<std::chrono::milliseconds>(
        store->copy_age(boot_now()));
    if (auto const& period = store->availability().period())
        out.store_available = ages_of(*period, boot_now());
    out.store_call_failed = store->store_impaired();
    announced_store_call_failure = out.store_call_failed;
    out.budgets = budgets.reports(boot_now());
}

void implementation::on_heartbeat(heartbeat const& message, bool is_new) {
    auto const now = boot_now();
    if (is_new)
        log_peer(message, now);
    for (auto const& [service, report] : message.budgets)
        budgets.of(service).on_report(message.sender, report, now);
    quotas.on_heard(message.sender.value, now);
    gate.on_running(now);
    if (!gate.reads_backlog(now))
        apply_ages(message, now);
}

void implementation::apply_ages(heartbeat const& message, time_point now) {
    store->on_confirmed(message.store_revision,
                        time_of_event(message.copy_age, now));
    if (!message.store_available)
        return;
    store->on_available(period_of(*message.store_available, now));
    log_target_changes(target_table.on_store_available(
                           *store->availability().returned_at(now), now),
                       now);
}

// When a fleet starts, all its daemons are heard at once.
void implementation::log_peer(heartbeat const& message, time_point now) {
    ++peers_heard;
    if (now < next_peer_line)
        return;
    next_peer_line = now + peer_line_period;
    log.write("peer_heard", {{"peer", message.sender.value},
                             {"failure_domain", message.failure_domain.value},
                             {"peers", std::to_string(peers_heard)}});
    peers_heard = 0;
}

void implementation::publish_notice(
    std::optional<placement::target_notice> const& notice,
    service_id const& service, bool retried) {
    if (notice) {
        auto const event = "target_" + std::string(to_string(notice->kind));
        counters.count(event);
        telemetry::log_fields fields{{"target", notice->target.value},
                                     {"service", service.value}};
        if (auto const snapshot =
                target_table.snapshot_of(notice->target, boot_now()))
            fields.push_back({"risk_percent", percent_text(snapshot->failing)});
        log.write(event, fields);
        peers.broadcast(*notice, boot_now());
    }
    if (retried)
        ask_for_credit(boot_now());
}

bool implementation::may_retry(service_id const& id, time_point now) {
    bool const allowed = budgets.of(id).own().allows(now);
    if (!allowed)
        counters.count("repeats_refused");
    return allowed;
}

void implementation::ask_for_credit(time_point now) {
    for (auto const& [service, due] : budgets.due_requests(now))
        peers.request_credit(service, due);
}

void implementation::catch_up(time_point now) {
    auto const ahead =
        peers.table().peers_with_newer_copy(store->mirror().revision(), now);
    if (ahead.empty()) {
        if (behind_since)
            log_caught_up(now - *behind_since);
        behind_since.reset();
        if (store->loaded())
            store->on_current();
        else if (store->store_impaired())
            pull_from_seed(now);
        return;
    }
    if (!behind_since)
        behind_since = now;
    if (now - *behind_since >= pull_delay)
        store->pull(ahead, random(), now);
}

void implementation::log_caught_up(duration behind) {
    if (behind >= behind_log_threshold)
        log.write(
            "copy_caught_up",
            {{"behind_ms", std::to_string(to_milliseconds(behind))},
             {"store_revision", std::to_string(store->mirror().revision())}});
}

void implementation::pull_from_seed(time_point now) {
    if (settings.seeds.empty())
        return;
    auto const& seed = settings.seeds[random() % settings.seeds.size()];
    if (seed != settings.control)
        store->pull({{seed, 0}}, random(), now);
}

} // namespace yuccabeam::gateway
