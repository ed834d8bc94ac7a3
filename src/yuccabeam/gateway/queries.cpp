#include "yuccabeam/gateway/queries.hpp"

#include "yuccabeam/gateway/target_description.hpp"
#include "yuccabeam/values/json_reader.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace yuccabeam::gateway {

namespace {

using nlohmann::json;
using placement::target_snapshot;

// Codes of JSON-RPC 2.0.
constexpr int parse_error = -32700;
constexpr int invalid_request = -32600;
constexpr int method_not_found = -32601;

json data_of(target_snapshot const& snapshot, time_point now) {
    json out = {{"target", snapshot.target.value},
                {"service", snapshot.service.value},
                {"state", to_string(state_of(snapshot))},
                {"failing", snapshot.failing},
                {"in_flight", snapshot.in_flight}};
    if (snapshot.evidence) {
        out["reason"] = to_string(snapshot.evidence->kind);
        out["seen_here"] = snapshot.evidence->own;
        out["evidence_ms"] = to_milliseconds(now - snapshot.evidence->at);
    }
    return out;
}

json error_result(std::string const& text) {
    return {{"error", text}};
}

struct service_count {
    std::size_t known = 0;
    std::size_t in_use = 0;
};

json status(daemon_state const& state) {
    std::map<std::string, service_count> services;
    for (auto const& snapshot : state.targets) {
        auto& count = services[snapshot.service.value];
        ++count.known;
        count.in_use += state_of(snapshot) == target_state::in_use;
    }
    std::string text =
        "Daemon " + state.vm + " (" + state.failure_domain + ") is " +
        (state.stopping ? "stopping"
         : state.ready  ? "ready"
                        : "not ready") +
        ". " +
        (state.policy_revision == 0
             ? std::string("It waits for its first configuration")
             : "Configuration " + std::to_string(state.policy_revision) +
                   " is in force") +
        ", its copy of the store is at revision " +
        std::to_string(state.store_revision) + ", " +
        std::to_string(state.peers) + " other daemons are alive.\n";
    if (state.targets.empty())
        text += "  It knows no target.\n";
    json counts = json::object();
    for (auto const& [service, count] : services) {
        text += "  service " + service + ": " + std::to_string(count.in_use) +
                " of " + std::to_string(count.known) + " targets in use\n";
        counts[service] = {{"known", count.known}, {"in_use", count.in_use}};
    }
    return {{"text", text},
            {"data",
             {{"vm", state.vm},
              {"ready", state.ready},
              {"stopping", state.stopping},
              {"revision", state.policy_revision},
              {"store_revision", state.store_revision},
              {"peers", state.peers},
              {"services", counts}}}};
}

json explain_config(daemon_state const& state) {
    if (state.policy_revision == 0)
        return error_result("daemon " + state.vm +
                            " has no configuration yet; its copy of the store "
                            "is at revision " +
                            std::to_string(state.store_revision));
    return {{"text", "Configuration " + std::to_string(state.policy_revision) +
                         " with " + std::to_string(state.routes) +
                         " routes is in force at " + state.vm + " for " +
                         std::to_string(to_milliseconds(state.policy_age)) +
                         " ms.\n"},
            {"data",
             {{"revision", state.policy_revision},
              {"routes", state.routes},
              {"age_ms", to_milliseconds(state.policy_age)}}}};
}

json explain_target(daemon_state const& state, std::string const& id) {
    auto const found = std::ranges::find_if(
        state.targets, [&](target_snapshot const& snapshot) {
            return snapshot.target.value == id;
        });
    if (found == state.targets.end())
        return error_result("daemon " + state.vm + " knows no target " + id);
    return {{"text", describe_target(*found, state.now)},
            {"data", data_of(*found, state.now)}};
}

json explain_service(daemon_state const& state, std::string const& id) {
    std::string text;
    json targets = json::array();
    for (auto const& snapshot : state.targets) {
        if (snapshot.service.value != id)
            continue;
        text += describe_target(snapshot, state.now);
        targets.push_back(data_of(snapshot, state.now));
    }
    if (targets.empty())
        return error_result("daemon " + state.vm +
                            " knows no target of service " + id);
    return {{"text", text}, {"data", {{"service", id}, {"targets", targets}}}};
}

json error_answer(json const& id, int code, char const* message) {
    return {{"jsonrpc", "2.0"},
            {"id", id},
            {"error", {{"code", code}, {"message", message}}}};
}

std::optional<json> result_of(std::string const& method, std::string const& id,
                              daemon_state const& state) {
    if (method == "status")
        return status(state);
    if (method == "explain_config")
        return explain_config(state);
    if (method == "explain_target")
        return explain_target(state, id);
    if (method == "explain_service")
        return explain_service(state, id);
    if (method == "explain_request")
        return error_result("requests are explained from the logs: "
                            "yuccabeamctl logs explain " +
                            id + " FILE...");
    return std::nullopt;
}

json answer(json const& request, daemon_state const& state) {
    if (!request.is_object() || !request.contains("method") ||
        !request["method"].is_string())
        return error_answer(nullptr, invalid_request, "no method");
    auto const call = request.value("id", json());
    std::string id;
    if (auto const at = request.find("params");
        at != request.end() && at->is_object() && at->contains("id") &&
        (*at)["id"].is_string())
        id = (*at)["id"].get<std::string>();
    auto const result =
        result_of(request["method"].get<std::string>(), id, state);
    if (!result)
        return error_answer(call, method_not_found, "no such method");
    return {{"jsonrpc", "2.0"}, {"id", call}, {"result", *result}};
}

} // namespace

std::string answer_query(std::string_view request, daemon_state const& state) {
    std::vector<json_fault> faults;
    auto const document = parse_json(request, faults);
    return (document ? answer(*document, state)
                     : error_answer(nullptr, parse_error, "not JSON"))
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace yuccabeam::gateway
