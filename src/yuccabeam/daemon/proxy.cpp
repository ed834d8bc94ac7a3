#include "yuccabeam/daemon/proxy.hpp"

#include "exchange.hpp"
#include "relay.hpp"
#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/daemon/http_rules.hpp"

#include <nlohmann/json.hpp>
#include <random>

namespace yuccabeam::daemon {

namespace {

// Own endpoints below this path are never forwarded.
constexpr std::string_view own_path = "/.yuccabeam/";

adapters::http_reply ran_before_reply(std::string_view id, int status) {
    nlohmann::json const body = {
        {"request_id", id},
        {"outcome", "already-ran"},
        {"previous_status", status},
        {"reason", "this ticket's request ran before"}};
    auto reply = adapters::json_reply(409, body.dump());
    reply.fields.push_back({"Yuccabeam-Outcome", "already-ran"});
    reply.fields.push_back({"Yuccabeam-Request-Id", std::string(id)});
    return reply;
}

} // namespace

/// A request that has a route.
struct proxy::admitted {
    routing_state_ptr state;
    yuccabeam::route const* route;
    adapters::http_request request;
    adapters::http_responder_ptr responder;
};

proxy::proxy(proxy_options options, adapters::metrics& metrics)
    : options_(std::move(options)), metrics_(metrics),
      tickets_(std::make_shared<tickets>(
          options_.self.id, options_.self.incarnation, options_.shared_key)),
      request_id_prefix_(options_.self.id.value + "-" +
                         std::to_string(options_.self.incarnation) + "-") {
    if (options_.claims)
        claims_ = std::make_unique<key_claims>(
            options_.self.id, options_.self.incarnation, options_.claims,
            adapters::boot_now());
}

routing_state_ptr proxy::state() const {
    std::lock_guard lock(state_mutex_);
    return state_;
}

std::string proxy::next_request_id() {
    return request_id_prefix_ + std::to_string(++requests_);
}

void proxy::apply(snapshot_ptr configuration) {
    auto next = std::make_shared<routing_state>();
    next->routes = routing::route_table(configuration->rules.routes);
    auto const old = state();
    auto const now = adapters::boot_now();
    for (auto const& service : configuration->asset_register.services) {
        auto& pool = next->pools[service.id];
        if (old && old->pools.contains(service.id)) {
            pool = old->pools.at(service.id);
            pool->configure(*configuration, now);
        } else {
            pool = std::make_shared<service_pool>(options_.self, *configuration,
                                                  service.id,
                                                  std::random_device{}(), now);
        }
    }
    for (auto const& account : configuration->rules.accounts)
        next->account_weights[account.id] = account.weight;
    next->configuration = std::move(configuration);
    std::lock_guard lock(state_mutex_);
    state_ = std::move(next);
}

// Answers requests that can't be forwarded; returns the others.
std::optional<proxy::admitted>
proxy::admit(adapters::http_request& request,
             adapters::http_responder_ptr& responder) {
    auto refuse = [&](int status, std::string_view reason) {
        responder->send(
            fault_reply(status, next_request_id(), "not-run", reason));
        return std::nullopt;
    };
    if (auto const reason = malformed(request); !reason.empty())
        return refuse(400, reason);
    if (request.target.starts_with(own_path))
        return refuse(404, "there is no such endpoint");
    auto current = state();
    if (!current)
        return refuse(503, "this daemon has no configuration yet");
    auto const* route = current->routes.find(
        adapters::field_value(request.fields, "Host"), path_of(request.target));
    if (!route)
        return refuse(404, "no route matches host and path");
    return admitted{std::move(current), route, std::move(request),
                    std::move(responder)};
}

void proxy::handle(adapters::http_request request,
                   adapters::http_responder_ptr responder) {
    if (request.target == "/.yuccabeam/ready") {
        responder->send(adapters::json_reply(ready_ ? 200 : 503,
                                             ready_ ? R"({"ready":true})"
                                                    : R"({"ready":false})"));
        return;
    }
    if (request.target == "/.yuccabeam/tickets" && request.method == "POST") {
        nlohmann::json const body = {{"ticket", tickets_->issue()}};
        responder->send(adapters::json_reply(200, body.dump()));
        return;
    }
    auto admitted = admit(request, responder);
    if (!admitted)
        return;
    std::string const key(
        adapters::field_value(admitted->request.fields, "Idempotency-Key"));
    if (key.empty() ||
        is_idempotent(*admitted->route, admitted->request.method))
        run(std::move(*admitted), nullptr);
    else if (retry::looks_like_ticket(key))
        run_ticketed(std::move(*admitted), key, false);
    else
        run_claimed(std::move(*admitted), key);
}

void proxy::handle_relayed(adapters::http_request request,
                           adapters::http_responder_ptr responder) {
    auto admitted = admit(request, responder);
    if (!admitted)
        return;
    std::string const key(
        adapters::field_value(admitted->request.fields, "Idempotency-Key"));
    run_ticketed(std::move(*admitted), key, true);
}

void proxy::run(admitted request, run_guard_ptr guard) {
    std::make_shared<exchange>(
        *this, *request.state, *request.route, std::move(request.request),
        std::move(request.responder), std::move(guard), adapters::boot_now())
        ->start();
}

void proxy::run_ticketed(admitted request, std::string_view key, bool relayed) {
    auto refuse = [&](int status, std::string_view outcome,
                      std::string_view reason) {
        request.responder->send(
            fault_reply(status, next_request_id(), outcome, reason));
    };
    auto const ticket = tickets_->parse(key);
    if (!ticket)
        return refuse(400, "not-run", "the ticket is not valid");
    auto const owner = options_.find_daemon(ticket.value().owner);
    auto const known = owner ? std::optional(owner->incarnation) : std::nullopt;
    switch (retry::locate_ticket(ticket.value(), options_.self.id,
                                 options_.self.incarnation, known)) {
    case retry::ticket_location::lost:
        return refuse(409, "unknown",
                      "the daemon that issued the ticket is gone");
    case retry::ticket_location::remote:
        if (relayed)
            return refuse(409, "unknown",
                          "the ticket belongs to another daemon");
        return relay(std::move(request), owner->http_address);
    case retry::ticket_location::local:
        break;
    }
    auto used = tickets_->use(ticket.value());
    if (auto* guard = std::get_if<run_guard_ptr>(&used))
        return run(std::move(request), std::move(*guard));
    auto const answer = std::get<retry::ticket_answer>(used);
    if (answer.use == retry::ticket_use::already_ran)
        request.responder->send(
            ran_before_reply(next_request_id(), answer.status));
    else if (answer.use == retry::ticket_use::in_progress)
        refuse(409, "unknown", "the ticket's first use is still running");
    else
        refuse(409, "unknown", "the ticket was used before or is too old");
}

void proxy::run_claimed(admitted request, std::string_view key) {
    account_id const account{std::string(
        adapters::field_value(request.request.fields, "Yuccabeam-Account"))};
    auto shared = std::make_shared<admitted>(std::move(request));
    auto refuse = [this, shared](int status, std::string_view reason) {
        auto reply = fault_reply(status, next_request_id(), "unknown", reason);
        reply.fields.push_back({"Yuccabeam-Ticket", tickets_->issue()});
        shared->responder->send(std::move(reply));
    };
    if (!claims_)
        return refuse(503, "this daemon has no store for keys");
    auto decide = [this, shared, refuse](auto answer) {
        if (auto* guard = std::get_if<run_guard_ptr>(&answer))
            run(std::move(*shared), std::move(*guard));
        else if (std::get<claim_refusal>(answer) == claim_refusal::conflict)
            refuse(409, "another request has this key");
        else
            refuse(503, "the store can't tell whether a request with this "
                        "key ran; use the ticket for a new one");
    };
    claims_->claim(account, std::string(key), std::move(decide));
}

void proxy::relay(admitted request, std::string const& address) {
    relay_options options;
    options.address = address;
    options.shared_key = options_.shared_key;
    options.request_id = next_request_id();
    options.timeout =
        requested_timeout(request.request.fields, request.route->timeout);
    std::make_shared<relayed_request>(std::move(options), client_, running_,
                                      std::move(request.request),
                                      std::move(request.responder))
        ->start();
}

} // namespace yuccabeam::daemon
