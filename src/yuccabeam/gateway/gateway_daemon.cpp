#include "gateway_daemon_implementation.hpp"

#include "yuccabeam/gateway/copy_compression.hpp"
#include "yuccabeam/gateway/daemon_gauges.hpp"
#include "yuccabeam/gateway/daemon_options.hpp"
#include "yuccabeam/gateway/drain.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::gateway {

namespace {

constexpr std::chrono::milliseconds tick_period{50};
// A smaller copy takes no time worth counting on any link.
constexpr std::size_t large_copy_bytes = 8 << 10;
constexpr duration rate_update_period = std::chrono::milliseconds(250);
// Delays of the periodic timer of at least this length are logged: timeouts of
// some hundred milliseconds then measure this VM and not its targets.
constexpr duration loop_delay_log_threshold = std::chrono::milliseconds(100);

// A copy confirmed within this time is as current as that of a daemon in touch
// with the store or with a peer that is, see decision 0011.
constexpr duration current_copy_age = std::chrono::milliseconds(1'500);

} // namespace

using implementation = gateway_daemon::implementation;

implementation::implementation(asio::io_context& context,
                               yuccabeam::gateway::settings given_settings,
                               yuccabeam::gateway::formats given_formats)
    : context(context), settings(std::move(given_settings)),
      formats(std::move(given_formats)), log({settings.vm}),
      random(std::hash<std::string>{}(settings.vm) ^ new_incarnation()),
      memory(std::make_shared<http1::memory_budget>(body_bytes_of(settings))),
      targets(context.get_executor(), {.memory = memory}),
      control_client(context.get_executor(), {.memory = memory}),
      target_table(settings.failure_domain, random(),
                   target_table_options_of(settings)),
      target_list(formats.content.target_prefix, formats.content.target),
      budgets(budget_options_of(settings), {settings.peers}, random(),
              boot_now(), initial_credit_of(settings)),
      peers(peer_link_options_of(settings), target_table, peer_callbacks()),
      quotas(quota_service_options_of(settings), make_quota_callbacks(),
             boot_now()),
      dependencies(make_exchange_dependencies()),
      admitted(dependencies,
               [this](service_id const& service, time_point now) {
                   return share_of(service, now);
               }),
      ticker(context.get_executor()),
      sharing(copy_sharing_options_of(settings)),
      policies(formats.content, log, counters),
      router(
          dependencies, policies, [this] { return may_serve(boot_now()); },
          make_key_checks(), &quotas, &admitted) {}

result<void> implementation::start() {
    store_sync_options options;
    options.address = settings.store;
    options.entry_key = formats.content.daemon_prefix + settings.peers;
    options.entry_value = settings.peers;
    options.control = settings.control;
    options.availability.target_heartbeat = settings.target_heartbeat;
    options.schedule.check_delay = std::chrono::milliseconds(
        random() % static_cast<std::uint64_t>(max_check_delay.count() + 1));
    store = std::make_shared<store_sync>(context.get_executor(), control_client,
                                         formats.store, options,
                                         store_callbacks(), log);
    if (auto opened = open_peer_transport(); !opened)
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
    out.find_account = [this](key_digest const& key) {
        return policies.accounts().find(key);
    };
    out.publish_activity = [this](placement::target_activity const& activity) {
        peers.report_activity(activity, boot_now());
        admitted.on_activity();
    };
    return out;
}

// The balancer spreads callers over the daemons. A daemon that gets more of a
// service's requests than that has a larger share.
double implementation::share_of(service_id const& service, time_point now) {
    auto const fleet_rate = target_table.loads().fleet_rate(service);
    auto& budget = budgets.of(service).own();
    double const rate = budget.requests(now) / to_seconds(budget.window());
    double const measured = fleet_rate > 0 ? rate / fleet_rate : 0;
    return std::clamp(measured, 1 / live_daemons, 1.0);
}

key_checks implementation::make_key_checks() {
    key_checks out;
    out.copy_is_current = [this] {
        return store->copy_age(boot_now()) <= current_copy_age;
    };
    out.accepts_keys = [this] {
        return !settings.strict_revocation ||
               store->copy_age(boot_now()) <= settings.revocation_limit;
    };
    return out;
}

quota_callbacks implementation::make_quota_callbacks() {
    quota_callbacks out;
    out.send = [this](peer_message const& message, std::string const& address) {
        peers.send(message, address);
    };
    out.candidates = [this](time_point now) {
        return peers.table().live_daemons(now);
    };
    out.quota_of =
        [this](account_id const& id) -> std::optional<limits::quota> {
        auto const account = policies.accounts().find(id);
        if (!account)
            return std::nullopt;
        return limits::quota{account->rate, account->burst};
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
                           {target_table, *store, log, targets, *callers, peers,
                            *memory},
                           boot_now());
                usage.set_gauges(target_table, counters, boot_now());
                set_quota_gauges(counters, quotas, boot_now());
            },
            counters, [this] { return state(boot_now()); },
            [this](changes_request const& request) {
                return changes_for(request);
            }};
}

changes_answer implementation::changes_for(changes_request const& request) {
    if (!store->loaded())
        return {};
    auto const encode = [&] {
        auto addresses = peers.table().addresses();
        addresses.push_back(settings.peers);
        return encode_changes(store->mirror().changes_since(request.revision),
                              addresses);
    };
    auto const newest = store->mirror().revision();
    if (!request.accepts_compressed || newest <= request.revision)
        return {encode()};
    // Many peers ask for the same changes when a new configuration spreads.
    if (last_encoded.from != request.revision || last_encoded.to != newest)
        last_encoded = {request.revision, newest, compress_copy(encode())};
    if (last_encoded.body.size() >= large_copy_bytes &&
        !sharing.admit(request.receiver, newest, last_encoded.body.size(),
                       boot_now())) {
        counters.count("copies_deferred");
        return {{}, false, sharing.referrals()};
    }
    return {last_encoded.body, true};
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
            gate.on_running(boot_now());
            if (!accepts_requests(boot_now()))
                router.close();
            router.serve(std::move(request), std::move(caller));
        },
        memory, caller_options_of(settings, system_descriptor_limit()));
    auto const defaults = [] { return http1::caller_limits{}; };
    readiness = std::make_unique<http1::server>(
        executor, defaults,
        [this](http1::incoming_request const& request,
               http1::responder_ptr const& caller) {
            answer_readiness(request, caller);
        },
        memory);
    control = std::make_unique<http1::server>(
        executor, defaults,
        [answers =
             std::make_shared<control_service>(make_control_dependencies())](
            http1::incoming_request const& request,
            http1::responder_ptr const& caller) {
            caller->send(answers->answer(request));
        },
        memory);
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
    gate.on_running(now);
    store->tick(now);
    catch_up(now);
    router.serve_waiting();
    router.expire(now, !store->last_call_failed());
    target_table.expire(now);
    admitted.tick();
    usage.on_tick(target_table, log, now);
    budgets.on_fleet_size(peers.table().known_count() + 1, now);
    // Before, the list of daemons isn't known, and shares would be too large.
    if (store->loaded())
        quotas.on_fleet_size(peers.table().known_count() + 1);
    quotas.tick(now);
    update_fleet_rates(now);
    if (!stopping_since) {
        // Announced at once, so that peers take over watching the store.
        if (store->store_impaired() != announced_store_call_failure)
            peers.announce_to_domain(now);
        peers.tick(now);
        ask_for_credit(now);
    }
    log_readiness_change();
    check_stop(now);
}

void implementation::update_fleet_rates(time_point now) {
    if (now < next_rate_update)
        return;
    next_rate_update = now + rate_update_period;
    auto const daemons = peers.table().live_count(now) + 1;
    live_daemons = static_cast<double>(daemons);
    for (auto const& [service, rate] : budgets.fleet_rates(daemons, now))
        target_table.loads().set_fleet_rate(service, rate);
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
    quotas.release(now);
    peers.send_leaving(now);
    store->withdraw();
}

bool implementation::accepts_requests(time_point now) const {
    return !stopping_since ||
           gateway::accepts_requests(now - *stopping_since,
                                     drain_options_of(settings));
}

bool implementation::may_serve(time_point now) const {
    return gate.open(now, now - store->copy_age(now));
}

void implementation::check_stop(time_point now) {
    if (!stopping_since)
        return;
    auto const elapsed = now - *stopping_since;
    auto const step = next_drain_step(elapsed, callers->connections(),
                                      drain_options_of(settings));
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

void gateway_daemon::report_error(std::string const& what) {
    self_->counters.count("unexpected_errors");
    self_->log.write("unexpected_error", {{"what", what}});
    // The error may have ended the chain of ticks.
    self_->schedule_tick();
}

void gateway_daemon::reload(settings const& settings) {
    auto& own = self_->settings;
    own.seeds = settings.seeds;
    own.grace = settings.grace;
    self_->log.write("reloaded", {{"seeds", std::to_string(own.seeds.size())}});
}

} // namespace yuccabeam::gateway
