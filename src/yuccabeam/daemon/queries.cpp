#include "yuccabeam/daemon/queries.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/daemon/sentences.hpp"

#include <sstream>

namespace yuccabeam::daemon {

namespace {

using adapters::boot_now;
using nlohmann::json;

json answer(std::string text, json data) {
    return {{"text", std::move(text)}, {"data", std::move(data)}};
}

json not_found(std::string const& what) {
    return {{"error", "there is no " + what}};
}

std::string_view name_of(config::store_status status) {
    switch (status) {
    case config::store_status::not_asked:
        return "not-asked";
    case config::store_status::answered:
        return "reachable";
    case config::store_status::down:
        break;
    }
    return "down";
}

json data_of(health::explanation const& why, time_point now) {
    auto const& seen = why.fleet_evidence;
    return {{"target", why.target.value},
            {"state", health::to_string(why.status.state)},
            {"reason", health::to_string(why.status.reason)},
            {"since_ms", to_milliseconds(now - why.status.since)},
            {"weight", why.status.weight},
            {"scope", why.scope},
            {"arbiter", why.arbiter.value},
            {"rule", why.rule},
            {"change", why.change},
            {"relapses", why.relapses},
            {"hold_ms", why.hold_ms},
            {"fleet_evidence",
             {{"rule", seen.rule},
              {"kind", seen.kind},
              {"requests", seen.requests},
              {"bad", seen.bad},
              {"callers", seen.callers}}},
            {"local",
             {{"requests", why.local_requests},
              {"failures", why.local_failures},
              {"slow", why.local_slow}}},
            {"budget_slots", why.budget_slots},
            {"ejected_slots", why.ejected_slots},
            {"supporters", why.supporters},
            {"home_daemons", why.home_daemons}};
}

json data_of(pool_status const& status) {
    return {{"service", status.service.value},
            {"floor_slots", status.floor_slots},
            {"capacity_slots", status.capacity_slots},
            {"healthy_slots", status.healthy_slots},
            {"in_flight", status.in_flight},
            {"queued", status.queued},
            {"degraded", status.degraded},
            {"overloaded", status.overloaded},
            {"arbiter", status.arbiter.value}};
}

json data_of(membership::member const& member) {
    return {{"daemon", member.id.value},
            {"incarnation", member.incarnation},
            {"failure_domain", member.info.failure_domain.value},
            {"address", member.info.udp_address},
            {"ready", member.info.ready},
            {"suspected", member.status == membership::member_status::suspect}};
}

json data_of(logged_request const& request) {
    json attempts = json::array();
    for (auto const& attempt : request.attempts)
        attempts.push_back({{"target", attempt.target.value},
                            {"outcome", attempt.outcome},
                            {"after_ms", to_milliseconds(attempt.after)}});
    return {{"request", request.id},
            {"service", request.service.value},
            {"kind", request.kind.value},
            {"method", request.method},
            {"idempotent", request.idempotent},
            {"outcome", request.outcome},
            {"status", request.status},
            {"reason", request.reason},
            {"total_ms", to_milliseconds(request.total)},
            {"attempts", attempts}};
}

json status(query_sources const& from) {
    auto const now = boot_now();
    auto const ready = from.readiness();
    auto const applied = from.configuration.applied();
    auto const store = from.configuration.store();
    auto const traffic = from.peers.counters();
    json members = json::array();
    for (auto const& member : from.peers.live_members())
        members.push_back(data_of(member));
    json services = json::array();
    std::ostringstream text;
    text << "Daemon " << from.self.id.value << " in failure domain "
         << from.self.failure_domain.value << " is "
         << (from.requests.ready() ? "ready" : "not ready") << " ("
         << ready.reason << "). Revision in force: " << applied.revision
         << ". Store: " << name_of(store.status) << ". It sees "
         << members.size() << " live daemons, itself included.\n";
    if (auto const state = from.requests.state())
        for (auto const& [id, pool] : state->pools) {
            auto const one = pool->status(now);
            text << sentences_of(one);
            services.push_back(data_of(one));
        }
    return answer(text.str(),
                  {{"daemon", from.self.id.value},
                   {"incarnation", from.self.incarnation},
                   {"failure_domain", from.self.failure_domain.value},
                   {"ready", from.requests.ready()},
                   {"reason", ready.reason},
                   {"revision", applied.revision},
                   {"manifest", applied.manifest.value},
                   {"store", name_of(store.status)},
                   {"store_revision", store.head},
                   {"watches_store", from.configuration.watching()},
                   {"running_requests", from.requests.running()},
                   {"control_sent_bytes", traffic.sent_bytes},
                   {"control_received_bytes", traffic.received_bytes},
                   {"control_dropped", traffic.dropped},
                   {"members", members},
                   {"services", services}});
}

json explain_service(query_sources const& from, std::string const& id) {
    auto const state = from.requests.state();
    if (!state || !state->pools.contains({id}))
        return not_found("service " + id);
    auto const now = boot_now();
    auto const& pool = state->pools.at({id});
    auto const overview = pool->status(now);
    std::string text = sentences_of(overview);
    json targets = json::array();
    for (auto const& why : pool->explain(now)) {
        text += "\n" + sentences_of(why, now);
        targets.push_back(data_of(why, now));
    }
    auto data = data_of(overview);
    data["targets"] = std::move(targets);
    return answer(std::move(text), std::move(data));
}

json explain_target(query_sources const& from, std::string const& id) {
    auto const now = boot_now();
    if (auto const state = from.requests.state())
        for (auto const& [service, pool] : state->pools)
            for (auto const& why : pool->explain(now))
                if (why.target.value == id)
                    return answer(sentences_of(why, now), data_of(why, now));
    return not_found("target " + id);
}

json explain_config(query_sources const& from) {
    auto const applied = from.configuration.applied();
    auto const origin = from.configuration.origin();
    auto const store = from.configuration.store();
    auto const age = boot_now() - origin.applied;
    std::ostringstream text;
    if (applied.revision == 0)
        text << "No configuration is in force here yet.\n";
    else
        text << "Revision " << applied.revision << " is in force here for "
             << words_of(age) << ". It came from " << origin.source << ".\n";
    text << "The store is " << name_of(store.status);
    if (store.last_answer)
        text << " and last answered "
             << words_of(boot_now() - *store.last_answer)
             << " ago, with revision " << store.head;
    text << ". This daemon "
         << (from.configuration.watching()
                 ? "watches the store and tells other daemons.\n"
                 : "hears of new revisions from other daemons.\n");
    return answer(text.str(),
                  {{"revision", applied.revision},
                   {"manifest", applied.manifest.value},
                   {"source", origin.source},
                   {"in_force_ms", to_milliseconds(age)},
                   {"store", name_of(store.status)},
                   {"store_revision", store.head},
                   {"watches_store", from.configuration.watching()}});
}

json explain_request(query_sources const& from, std::string const& id) {
    auto const request = from.requests.log().find(id);
    if (!request)
        return not_found("request " + id +
                         " in this daemon's log; it may be too long ago");
    return answer(sentences_of(*request), data_of(*request));
}

} // namespace

json answer_query(query_sources const& sources, std::string const& method,
                  std::string const& id) {
    if (method == "status")
        return status(sources);
    if (method == "explain_service")
        return explain_service(sources, id);
    if (method == "explain_target")
        return explain_target(sources, id);
    if (method == "explain_config")
        return explain_config(sources);
    if (method == "explain_request")
        return explain_request(sources, id);
    return not_found("query " + method);
}

} // namespace yuccabeam::daemon
