#include "yuccabeam/gateway/admission.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/gateway/responses.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace yuccabeam::gateway {

namespace {

// Another daemon can serve the request at once.
constexpr std::chrono::milliseconds retry_after_stopping{50};

std::string_view reason_of(limits::drop_reason reason) {
    switch (reason) {
    case limits::drop_reason::cannot_finish:
        return "cannot_finish";
    case limits::drop_reason::queue_full:
        return "queue_full";
    case limits::drop_reason::waited_too_long:
        return "waited_too_long";
    }
    return "unknown";
}

account_id account_of(routed_request const& request) {
    return request.account ? request.account->id : account_id{};
}

std::string whole(double value) {
    return std::to_string(static_cast<long long>(value));
}

} // namespace

bool calls_for_admission(traffic_policy const& policy) {
    return policy.requires_account ||
           std::ranges::any_of(policy.routes, &route::large_requests);
}

admission::admission(exchange_dependencies const& dependencies,
                     std::function<double(service_id const&, time_point)> share,
                     placement::service_admission_options options,
                     std::function<time_point()> clock)
    : dependencies_(dependencies), share_(std::move(share)), options_(options),
      clock_(std::move(clock)), timer_(dependencies.executor) {}

admission::~admission() = default;

std::function<time_point()> admission::default_clock() {
    return [] { return adapters::boot_now(); };
}

placement::service_room admission::room_of(service_id const& service,
                                           time_point now) const {
    auto out = dependencies_.target_table.room(service, now);
    out.share = share_(service, now);
    return out;
}

admission::service_state& admission::state_of(service_id const& service) {
    return services_.try_emplace(service, options_).first->second;
}

void admission::start(routed_request request) {
    if (!active_) {
        start_exchange(dependencies_, std::move(request));
        return;
    }
    request.service = pick_service(request.route, dependencies_.random);
    auto const service = *request.service;
    auto const now = clock_();
    auto const room = room_of(service, now);
    auto& state = state_of(service);
    bool const before = state.short_of_room();
    auto const id = next_id_++;
    limits::queue_entry entry;
    entry.id = id;
    entry.account = account_of(request);
    entry.priority = request.route.priority;
    entry.deadline = deadline_of(request, dependencies_.headers);
    entry.service_time = room.service_time;
    held_.emplace(id, std::move(request));
    auto const actions = state.arrive(entry, room, now);
    log_change(service, state, room, before);
    apply(actions, state, room);
    auto const held = held_.find(id);
    if (held == held_.end())
        return;
    dependencies_.counters.count("admission_queued");
    held->second.responder->on_disconnect([this, id] {
        if (auto const gone = held_.extract(id))
            forget(gone.mapped(), id);
    });
    schedule_look();
}

void admission::forget(routed_request const& request, std::uint64_t id) {
    state_of(*request.service).cancel(id);
    dependencies_.counters.count("callers_gone");
    log_end(request, "caller_gone", "in_queue");
}

// An exchange that starts may report activity, and one that ends at once may
// bring the caller's next request, so nothing is kept over a start.
void admission::apply(std::vector<limits::queue_action> const& actions,
                      service_state const& state,
                      placement::service_room const& room) {
    auto const retry_after =
        std::chrono::ceil<std::chrono::milliseconds>(state.retry_after(room));
    for (auto const& action : actions) {
        auto const id = std::visit([](auto const& a) { return a.id; }, action);
        auto held = held_.extract(id);
        if (!held)
            continue;
        auto& request = held.mapped();
        if (auto const* drop = std::get_if<limits::drop_entry>(&action)) {
            auto const reason = reason_of(drop->reason);
            dependencies_.counters.count("admission_refused_" +
                                         std::string(reason));
            refuse(request, reason, retry_after);
        } else {
            start_exchange(dependencies_, std::move(request));
        }
    }
}

void admission::refuse(routed_request const& request, std::string_view reason,
                       std::chrono::milliseconds retry_after) {
    log_end(request, "not_run", reason);
    request.responder->send(
        not_run_response(request_id_of(request.request, dependencies_.headers),
                         reason, retry_after));
}

void admission::log_end(routed_request const& request, std::string_view outcome,
                        std::string_view reason) {
    dependencies_.log.write(
        "request_ended",
        {{"id", request_id_of(request.request, dependencies_.headers)},
         {"route", request.route.id.value},
         {"service", request.service->value},
         {"priority", std::string(to_string(request.route.priority))},
         {"account", account_of(request).value},
         {"outcome", std::string(outcome)},
         {"reason", std::string(reason)},
         {"policy", std::to_string(request.policy_revision)}});
}

void admission::look(service_id const& service, service_state& state) {
    auto const now = clock_();
    auto const room = room_of(service, now);
    bool const before = state.short_of_room();
    auto const actions = state.look(room, now);
    log_change(service, state, room, before);
    apply(actions, state, room);
}

void admission::look_at_all() {
    for (auto& [service, state] : services_)
        if (state.short_of_room())
            look(service, state);
    schedule_look();
}

void admission::schedule_look() {
    // Not started anew, as many requests would put the look off for ever.
    if (held_.empty() || std::exchange(look_scheduled_, true))
        return;
    timer_.start(options_.look_interval, [this] {
        look_scheduled_ = false;
        look_at_all();
    });
}

void admission::on_activity() {
    if (held_.empty() || std::exchange(look_posted_, true))
        return;
    asio::post(dependencies_.executor,
               [this, alive = std::weak_ptr<bool>(alive_)] {
                   if (alive.expired())
                       return;
                   look_posted_ = false;
                   look_at_all();
               });
}

void admission::tick() {
    for (auto& [service, state] : services_)
        if (state.short_of_room())
            look(service, state);
}

void admission::set_active(bool active) {
    active_ = active;
    if (active || services_.empty())
        return;
    auto const now = clock_();
    for (auto& [service, state] : services_)
        apply(state.release_all(now), state, room_of(service, now));
    services_.clear();
}

void admission::close() {
    for (auto& [id, held] : std::exchange(held_, {})) {
        state_of(*held.service).cancel(id);
        dependencies_.counters.count("admission_refused_stopping");
        refuse(held, "stopping", retry_after_stopping);
    }
}

void admission::log_change(service_id const& service,
                           service_state const& state,
                           placement::service_room const& room, bool before) {
    if (state.short_of_room() == before)
        return;
    dependencies_.log.write(before ? "service_has_room"
                                   : "service_short_of_room",
                            {{"service", service.value},
                             {"slots", whole(room.slots)},
                             {"in_flight", whole(room.in_flight)},
                             {"own", whole(room.own)},
                             {"share_percent", whole(room.share * 100)},
                             {"queued", std::to_string(state.queued())}});
}

} // namespace yuccabeam::gateway
