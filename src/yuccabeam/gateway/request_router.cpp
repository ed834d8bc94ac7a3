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
    serve(pending_request{std::move(request), std::move(caller), boot_now()});
}

void request_router::serve(pending_request request) {
    if (closed_) {
        refuse_stopping(request.request, *request.caller);
        return;
    }
    if (policies_.empty() || !may_serve_()) {
        hold(std::move(request),
             policies_.empty() ? "held_for_policy" : "held_for_copy");
        return;
    }
    auto const& head = request.request.head;
    auto const host = http1::field_value(head.fields, "Host");
    auto const* route = policies_.routes().find(host, head.target);
    if (!route) {
        auto const id = request_id_of(request.request, dependencies_.headers);
        log_refusal(id, "no_route");
        request.caller->send(gateway_response(404, id, "no_route"));
        return;
    }
    start(std::move(request), *route);
}

void request_router::start(pending_request request, route const& route) {
    auto const& accounts = policies_.accounts();
    auto identity = authenticate(accounts, route, request.request.head.fields);
    bool const current =
        !accounts.required() || route.anonymous || checks_.accepts_keys();
    if (!identity.allowed && checks_.copy_is_current()) {
        refuse_unknown_key(request);
        return;
    }
    if (!identity.allowed || !current) {
        hold(std::move(request), "held_for_key");
        return;
    }
    routed_request routed{std::move(request.request),
                          std::move(request.caller),
                          route,
                          policies_.policy().revision,
                          accounts.required(),
                          std::move(identity.account),
                          identity.key};
    if (routed.account && routed.account->rank) {
        routed.route.rank = *routed.account->rank;
        routed.route.priority = priority_of_rank(routed.route.rank);
    }
    if (quotas_ != nullptr && routed.account && routed.account->rate > 0)
        ask_for_quota(std::move(routed));
    else
        start_admitted(std::move(routed));
}

void request_router::start_admitted(routed_request request) {
    if (admission_ != nullptr)
        admission_->start(std::move(request));
    else
        start_exchange(dependencies_, std::move(request));
}

// A caller that leaves while its request waits gives its place up.
void request_router::ask_for_quota(routed_request request) {
    auto const number = std::make_shared<std::optional<std::uint64_t>>();
    auto const held = std::make_shared<routed_request>(std::move(request));
    held->responder->on_disconnect([this, number] {
        if (*number)
            quotas_->cancel(**number);
    });
    *number = quotas_->acquire(
        held->account->id, boot_now(),
        [this, held](quota_result result, duration retry_after) {
            on_quota(std::move(*held), result, retry_after);
        });
}

void request_router::on_quota(routed_request request, quota_result result,
                              duration retry_after) {
    if (closed_) {
        refuse_stopping(request.request, *request.responder);
        return;
    }
    if (result == quota_result::granted) {
        start_admitted(std::move(request));
        return;
    }
    auto const id = request_id_of(request.request, dependencies_.headers);
    bool const exceeded = result == quota_result::exceeded;
    auto const* reason = exceeded ? "quota" : "quota_undecided";
    log_refusal(id, reason, request.account->id.value);
    if (exceeded)
        request.responder->send(over_quota_response(
            id, std::chrono::ceil<std::chrono::milliseconds>(retry_after)));
    else
        request.responder->send(
            not_run_response(id, reason, retry_after_unready));
}

void request_router::hold(pending_request request, std::string_view counter) {
    // A held request is looked at again in every tick.
    if (std::exchange(request.held_for, counter) != counter)
        dependencies_.counters.count(std::string(counter));
    if (auto refused = waiting_.add(std::move(request)))
        refuse_waiting(*refused);
}

void request_router::refuse_unknown_key(pending_request const& request) {
    auto const id = request_id_of(request.request, dependencies_.headers);
    log_refusal(id, unknown_key_reason);
    request.caller->send(unknown_key_response(id));
}

void request_router::serve_waiting() {
    if (policies_.empty() || dependencies_.target_table.size() == 0 ||
        !may_serve_())
        return;
    for (auto& held : waiting_.take_all())
        serve(std::move(held));
}

void request_router::expire(time_point now, bool store_reachable) {
    for (auto const& held : waiting_.take_expired(now, store_reachable))
        refuse_waiting(held);
}

void request_router::close() {
    closed_ = true;
    if (admission_ != nullptr)
        admission_->close();
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
    auto const* reason = policies_.empty() ? "no_policy"
                         : !may_serve_()   ? "unconfirmed_copy"
                                           : "unconfirmed_keys";
    log_refusal(id, reason);
    held.caller->send(not_run_response(id, reason, retry_after_unready));
}

void request_router::log_refusal(std::string const& id, std::string_view reason,
                                 std::string const& account) {
    dependencies_.counters.count("refused_" + std::string(reason));
    dependencies_.log.write(
        "request_ended",
        {{"id", id},
         {"outcome", "not_run"},
         {"reason", std::string(reason)},
         {"account", account},
         {"policy", std::to_string(policies_.policy().revision)}});
}

} // namespace yuccabeam::gateway
