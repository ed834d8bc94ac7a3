#include "yuccabeam/gateway/gateway_daemon.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/gateway/active_policy.hpp"
#include "yuccabeam/gateway/control_service.hpp"
#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/daemon_gauges.hpp"
#include "yuccabeam/gateway/daemon_options.hpp"
#include "yuccabeam/gateway/drain.hpp"
#include "yuccabeam/gateway/peer_link.hpp"
#include "yuccabeam/gateway/request_router.hpp"
#include "yuccabeam/gateway/service_budgets.hpp"
#include "yuccabeam/gateway/store_sync.hpp"
#include "yuccabeam/gateway/target_description.hpp"
#include "yuccabeam/gateway/target_entries.hpp"
#include "yuccabeam/gateway/usage_report.hpp"
#include "yuccabeam/net/one_shot_timer.hpp"

#include <asio.hpp>
#include <random>
#include <utility>

namespace yuccabeam::gateway {

namespace {

using adapters::boot_now;

constexpr std::chrono::milliseconds tick_period{50};
// Delays of the periodic timer of at least this length are logged: timeouts of
// some hundred milliseconds then measure this VM and not its targets.
constexpr duration loop_delay_log_threshold = std::chrono::milliseconds(100);
// Time after a peer has announced a newer revision during which its changes may
// still arrive by datagram. After it they are pulled.
constexpr duration pull_delay = std::chrono::milliseconds(60);
// For this time after an outage of the store, the loss of many targets at once
// is attributed to the outage.
constexpr duration recent_outage_period = std::chrono::seconds(3);

} // namespace

struct gateway_daemon::implementation
    : std::enable_shared_from_this<gateway_daemon::implementation> {
    implementation(asio::io_context& context,
                   yuccabeam::gateway::settings given_settings,
                   yuccabeam::gateway::formats given_formats);

    result<void> start();
    void begin_stop();

    // Store and configuration.
    store_sync_callbacks store_callbacks();
    void on_store_changed(mirror::store_changes const& changes,
                          bool from_store);
    void apply_targets(time_point now);

    // Peers.
    peer_link_callbacks peer_callbacks();
    void fill_heartbeat(heartbeat& out);
    void on_heartbeat(heartbeat const& message, bool is_new);
    void on_target_notice(target_notice_message const& message);
    void publish_notice(std::optional<placement::target_notice> const& notice,
                        service_id const& service, bool retried);
    bool may_retry(service_id const& id, time_point now);
    void ask_for_credit(time_point now);
    void catch_up(time_point now);
    void pull_from_seed(time_point now);

    // Requests.
    exchange_dependencies make_exchange_dependencies();
    void answer_readiness(http1::incoming_request const& request,
                          http1::responder_ptr const& caller);

    // Control address.
    control_dependencies make_control_dependencies();
    std::string changes_after(std::uint64_t revision);
    daemon_state state(time_point now) const;

    // Startup, readiness and shutdown.
    result<void> listen();
    bool ready() const;
    bool accepts_requests(time_point now) const;
    void log_readiness_change();
    void schedule_tick();
    void record_loop_delay(duration delay);
    void on_tick(time_point now);
    void check_stop(time_point now);

    asio::io_context& context;
    yuccabeam::gateway::settings settings;
    yuccabeam::gateway::formats formats;
    telemetry::event_log log;
    yuccabeam::gateway::counters counters;
    std::mt19937_64 random;

    http1::client targets;
    http1::client control_client;
    placement::target_table target_table;
    target_entries target_list;
    service_budgets budgets;
    peer_link peers;
    std::shared_ptr<store_sync> store;
    exchange_dependencies dependencies;
    std::unique_ptr<http1::server> callers;
    std::unique_ptr<http1::server> readiness;
    std::unique_ptr<http1::server> control;
    net::one_shot_timer ticker;
    time_point last_tick{};
    usage_report usage;

    active_policy policies;
    request_router router;
    bool was_ready = false;
    std::optional<time_point> stopping_since;
    std::optional<time_point> last_outage;
    bool announced_store_call_failure = false;
    std::optional<time_point> behind_since;
};

using implementation = gateway_daemon::implementation;

implementation::implementation(asio::io_context& context,
                               yuccabeam::gateway::settings given_settings,
                               yuccabeam::gateway::formats given_formats)
    : context(context), settings(std::move(given_settings)),
      formats(std::move(given_formats)), log({settings.vm}),
      random(std::hash<std::string>{}(settings.vm) ^ new_incarnation()),
      targets(context.get_executor()), control_client(context.get_executor()),
      target_table(settings.failure_domain, random(),
                   target_table_options_of(settings)),
      target_list(formats.content.target_prefix, formats.content.target),
      budgets(budget_options_of(settings), {settings.peers}, random(),
              boot_now(), initial_credit_of(settings)),
      peers({settings.peers, settings.control, settings.failure_domain,
             settings.failure_domains.size(), new_incarnation()},
            peer_callbacks()),
      dependencies(make_exchange_dependencies()),
      ticker(context.get_executor()), policies(formats.content, log, counters),
      router(dependencies, policies) {}

result<void> implementation::start() {
    store_sync_options options;
    options.address = settings.store;
    options.entry_key = formats.content.daemon_prefix + settings.peers;
    options.entry_value = settings.peers;
    options.schedule.check_delay = std::chrono::milliseconds(
        random() % static_cast<std::uint64_t>(max_check_delay.count() + 1));
    store = std::make_shared<store_sync>(context.get_executor(), control_client,
                                         formats.store, options,
                                         store_callbacks(), log);
    if (auto opened = peers.open(context); !opened)
        return opened;
    if (auto listening = listen(); !listening)
        return listening;
    log.write("started", {{"callers", settings.callers},
                          {"store", settings.store},
                          {"failure_domain", settings.failure_domain.value},
                          {"new_fleet", settings.new_fleet ? "1" : "0"}});
    last_tick = boot_now();
    schedule_tick();
    on_tick(last_tick);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

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

// --- requests ----------------------------------------------------------------

exchange_dependencies implementation::make_exchange_dependencies() {
    exchange_dependencies out{context.get_executor(),
                              targets,
                              target_table,
                              log,
                              counters,
                              formats.headers,
                              random,
                              {},
                              {},
                              {},
                              {}};
    out.budget = [this](service_id const& id) { return &budgets.of(id).own(); };
    out.may_retry = [this](service_id const& id, time_point now) {
        return may_retry(id, now);
    };
    out.publish_notice =
        [this](std::optional<placement::target_notice> const& notice,
               service_id const& service,
               bool retried) { publish_notice(notice, service, retried); };
    out.publish_activity = [this](placement::target_activity const& activity) {
        peers.report_activity(activity, boot_now());
    };
    return out;
}

void implementation::answer_readiness(http1::incoming_request const& request,
                                      http1::responder_ptr const& caller) {
    bool const known = request.head.target == formats.readiness_path;
    caller->send(text_response(!known ? 404 : ready() ? 200 : 503, ""));
}

control_dependencies implementation::make_control_dependencies() {
    return {[this] {
                set_gauges(counters,
                           {target_table, *store, log, targets, *callers,
                            peers.table()},
                           boot_now());
                usage.set_gauges(target_table, counters, boot_now());
            },
            counters, [this] { return state(boot_now()); },
            [this](std::uint64_t revision) { return changes_after(revision); }};
}

std::string implementation::changes_after(std::uint64_t revision) {
    if (!store->loaded())
        return {};
    auto addresses = peers.table().addresses();
    addresses.push_back(settings.peers);
    return encode_changes(store->mirror().changes_since(revision), addresses);
}

daemon_state implementation::state(time_point now) const {
    daemon_state out;
    out.vm = settings.vm;
    out.failure_domain = settings.failure_domain.value;
    out.ready = ready();
    out.stopping = stopping_since.has_value();
    out.policy_revision = policies.policy().revision;
    out.policy_age = now - policies.applied_at();
    out.routes = policies.policy().routes.size();
    out.store_revision = store->mirror().revision();
    out.peers = peers.table().live_count(now);
    out.targets = target_table.snapshots(now);
    out.now = now;
    return out;
}

// --- startup, readiness and shutdown -----------------------------------------

result<void> implementation::listen() {
    auto const executor = context.get_executor();
    callers = std::make_unique<http1::server>(
        executor, [this] { return policies.policy().limits; },
        [this](http1::incoming_request request, http1::responder_ptr caller) {
            // Not left to the next tick, which may be late.
            if (!accepts_requests(boot_now()))
                router.close();
            router.serve(std::move(request), std::move(caller));
        });
    auto const defaults = [] { return http1::caller_limits{}; };
    readiness = std::make_unique<http1::server>(
        executor, defaults,
        [this](http1::incoming_request const& request,
               http1::responder_ptr const& caller) {
            answer_readiness(request, caller);
        });
    control = std::make_unique<http1::server>(
        executor, defaults,
        [answers =
             std::make_shared<control_service>(make_control_dependencies())](
            http1::incoming_request const& request,
            http1::responder_ptr const& caller) {
            caller->send(answers->answer(request));
        });
    if (auto done = callers->listen(settings.callers); !done)
        return done;
    if (auto done = readiness->listen(settings.readiness); !done)
        return done;
    return control->listen(settings.control);
}

bool implementation::ready() const {
    return !stopping_since && !policies.empty() && target_table.size() > 0;
}

void implementation::log_readiness_change() {
    if (ready() == was_ready)
        return;
    was_ready = ready();
    log.write("readiness",
              {{"ready", was_ready ? "1" : "0"},
               {"policy", std::to_string(policies.policy().revision)},
               {"targets", std::to_string(target_table.size())}});
}

void implementation::schedule_tick() {
    ticker.start(tick_period, [self = shared_from_this()] {
        auto const now = boot_now();
        self->record_loop_delay(now - self->last_tick - tick_period);
        self->last_tick = now;
        self->on_tick(now);
        self->schedule_tick();
    });
}

void implementation::record_loop_delay(duration delay) {
    counters.on_loop_delay(to_seconds(delay));
    if (delay >= loop_delay_log_threshold)
        log.write("loop_late", {{"ms", std::to_string(to_milliseconds(delay))},
                                {"active", std::to_string(callers->active())}});
}

void implementation::on_tick(time_point now) {
    if (store->last_call_failed())
        last_outage = now;
    store->tick(now);
    catch_up(now);
    router.expire(now);
    target_table.expire(now);
    usage.on_tick(target_table, log, now);
    budgets.on_fleet_size(peers.table().known_count() + 1, now);
    for (auto const& [service, rate] : budgets.fleet_rates(now))
        target_table.loads().set_fleet_rate(service, rate);
    if (!stopping_since) {
        // Announced at once, so that peers take over watching the store.
        if (store->last_call_failed() != announced_store_call_failure)
            peers.announce_to_domain(now);
        peers.tick(now);
        ask_for_credit(now);
    }
    log_readiness_change();
    check_stop(now);
}

void implementation::begin_stop() {
    if (stopping_since)
        return;
    auto const now = boot_now();
    stopping_since = now;
    log_readiness_change();
    log.write("stopping",
              {{"active", std::to_string(callers->active())},
               {"connections", std::to_string(callers->connections())}});
    callers->announce_close();
    peers.send_leaving(now);
    store->withdraw();
}

bool implementation::accepts_requests(time_point now) const {
    return !stopping_since ||
           gateway::accepts_requests(now - *stopping_since,
                                     drain_options_of(settings));
}

void implementation::check_stop(time_point now) {
    if (!stopping_since)
        return;
    auto const elapsed = now - *stopping_since;
    auto const step =
        next_drain_step(elapsed, callers->active(), drain_options_of(settings));
    if (step == drain_step::serve)
        return;
    router.close();
    callers->stop_accepting();
    callers->close_idle();
    if (step == drain_step::end) {
        auto const active = callers->active();
        log.write("stopped",
                  {{"active", std::to_string(active)},
                   {"reason", active == 0 ? "drained" : "end_of_grace"},
                   {"ms", std::to_string(to_milliseconds(elapsed))}});
        context.stop();
    }
}

gateway_daemon::gateway_daemon(asio::io_context& context, settings settings,
                               formats formats)
    : self_(std::make_shared<implementation>(context, std::move(settings),
                                             std::move(formats))) {}

gateway_daemon::~gateway_daemon() = default;

result<void> gateway_daemon::start() {
    return self_->start();
}

void gateway_daemon::shut_down() {
    self_->begin_stop();
}

void gateway_daemon::reload(settings const& settings) {
    auto& own = self_->settings;
    own.seeds = settings.seeds;
    own.grace = settings.grace;
    self_->log.write("reloaded", {{"seeds", std::to_string(own.seeds.size())}});
}

} // namespace yuccabeam::gateway
