// What a daemon does with updates from the store and from its peers.
#include "gateway_daemon_implementation.hpp"

#include "yuccabeam/gateway/target_description.hpp"

#include <utility>

namespace yuccabeam::gateway {

using implementation = gateway_daemon::implementation;

namespace {

// Time after a peer has announced a newer revision during which its changes may
// still arrive by datagram. After it they are pulled.
constexpr duration pull_delay = std::chrono::milliseconds(60);
// For this time after an outage of the store, the loss of many targets at once
// is attributed to the outage.
constexpr duration recent_outage_period = std::chrono::seconds(3);

} // namespace

// --- store and configuration -----------------------------------------------

store_sync_callbacks implementation::store_callbacks() {
    store_sync_callbacks out;
    out.changed = [this](mirror::store_changes const& changes,
                         bool from_store) {
        on_store_changed(changes, from_store);
    };
    out.should_watch = [this] {
        return peers.table().should_watch(boot_now());
    };
    out.confirmed = [this] { peers.announce_to_domain(boot_now()); };
    out.peers_discovered = [this](std::vector<std::string> const& addresses) {
        for (auto const& address : addresses)
            peers.table().add_address(address, boot_now());
    };
    return out;
}

void implementation::on_store_changed(mirror::store_changes const& changes,
                                      bool from_store) {
    auto const now = boot_now();
    policies.update(store->mirror(), now);
    apply_targets(now);
    auto const& prefix = formats.content.daemon_prefix;
    for (auto const* item : store->mirror().with_prefix(prefix))
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
    bool const after_outage =
        last_outage && now - *last_outage < recent_outage_period;
    for (auto const& change : target_table.replace(
             target_list.targets(), after_outage, now, store->changed_after()))
        log.write(
            "target_changed",
            {{"target", change.target.value},
             {"service", change.service.value},
             {"change", std::string(to_string(change.kind))},
             {"after_outage", after_outage ? "1" : "0"},
             {"store_revision", std::to_string(store->mirror().revision())}});
}

// --- peers -------------------------------------------------------------------

peer_link_callbacks implementation::peer_callbacks() {
    peer_link_callbacks out;
    out.fill_heartbeat = [this](heartbeat& message) {
        fill_heartbeat(message);
    };
    out.on_heartbeat = [this](heartbeat const& message, bool is_new) {
        on_heartbeat(message, is_new);
    };
    out.on_target_notice = [this](target_notice_message const& message) {
        on_target_notice(message);
    };
    out.on_changes = [this](change_message const& message) {
        if (!store->apply_peer_changes(message.changes))
            store->pull(message.control, boot_now());
    };
    out.on_activity = [this](activity_message const& message) {
        for (auto const& activity : message.targets)
            target_table.on_peer_activity(message.sender, activity, boot_now());
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
    out.on_domain_activity = [this](domain_activity_message const& message) {
        target_table.on_domain_activity(message.failure_domain, message.targets,
                                        boot_now());
    };
    out.domain_activity = [this] {
        return target_table.domain_activity(boot_now());
    };
    out.on_malformed = [this] { counters.count("peer_messages_rejected"); };
    return out;
}

void implementation::fill_heartbeat(heartbeat& out) {
    out.store_revision = store->mirror().revision();
    out.watching = store->watching() && !stopping_since;
    out.copy_age = std::chrono::duration_cast<std::chrono::milliseconds>(
        store->copy_age(boot_now()));
    out.store_call_failed = store->last_call_failed();
    announced_store_call_failure = out.store_call_failed;
    out.budgets = budgets.reports(boot_now());
}

void implementation::on_heartbeat(heartbeat const& message, bool is_new) {
    auto const now = boot_now();
    if (is_new)
        log.write("peer_heard",
                  {{"peer", message.sender.value},
                   {"failure_domain", message.failure_domain.value}});
    for (auto const& [service, report] : message.budgets)
        budgets.of(service).on_report(message.sender, report, now);
    store->on_confirmed(message.store_revision, now - message.copy_age);
    if (message.store_call_failed)
        last_outage = now;
}

void implementation::on_target_notice(target_notice_message const& message) {
    target_table.on_peer_notice(message.notice, boot_now());
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
        peers.broadcast(*notice);
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
        peers.table().peer_with_newer_copy(store->mirror().revision(), now);
    if (!ahead) {
        behind_since.reset();
        if (!store->loaded() && store->last_call_failed())
            pull_from_seed(now);
        return;
    }
    if (!behind_since)
        behind_since = now;
    if (now - *behind_since >= pull_delay)
        store->pull(ahead->control, now);
}

void implementation::pull_from_seed(time_point now) {
    if (settings.seeds.empty())
        return;
    auto const& seed = settings.seeds[random() % settings.seeds.size()];
    if (seed != settings.control)
        store->pull(seed, now);
}

} // namespace yuccabeam::gateway
