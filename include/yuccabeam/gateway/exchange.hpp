#pragma once

#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/formats.hpp"
#include "yuccabeam/http1/client.hpp"
#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/placement/request_dispatch.hpp"
#include "yuccabeam/telemetry/event_log.hpp"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace yuccabeam::gateway {

/// What every exchange of a daemon uses.
struct exchange_dependencies {
    asio::any_io_executor executor;
    http1::client& targets;
    placement::target_table& book;
    telemetry::event_log& log;
    gateway::counters& counters;
    header_names const& headers;
    std::mt19937_64& random;
    /// This daemon's budget for repeats at a service.
    std::function<placement::retry_budget*(service_id const&)> budget;
    /// True when the budget allows one more repeat at the service.
    std::function<bool(service_id const&, time_point)> may_retry;
    /// Tells all daemons about a target; after a repeat, has the service's
    /// budget look for credit.
    std::function<void(std::optional<placement::target_notice> const&,
                       service_id const&, bool retried)>
        publish_notice;
    /// Tells the failure domain what this daemon has at a target.
    std::function<void(placement::target_activity const&)> publish_activity;
};

/// One caller's request with the route that it takes.
struct routed_request {
    http1::incoming_request request;
    http1::responder_ptr responder;
    yuccabeam::route route;
    revision policy_revision = 0;
};

/// Value of a request's header, or an empty text.
std::string request_id_of(http1::incoming_request const& request,
                          header_names const& headers);

/// Serves one request: picks targets, sends, judges answers and replies.
void start_exchange(exchange_dependencies const& dependencies,
                    routed_request request);

} // namespace yuccabeam::gateway
