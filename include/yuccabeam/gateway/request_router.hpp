#pragma once

#include "yuccabeam/gateway/active_policy.hpp"
#include "yuccabeam/gateway/exchange.hpp"
#include "yuccabeam/gateway/pending_requests.hpp"

#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// Routes callers' requests: starts an exchange on the matching route, or
/// responds itself if there is none. Requests that arrive before the first
/// configuration are queued, and after `close` all are refused.
class request_router {
public:
    /// Both arguments must outlive the router.
    request_router(exchange_dependencies const& dependencies,
                   active_policy const& policies)
        : dependencies_(dependencies), policies_(policies) {}

    void serve(http1::incoming_request request, http1::responder_ptr caller);
    /// Serves the queued requests once a configuration and targets are known.
    void serve_waiting();
    /// Refuses the queued requests that have waited too long.
    void expire(time_point now);
    /// Refuses the queued requests and all later ones, as this daemon stops.
    void close();

private:
    void refuse_without_policy(pending_request const& held);
    void refuse_stopping(http1::incoming_request const& request,
                         http1::responder& caller);
    void log_refusal(std::string const& id, std::string_view reason);

    exchange_dependencies const& dependencies_;
    active_policy const& policies_;
    pending_requests waiting_;
    bool closed_ = false;
};

} // namespace yuccabeam::gateway
