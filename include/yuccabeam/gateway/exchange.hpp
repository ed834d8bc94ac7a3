#pragma once

#include "yuccabeam/gateway/account_table.hpp"
#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/formats.hpp"
#include "yuccabeam/http1/client.hpp"
#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/placement/request_dispatch.hpp"
#include "yuccabeam/telemetry/event_log.hpp"
#include "yuccabeam/values/traffic.hpp"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace yuccabeam::gateway {

/// Dependencies that all exchanges of a daemon share.
struct exchange_dependencies {
    asio::any_io_executor executor;
    http1::client& targets;
    placement::target_table& target_table;
    telemetry::event_log& log;
    gateway::counters& counters;
    header_names const& headers;
    std::mt19937_64& random;
    /// This daemon's retry budget for a service.
    std::function<placement::retry_budget*(service_id const&)> budget;
    /// True if the budget allows one more retry at the service.
    std::function<bool(service_id const&, time_point)> may_retry;
    /// Publishes a notice on a target, if given, to all daemons. After a retry,
    /// also sends the requests for retry credit that are due.
    std::function<void(std::optional<placement::target_notice> const&,
                       service_id const&, bool retried)>
        publish_notice;
    /// Publishes this daemon's load at a target to its failure domain.
    std::function<void(placement::target_activity const&)> publish_activity;
    /// The account that holds the key in the configuration in force, or null.
    std::function<account_ptr(key_digest const&)> find_account{};
};

/// A caller's request and its route.
struct routed_request {
    http1::incoming_request request;
    http1::responder_ptr responder;
    yuccabeam::route route;
    revision policy_revision = 0;
    /// The configuration names accounts: the caller's credentials and what it
    /// says about its account are not passed on.
    bool hide_credentials = false;
    account_ptr account{};           ///< of the request's key
    std::optional<key_digest> key{}; ///< of the account
    /// Chosen for the request; empty: the exchange chooses it.
    std::optional<service_id> service{};
};

/// The request's id from its header, or an empty string.
std::string request_id_of(http1::incoming_request const& request,
                          header_names const& headers);

/// The route's service. One of several destinations is chosen at random by
/// weight.
service_id pick_service(route const& route, std::mt19937_64& random);
/// The earlier of the route's limit and the caller's, from the first byte.
time_point deadline_of(routed_request const& request,
                       header_names const& headers);

/// Serves one request: selects targets, sends the request, classifies the
/// results and responds to the caller.
void start_exchange(exchange_dependencies const& dependencies,
                    routed_request request);

} // namespace yuccabeam::gateway
