#pragma once

#include "yuccabeam/gateway/active_policy.hpp"
#include "yuccabeam/gateway/exchange.hpp"
#include "yuccabeam/gateway/pending_requests.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace yuccabeam::gateway {

/// Routes callers' requests: starts an exchange on the matching route, or
/// responds itself if there is none. Requests that arrive before the first
/// configuration, or while the daemon's copy of the store has to be confirmed,
/// are queued, and after `close` all are refused.
class request_router {
public:
    /// The references must outlive the router. Requests are queued while
    /// `may_serve` returns false.
    request_router(
        exchange_dependencies const& dependencies,
        active_policy const& policies,
        std::function<bool()> may_serve = [] { return true; })
        : dependencies_(dependencies), policies_(policies),
          may_serve_(std::move(may_serve)) {}

    void serve(http1::incoming_request request, http1::responder_ptr caller);
    /// Serves the queued requests once a configuration and targets are known
    /// and `may_serve` returns true.
    void serve_waiting();
    /// Refuses the queued requests that have waited too long.
    void expire(time_point now, bool store_reachable);
    /// Refuses the queued requests and all later ones, as this daemon stops.
    void close();

private:
    void refuse_waiting(pending_request const& held);
    void refuse_stopping(http1::incoming_request const& request,
                         http1::responder& caller);
    void log_refusal(std::string const& id, std::string_view reason);

    exchange_dependencies const& dependencies_;
    active_policy const& policies_;
    std::function<bool()> may_serve_;
    pending_requests waiting_;
    bool closed_ = false;
};

} // namespace yuccabeam::gateway
