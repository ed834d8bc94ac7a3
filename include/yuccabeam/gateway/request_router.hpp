#pragma once

#include "yuccabeam/gateway/active_policy.hpp"
#include "yuccabeam/gateway/admission.hpp"
#include "yuccabeam/gateway/exchange.hpp"
#include "yuccabeam/gateway/pending_requests.hpp"
#include "yuccabeam/gateway/quota_service.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace yuccabeam::gateway {

/// What a daemon knows of the age of its configuration, for checking keys.
struct key_checks {
    /// No newer configuration can have been in force for long, so that an
    /// unknown key is no account's.
    std::function<bool()> copy_is_current = [] { return true; };
    /// Keys of the configuration in force may still be accepted.
    std::function<bool()> accepts_keys = [] { return true; };
};

/// Routes callers' requests: starts an exchange on the matching route, or
/// responds itself if there is none. Requests that arrive before the first
/// configuration, or while the daemon's copy of the store has to be confirmed,
/// are queued, and after `close` all are refused. So are requests with an
/// unknown key while a newer configuration may know it.
class request_router {
public:
    /// The references must outlive the router. Requests are queued while
    /// `may_serve` returns false.
    request_router(
        exchange_dependencies const& dependencies,
        active_policy const& policies,
        std::function<bool()> may_serve = [] { return true; },
        key_checks checks = {}, quota_service* quotas = nullptr,
        admission* admission = nullptr)
        : dependencies_(dependencies), policies_(policies),
          may_serve_(std::move(may_serve)), checks_(std::move(checks)),
          quotas_(quotas), admission_(admission) {}

    void serve(http1::incoming_request request, http1::responder_ptr caller);
    /// Serves the queued requests once a configuration and targets are known
    /// and `may_serve` returns true.
    void serve_waiting();
    /// Refuses the queued requests that have waited too long.
    void expire(time_point now, bool store_reachable);
    /// Refuses the queued requests and all later ones, as this daemon stops.
    void close();

private:
    void serve(pending_request request);
    void hold(pending_request request, std::string_view counter);
    void start(pending_request request, route const& route);
    void start_admitted(routed_request request);
    void ask_for_quota(routed_request request);
    void on_quota(routed_request request, quota_result result,
                  duration retry_after);
    void refuse_unknown_key(pending_request const& request);
    void refuse_waiting(pending_request const& held);
    void refuse_stopping(http1::incoming_request const& request,
                         http1::responder& caller);
    void log_refusal(std::string const& id, std::string_view reason,
                     std::string const& account = {});

    exchange_dependencies const& dependencies_;
    active_policy const& policies_;
    std::function<bool()> may_serve_;
    key_checks checks_;
    quota_service* quotas_;
    admission* admission_;
    pending_requests waiting_;
    bool closed_ = false;
};

} // namespace yuccabeam::gateway
