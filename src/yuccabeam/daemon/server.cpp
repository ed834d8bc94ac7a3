#include "yuccabeam/daemon/server.hpp"

#include "probe.hpp"
#include "store_claims.hpp"
#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/adapters/http_server.hpp"
#include "yuccabeam/adapters/logging.hpp"
#include "yuccabeam/adapters/metrics.hpp"
#include "yuccabeam/adapters/operator_rpc.hpp"
#include "yuccabeam/adapters/timer_service.hpp"
#include "yuccabeam/daemon/config_keeper.hpp"
#include "yuccabeam/daemon/peer_auth.hpp"
#include "yuccabeam/daemon/peer_hub.hpp"
#include "yuccabeam/daemon/proxy.hpp"
#include "yuccabeam/daemon/queries.hpp"
#include "yuccabeam/routing/rendezvous.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <set>
#include <thread>

namespace yuccabeam::daemon {

namespace {

using adapters::boot_now;
using adapters::log_change;
using adapters::log_level;

constexpr std::chrono::milliseconds shutdown_poll{20};
constexpr std::chrono::milliseconds decision_tick{25};
constexpr std::chrono::milliseconds fleet_tick{250};
// The VM list is a hint; watchers read it often and pass leaving targets on,
// so that the calls do not grow with the fleet.
constexpr std::chrono::seconds watcher_vm_list_period{1};
constexpr std::chrono::seconds vm_list_period{10};
// A probe of a target on trial while there is no traffic.
constexpr std::chrono::milliseconds probe_timeout{1'000};
constexpr std::uint64_t max_probe_body_bytes = 64u << 10;

incarnation microseconds_since_epoch() {
    return static_cast<incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

double random_share() {
    std::mt19937 random(std::random_device{}());
    return std::uniform_real_distribution<>()(random);
}

} // namespace

struct server::implementation {
    daemon::settings settings;
    health::observer_identity self;
    time_point started = boot_now();
    double jitter; ///< of the isolation time, drawn once
    std::atomic<bool> stopping{false};

    adapters::metrics metrics;
    proxy requests;
    peer_hub peers;
    config_keeper configuration;
    adapters::http_server callers;
    adapters::http_server peer_http;
    adapters::operator_rpc operators;
    adapters::store_client vm_list;
    adapters::timer_service timers;
    // Calls of the VM list block, so they have a thread of their own.
    adapters::timer_service slow_timers;
    time_point next_vm_list{};
    std::map<target_id, health::target_state> logged_states;

    explicit implementation(daemon::settings given);

    proxy_options make_proxy_options();
    peer_hub_options make_peer_options() const;
    peer_hub_callbacks make_peer_callbacks();
    config_callbacks make_config_callbacks();
    query_sources sources();

    void handle_peer(adapters::http_request request,
                     adapters::http_responder_ptr responder);
    void apply(snapshot_ptr next, membership::config_digest const& digest);
    void receive(health_message const& message);
    void mark_leaving(target_id const& id);
    void update_fleet();
    void run_decisions(time_point now);
    void start_probe(service_pool_ptr const& pool, time_point now);
    void watch_over(time_point now);
    config::readiness readiness() const;
    bool isolated(time_point now) const;
    void log_target_states(time_point now);
    void read_vm_list(time_point now);
    void wait_for_running_requests();
};

server::implementation::implementation(daemon::settings given)
    : settings(std::move(given)), self{settings.daemon,
                                       microseconds_since_epoch(),
                                       settings.failure_domain},
      jitter(random_share()), requests(make_proxy_options(), metrics),
      peers(make_peer_options(), make_peer_callbacks()),
      configuration(settings.store, settings.shared_key,
                    make_config_callbacks()),
      callers({.address = settings.listen,
               .threads = settings.threads,
               .max_body_bytes = settings.max_body_bytes},
              [this](auto request, auto responder) {
                  requests.handle(std::move(request), std::move(responder));
              }),
      peer_http({.address = settings.peer_http,
                 .max_body_bytes = settings.max_body_bytes},
                [this](auto request, auto responder) {
                    handle_peer(std::move(request), std::move(responder));
                }),
      operators(settings.operator_rpc,
                [this](auto const& method, auto const& id) {
                    return answer_query(sources(), method, id).dump();
                }),
      vm_list(settings.vm_list) {}

proxy_options server::implementation::make_proxy_options() {
    proxy_options options;
    options.self = self;
    options.shared_key = settings.shared_key;
    options.claims = std::make_shared<store_claims>(settings.store);
    options.find_daemon =
        [this](daemon_id const& id) -> std::optional<ticket_owner> {
        for (auto const& member : peers.live_members())
            if (member.id == id)
                return ticket_owner{member.incarnation,
                                    member.info.http_address};
        return std::nullopt;
    };
    return options;
}

peer_hub_options server::implementation::make_peer_options() const {
    peer_hub_options options;
    options.key = {settings.deployment, settings.shared_key};
    options.self = self;
    options.bind_address = settings.peer;
    options.http_address = settings.peer_http;
    return options;
}

peer_hub_callbacks server::implementation::make_peer_callbacks() {
    peer_hub_callbacks callbacks;
    callbacks.health = [this](auto message) { receive(message); };
    callbacks.fetch = [this](auto request) {
        configuration.fetch(std::move(request));
    };
    callbacks.leaving_target = [this](auto const& id) { mark_leaving(id); };
    callbacks.members_changed = [this] { update_fleet(); };
    return callbacks;
}

config_callbacks server::implementation::make_config_callbacks() {
    config_callbacks callbacks;
    callbacks.applied = [this](auto next, auto const& digest) {
        apply(std::move(next), digest);
    };
    callbacks.in_store = [this](auto const& digest) {
        peers.config_in_store(digest);
    };
    callbacks.fetch_failed = [this] { peers.fetch_failed(boot_now()); };
    return callbacks;
}

query_sources server::implementation::sources() {
    return {self, requests, peers, configuration,
            [this] { return readiness(); }};
}

void server::implementation::handle_peer(
    adapters::http_request request, adapters::http_responder_ptr responder) {
    constexpr std::string_view chunks_path = "/.yuccabeam/chunks/";
    if (!is_peer_auth(settings.shared_key, request.target,
                      adapters::field_value(request.fields, peer_auth_field)))
        return responder->send(
            adapters::json_reply(403, R"({"reason":"not a peer"})"));
    if (request.target.starts_with(chunks_path))
        return responder->send(adapters::json_reply(
            200,
            configuration.chunks(request.target.substr(chunks_path.size()))));
    requests.handle_relayed(std::move(request), std::move(responder));
}

void server::implementation::apply(snapshot_ptr next,
                                   membership::config_digest const& digest) {
    requests.apply(std::move(next));
    update_fleet();
    peers.config_applied(digest);
}

void server::implementation::receive(health_message const& message) {
    auto const state = requests.state();
    if (!state)
        return;
    auto const service = std::visit(
        [](auto const& value) { return service_id{value.service}; }, message);
    auto const found = state->pools.find(service);
    if (found == state->pools.end())
        return;
    auto const now = boot_now();
    if (auto const* table = std::get_if<health::ejection_table>(&message)) {
        found->second->receive(*table, now);
        return;
    }
    for (auto const& answer : found->second->receive(
             std::get<health::evidence_report>(message), now))
        peers.send(answer);
}

void server::implementation::mark_leaving(target_id const& id) {
    if (auto const state = requests.state())
        for (auto const& [service, pool] : state->pools)
            pool->mark_leaving(id, boot_now());
}

// Derives home daemons, arbiters and store watchers from the member list.
void server::implementation::update_fleet() {
    routing::daemons_by_domain daemons;
    for (auto const& member : peers.live_members())
        daemons[member.info.failure_domain].push_back(member.id);
    auto const watchers = routing::watchers(daemons);
    configuration.set_watching(
        std::any_of(watchers.begin(), watchers.end(), [&](auto const& watcher) {
            return watcher.id == self.id;
        }));
    auto const known = peers.known_daemons();
    auto const now = boot_now();
    if (auto* claims = requests.claims())
        claims->set_daemons(std::max<std::size_t>(known, 1), now);
    auto const state = requests.state();
    if (!state)
        return;
    for (auto const& [service, pool] : state->pools) {
        std::vector<daemon_id> homes;
        for (auto const& home : routing::home_daemons(service, daemons))
            homes.push_back(home.id);
        pool->set_home_daemons(homes, static_cast<std::uint32_t>(known), now);
    }
}

void server::implementation::run_decisions(time_point now) {
    peers.tick(now);
    auto const state = requests.state();
    if (!state)
        return;
    for (auto const& [service, pool] : state->pools) {
        for (auto const& message : pool->tick(now))
            peers.send(message);
        start_probe(pool, now);
    }
}

void server::implementation::start_probe(service_pool_ptr const& pool,
                                         time_point now) {
    auto started = pool->take_probe(now);
    if (!started)
        return;
    adapters::target_call call;
    call.address = started->address;
    call.method = "GET";
    call.request_target = "/health";
    call.fields = {{"Host", started->address}};
    call.head_timeout = probe_timeout;
    call.limits.max_body_bytes = max_probe_body_bytes;
    requests.client().start(std::move(call),
                            std::make_shared<probe>(pool, std::move(started)));
}

config::readiness server::implementation::readiness() const {
    auto const store = configuration.store();
    config::start_view view;
    view.started = started;
    view.now = boot_now();
    view.store = store.status;
    view.store_head = store.head;
    view.vm_list_known = peers.vm_list_known();
    view.peers = peers.peers();
    view.applied = configuration.applied().revision;
    return config::decide_readiness(view);
}

bool server::implementation::isolated(time_point now) const {
    config::contacts contacts;
    contacts.store = configuration.store().last_answer;
    contacts.peer = peers.last_heard();
    contacts.started = started;
    if (!config::is_isolated(contacts, now, jitter))
        return false;
    std::vector<daemon_id> fleet{self.id};
    for (auto const& peer : peers.peers())
        fleet.push_back(peer.id);
    return !config::stays_when_isolated(self.id, fleet);
}

// Sets readiness. A daemon that was ready stays so until it is isolated.
void server::implementation::watch_over(time_point now) {
    log_target_states(now);
    if (stopping)
        return;
    bool const was_ready = requests.ready();
    auto const decided = readiness();
    bool const ready = (was_ready || decided.ready) && !isolated(now);
    if (ready == was_ready)
        return;
    requests.set_ready(ready);
    peers.set_ready(ready);
    log_change(ready ? log_level::info : log_level::warn, "server",
               ready ? "ready" : "not_ready", {{"reason", decided.reason}});
}

void server::implementation::log_target_states(time_point now) {
    auto const state = requests.state();
    if (!state)
        return;
    for (auto const& [service, pool] : state->pools) {
        auto const status = pool->status(now);
        metrics.set("yuccabeam_healthy_slots", service.value,
                    status.healthy_slots);
        metrics.set("yuccabeam_queued_requests", service.value,
                    static_cast<double>(status.queued));
        for (auto const& why : pool->explain(now)) {
            auto& logged = logged_states[why.target];
            if (logged == why.status.state)
                continue;
            logged = why.status.state;
            log_change(
                log_level::info, "health", "target_state",
                {{"service", service.value},
                 {"target", why.target.value},
                 {"state", std::string(health::to_string(why.status.state))},
                 {"reason", std::string(health::to_string(why.status.reason))},
                 {"arbiter", why.arbiter.value}});
        }
    }
}

void server::implementation::read_vm_list(time_point now) {
    if (now < next_vm_list)
        return;
    next_vm_list =
        now + (configuration.watching() ? duration(watcher_vm_list_period)
                                        : duration(vm_list_period));
    auto const vms = vm_list.vms();
    if (!vms)
        return;
    std::vector<membership::vm_list_entry> daemons;
    std::set<std::string> leaving;
    for (auto const& vm : vms.value()) {
        if (vm.role == "daemon")
            daemons.push_back({{vm.id}, vm.address, vm.leaving});
        else if (vm.leaving)
            leaving.insert(vm.address);
    }
    peers.hint(daemons, now);
    update_fleet();
    auto const state = requests.state();
    if (!state)
        return;
    std::vector<target_id> targets;
    for (auto const& target : state->configuration->asset_register.targets)
        if (leaving.contains(target.address)) {
            targets.push_back(target.id);
            mark_leaving(target.id);
        }
    peers.set_leaving_targets(std::move(targets));
}

void server::implementation::wait_for_running_requests() {
    auto const until = boot_now() + settings.drain_limit;
    while (requests.running() > 0 && boot_now() < until)
        std::this_thread::sleep_for(shutdown_poll);
}

server::server(settings settings)
    : self_(std::make_unique<implementation>(std::move(settings))) {}

server::~server() = default;

result<void> server::start() {
    auto& self = *self_;
    if (auto done = self.metrics.serve(self.settings.metrics); !done)
        return done;
    if (auto done = self.peers.start(); !done)
        return done;
    if (auto done = self.peer_http.start(); !done)
        return done;
    if (auto done = self.operators.start(); !done)
        return done;
    if (auto done = self.callers.start(); !done)
        return done;
    self.update_fleet();
    self.configuration.start();
    self.timers.every(decision_tick,
                      [&self](auto now) { self.run_decisions(now); });
    self.timers.every(fleet_tick, [&self](auto now) { self.watch_over(now); });
    self.slow_timers.every(fleet_tick,
                           [&self](auto now) { self.read_vm_list(now); });
    log_change(log_level::info, "server", "started",
               {{"daemon", self.settings.daemon.value},
                {"failure_domain", self.settings.failure_domain.value},
                {"listen", self.settings.listen}});
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void server::shut_down() {
    auto& self = *self_;
    self.stopping = true;
    self.requests.set_ready(false);
    self.peers.set_ready(false);
    log_change(log_level::info, "server", "draining",
               {{"running", std::to_string(self.requests.running())}});
    // The balancer needs time to notice before connections are refused.
    std::this_thread::sleep_for(self.settings.drain_notice);
    self.callers.stop_accepting();
    self.wait_for_running_requests();
    self.peers.leave(boot_now());
    log_change(log_level::info, "server", "stopped",
               {{"unfinished", std::to_string(self.requests.running())}});
    self.slow_timers.stop();
    self.timers.stop();
    self.configuration.stop();
    self.operators.stop();
    self.peer_http.stop();
    self.callers.stop();
}

} // namespace yuccabeam::daemon
