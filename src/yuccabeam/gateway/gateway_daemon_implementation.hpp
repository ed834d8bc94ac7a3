#pragma once

#include "yuccabeam/gateway/gateway_daemon.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/gateway/active_policy.hpp"
#include "yuccabeam/gateway/admission.hpp"
#include "yuccabeam/gateway/control_service.hpp"
#include "yuccabeam/gateway/copy_sharing.hpp"
#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/peer_link.hpp"
#include "yuccabeam/gateway/quota_service.hpp"
#include "yuccabeam/gateway/request_router.hpp"
#include "yuccabeam/gateway/service_budgets.hpp"
#include "yuccabeam/gateway/serving_gate.hpp"
#include "yuccabeam/gateway/store_sync.hpp"
#include "yuccabeam/gateway/target_entries.hpp"
#include "yuccabeam/gateway/usage_report.hpp"
#include "yuccabeam/net/one_shot_timer.hpp"
#include "yuccabeam/net/peer_transport.hpp"

#include <asio.hpp>
#include <random>

namespace yuccabeam::gateway {

using adapters::boot_now;

/// The parts of a daemon and what connects them. The member functions are
/// defined in gateway_daemon.cpp, and those on the store and the peers in
/// gateway_daemon_updates.cpp.
struct gateway_daemon::implementation
    : std::enable_shared_from_this<gateway_daemon::implementation> {
    implementation(asio::io_context& context,
                   yuccabeam::gateway::settings given_settings,
                   yuccabeam::gateway::formats given_formats);

    result<void> start();
    void begin_stop();

    // Store and configuration.
    store_sync_callbacks store_callbacks();
    bool should_watch(time_point now);
    void on_store_changed(mirror::store_changes const& changes,
                          bool from_store);
    void apply_targets(time_point now);
    void
    log_target_changes(std::vector<placement::target_change> const& changes,
                       time_point now);

    // Peers.
    peer_link_callbacks peer_callbacks();
    result<void> open_peer_transport();
    void fill_heartbeat(heartbeat& out);
    void on_heartbeat(heartbeat const& message, bool is_new);
    /// What a heartbeat says of the store's last answers.
    void apply_ages(heartbeat const& message, time_point now);
    bool on_peer_changes(change_message const& message);
    void log_peer(heartbeat const& message, time_point now);
    void publish_notice(std::optional<placement::target_notice> const& notice,
                        service_id const& service, bool retried);
    bool may_retry(service_id const& id, time_point now);
    void ask_for_credit(time_point now);
    void catch_up(time_point now);
    void log_caught_up(duration behind);
    void pull_from_seed(time_point now);

    // Requests.
    exchange_dependencies make_exchange_dependencies();
    key_checks make_key_checks();
    quota_callbacks make_quota_callbacks();
    /// This daemon's part of a service's requests, 0 to 1.
    double share_of(service_id const& service, time_point now);
    void answer_readiness(http1::incoming_request const& request,
                          http1::responder_ptr const& caller);

    // Control address.
    control_dependencies make_control_dependencies();
    changes_answer changes_for(changes_request const& request);
    daemon_state state(time_point now) const;

    // Startup, readiness and shutdown.
    result<void> listen();
    bool ready() const;
    bool accepts_requests(time_point now) const;
    bool may_serve(time_point now) const;
    void log_readiness_change();
    void schedule_tick();
    void record_loop_delay(duration delay);
    void on_tick(time_point now);
    void update_fleet_rates(time_point now);
    void check_stop(time_point now);

    asio::io_context& context;
    yuccabeam::gateway::settings settings;
    yuccabeam::gateway::formats formats;
    telemetry::event_log log;
    yuccabeam::gateway::counters counters;
    std::mt19937_64 random;

    std::shared_ptr<http1::memory_budget> memory; ///< of message bodies
    http1::client targets;
    http1::client control_client;
    placement::target_table target_table;
    target_entries target_list;
    service_budgets budgets;
    peer_link peers;
    quota_service quotas;
    std::unique_ptr<net::peer_transport> peer_transport;
    std::shared_ptr<store_sync> store;
    exchange_dependencies dependencies;
    admission admitted;
    std::unique_ptr<http1::server> callers;
    std::unique_ptr<http1::server> readiness;
    std::unique_ptr<http1::server> control;
    net::one_shot_timer ticker;
    time_point last_tick{};
    time_point next_rate_update{};
    double live_daemons = 1;     ///< as of the last update of the rates
    std::size_t peers_heard = 0; ///< since the last line about them
    time_point next_peer_line{};
    bool watch_decision = true;
    time_point next_watch_decision{};
    usage_report usage;

    /// The compressed changes that a peer was sent last.
    struct encoded_changes {
        std::uint64_t from = 0; ///< revisions
        std::uint64_t to = 0;
        std::string body{};
    };
    encoded_changes last_encoded;
    copy_sharing sharing;

    active_policy policies;
    serving_gate gate;
    request_router router;
    bool was_ready = false;
    std::optional<time_point> stopping_since;
    bool announced_store_call_failure = false;
    std::optional<time_point> behind_since;
};

} // namespace yuccabeam::gateway
