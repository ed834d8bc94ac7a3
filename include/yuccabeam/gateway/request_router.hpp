#pragma once

#include "yuccabeam/gateway/active_policy.hpp"
#include "yuccabeam/gateway/exchange.hpp"
#include "yuccabeam/gateway/pending_requests.hpp"

#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// Takes callers' requests: finds the route and starts the exchange, or
/// answers itself. Requests that come before the first configuration wait.
class request_router {
public:
    /// Both outlive the router.
    request_router(exchange_dependencies const& dependencies,
                   active_policy const& policies)
        : dependencies_(dependencies), policies_(policies) {}

    void serve(http1::incoming_request request, http1::responder_ptr caller);
    /// Serves what has waited once there are a configuration and targets.
    void serve_waiting();
    /// Refuses what has waited too long.
    void expire(time_point now);

private:
    void refuse_without_policy(pending_request const& held);
    void log_refusal(std::string const& id, std::string_view reason);

    exchange_dependencies const& dependencies_;
    active_policy const& policies_;
    pending_requests waiting_;
};

} // namespace yuccabeam::gateway
