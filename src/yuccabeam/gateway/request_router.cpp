#include "yuccabeam/gateway/request_router.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/gateway/responses.hpp"

#include <utility>

namespace yuccabeam::gateway {

namespace {

using adapters::boot_now;

constexpr std::chrono::milliseconds retry_after_unready{300};
// Another daemon can serve the request at once.
constexpr std::chrono::milliseconds retry_after_stopping{50};

} // namespace

void request_router::serve(http1::incoming_request request,
                           http1::responder_ptr caller) {
    if (closed_) {
        refuse_stopping(request, *caller);
        return;
    }
    if (policies_.empty() || !may_serve_()) {
        dependencies_.counters.count(policies_.empty() ? "held_for_policy"
                                                       : "held_for_copy");
        if (auto refused = waiting_.add(
                {std::move(request), std::move(caller), boot_now()}))
            refuse_waiting(*refused);
        return;
    }
    auto const host = http1::field_value(request.head.fields, "Host");
    auto const* route = policies_.routes().find(host, request.head.target);
    if (!route) {
        auto const id = request_id_of(request, dependencies_.headers);
        log_refusal(id, "no_route");
        caller->send(gateway_response(404, id, "no_route"));
        return;
    }
    start_exchange(dependencies_, {std::move(request), std::move(caller),
                                   *route, policies_.policy().revision});
}

void request_router::serve_waiting() {
    if (policies_.empty() || dependencies_.target_table.size() == 0 ||
        !may_serve_())
        return;
    for (auto& held : waiting_.take_all())
        serve(std::move(held.request), std::move(held.caller));
}

void request_router::expire(time_point now, bool store_reachable) {
    for (auto const& held : waiting_.take_expired(now, store_reachable))
        refuse_waiting(held);
}

void request_router::close() {
    closed_ = true;
    for (auto const& held : waiting_.take_all())
        refuse_stopping(held.request, *held.caller);
}

void request_router::refuse_stopping(http1::incoming_request const& request,
                                     http1::responder& caller) {
    auto const id = request_id_of(request, dependencies_.headers);
    log_refusal(id, "stopping");
    caller.send(not_run_response(id, "stopping", retry_after_stopping));
}

void request_router::refuse_waiting(pending_request const& held) {
    auto const id = request_id_of(held.request, dependencies_.headers);
    auto const* reason = policies_.empty() ? "no_policy" : "unconfirmed_copy";
    log_refusal(id, reason);
    held.caller->send(not_run_response(id, reason, retry_after_unready));
}

void request_router::log_refusal(std::string const& id,
                                 std::string_view reason) {
    dependencies_.counters.count("refused_" + std::string(reason));
    dependencies_.log.write(
        "request_ended",
        {{"id", id},
         {"outcome", "not_run"},
         {"reason", std::string(reason)},
         {"policy", std::to_string(policies_.policy().revision)}});
}

} // namespace yuccabeam::gateway
