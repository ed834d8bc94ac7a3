#pragma once

#include "yuccabeam/adapters/http_server.hpp"
#include "yuccabeam/adapters/metrics.hpp"
#include "yuccabeam/adapters/target_client.hpp"
#include "yuccabeam/daemon/key_claims.hpp"
#include "yuccabeam/daemon/request_log.hpp"
#include "yuccabeam/daemon/service_pool.hpp"
#include "yuccabeam/daemon/tickets.hpp"
#include "yuccabeam/routing/route_table.hpp"
#include "yuccabeam/values/snapshot.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::daemon {

using service_pool_ptr = std::shared_ptr<service_pool>;

/// What requests need from one configuration; replaced as a whole.
struct routing_state {
    snapshot_ptr configuration;
    routing::route_table routes;
    std::map<service_id, service_pool_ptr> pools;
    std::map<account_id, std::uint32_t> account_weights;
};

using routing_state_ptr = std::shared_ptr<routing_state const>;

/// A live daemon that owns tickets.
struct ticket_owner {
    yuccabeam::incarnation incarnation = 0;
    std::string http_address; ///< takes relayed requests
};

struct proxy_options {
    health::observer_identity self;
    std::string shared_key; ///< authenticates tickets and relayed requests
    /// Looks up another live daemon.
    std::function<std::optional<ticket_owner>(daemon_id const&)> find_daemon;
    std::shared_ptr<claim_store> claims; ///< null: free keys are refused
};

/// Serves callers' requests.
class proxy {
public:
    proxy(proxy_options options, adapters::metrics& metrics);

    /// Puts a configuration in force for requests that arrive from now on.
    /// Services that stay keep their pool.
    void apply(snapshot_ptr configuration);

    void handle(adapters::http_request request,
                adapters::http_responder_ptr responder);

    /// Takes a ticketed request from another daemon.
    void handle_relayed(adapters::http_request request,
                        adapters::http_responder_ptr responder);

    /// Requests that have not been answered in full.
    std::uint64_t running() const { return running_; }

    /// Configuration in force; null before the first one.
    routing_state_ptr state() const;

    /// Result of `GET /.yuccabeam/ready`.
    void set_ready(bool ready) { ready_ = ready; }
    bool ready() const { return ready_; }

    adapters::target_client& client() { return client_; }
    request_log const& log() const { return log_; }
    /// Null when free keys are refused.
    key_claims* claims() { return claims_.get(); }

private:
    friend class exchange;

    struct admitted;

    std::string next_request_id();
    std::optional<admitted> admit(adapters::http_request& request,
                                  adapters::http_responder_ptr& responder);
    void run(admitted request, run_guard_ptr guard);
    void run_ticketed(admitted request, std::string_view key, bool relayed);
    void run_claimed(admitted request, std::string_view key);
    void relay(admitted request, std::string const& address);

    proxy_options options_;
    adapters::metrics& metrics_;
    request_log log_;
    std::shared_ptr<tickets> tickets_;
    mutable std::mutex state_mutex_;
    routing_state_ptr state_;
    std::atomic<std::uint64_t> running_{0};
    std::atomic<std::uint64_t> requests_{0};
    std::atomic<bool> ready_{false};
    std::string request_id_prefix_;
    // Last, so that their threads end before the rest goes away.
    adapters::target_client client_;
    std::unique_ptr<key_claims> claims_;
};

} // namespace yuccabeam::daemon
