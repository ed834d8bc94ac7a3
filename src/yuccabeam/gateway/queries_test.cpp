#include "yuccabeam/gateway/control_service.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr time_point now{1'000s};

placement::target_snapshot snapshot(std::string const& id) {
    placement::target_snapshot out;
    out.target = {id};
    out.service = {"svc"};
    out.in_flight = 2;
    out.failing = 0.03;
    return out;
}

daemon_state state() {
    daemon_state out;
    out.vm = "vm-1";
    out.failure_domain = "a";
    out.ready = true;
    out.policy_revision = 7;
    out.policy_age = 1'500ms;
    out.routes = 3;
    out.store_revision = 42;
    out.peers = 5;
    out.now = now;
    out.targets = {snapshot("t1"), snapshot("t2")};
    auto& second = out.targets[1];
    second.suspected = true;
    second.suspected_for = 900ms;
    second.failing = 0.8;
    second.evidence = {placement::notice_kind::failed, false, now - 400ms};
    return out;
}

json ask(std::string const& method, std::string const& id,
         daemon_state const& of) {
    json const request = {{"jsonrpc", "2.0"},
                          {"id", 1},
                          {"method", method},
                          {"params", {{"id", id}}}};
    return json::parse(answer_query(request.dump(), of));
}

} // namespace

// Guards against a response that omits the cause or contradicts the daemon's
// state.
TEST_CASE("operators' queries are answered in sentences and as data") {
    struct row {
        char const* method;
        char const* id;
        char const* part; ///< substring of the text
        char const* path; ///< JSON pointer into the data
        json value;
    };
    row const rows[] = {
        {"status", "", "Daemon vm-1 (a) is ready. Configuration 7", "/revision",
         7},
        {"status", "", "service svc: 1 of 2 targets in use",
         "/services/svc/in_use", 1},
        {"explain_config", "", "3 routes is in force at vm-1 for 1500 ms",
         "/age_ms", 1'500},
        {"explain_target", "t1",
         "is in use. Probability that it fails "
         "requests: 3%.",
         "/state", "in_use"},
        {"explain_target", "t2",
         "Last evidence, 400 ms ago, reported by another daemon: a request was "
         "reset",
         "/evidence_ms", 400},
        {"explain_service", "svc", "Target t2 of service svc is suspected",
         "/targets/1/state", "suspected"},
    };
    for (auto const& row : rows) {
        CAPTURE(row.method);
        CAPTURE(row.id);
        auto const result = ask(row.method, row.id, state())["result"];
        auto const text = result["text"].get<std::string>();
        CHECK_MESSAGE(text.find(row.part) != std::string::npos, text);
        CHECK(result["data"].at(json::json_pointer(row.path)) == row.value);
    }
}

TEST_CASE("each state of a target is reported by its name") {
    struct row {
        char const* state;
        void (*set)(placement::target_snapshot&);
    };
    row const rows[] = {
        {"vanished", [](auto& one) { one.vanished = one.leaving = true; }},
        {"replaced", [](auto& one) { one.replaced = one.leaving = true; }},
        {"leaving", [](auto& one) { one.leaving = one.suspected = true; }},
        {"unreachable", [](auto& one) { one.unreachable = true; }},
        {"suspected", [](auto& one) { one.suspected = true; }},
    };
    for (auto const& row : rows) {
        auto of = state();
        row.set(of.targets[0]);
        auto const data = ask("explain_target", "t1", of)["result"]["data"];
        CHECK(data["state"] == row.state);
    }
}

TEST_CASE("queries that can't be answered return an error") {
    daemon_state empty;
    empty.vm = "vm-1";
    CHECK(ask("explain_config", "", empty)["result"].contains("error"));
    CHECK(ask("explain_target", "t9", state())["result"].contains("error"));
    CHECK(ask("explain_service", "s9", state())["result"].contains("error"));
    CHECK(ask("explain_request", "r1", state())["result"]["error"]
              .get<std::string>()
              .find("logs explain r1") != std::string::npos);
    CHECK(ask("no_such_method", "", state())["error"]["code"] == -32601);
    for (auto const* text : {"", "{", "[]", R"({"method":1})", "\xff"})
        CHECK(json::parse(answer_query(text, state())).contains("error"));
}

// Guards against a query that crashes the daemon: its id is copied into the
// response, so a deeply nested one exhausts the stack.
TEST_CASE("a deeply nested query is rejected") {
    auto const query = R"({"method":"status","id":)" +
                       std::string(1'000'000, '[') +
                       std::string(1'000'000, ']') + "}";
    CHECK(json::parse(answer_query(query, state())).contains("error"));
}

// Guards against a daemon without a copy of the store that sends its peers an
// empty one.
TEST_CASE(
    "the control address serves peers, operators and metrics collectors") {
    counters const numbers;
    int refreshed = 0;
    std::string changes;
    control_service const service(
        {[&] { ++refreshed; }, numbers, [] { return state(); },
         [&](changes_request const& request) -> changes_answer {
             if (changes.empty())
                 return {{}, false, {"10.0.0.1:5", "10.0.0.2:5"}};
             return {changes + std::to_string(request.revision),
                     request.accepts_compressed};
         }});
    auto const answer = [&](std::string method, std::string target,
                            std::string body = {},
                            http1::http_fields fields = {}) {
        http1::incoming_request request;
        request.head.fields = std::move(fields);
        request.head.method = std::move(method);
        request.head.target = std::move(target);
        request.body = std::move(body);
        return service.answer(request);
    };
    auto const refused = answer("GET", "/fleet/changes?after=5");
    CHECK(refused.status == 503);
    CHECK(refused.body == "10.0.0.1:5\n10.0.0.2:5\n");
    changes = "after ";
    CHECK(answer("GET", "/fleet/changes?after=5").body == "after 5");
    CHECK(answer("GET", "/fleet/changes?after=5").status == 200);
    // A daemon of an earlier version decompresses nothing.
    auto const compressed = answer("GET", "/fleet/changes?after=5", {},
                                   {{"Accept-Encoding", "zstd"}});
    CHECK(compressed.body == "after 5");
    CHECK(http1::field_value(compressed.fields, "Content-Encoding") == "zstd");
    CHECK(http1::field_value(answer("GET", "/fleet/changes?after=5").fields,
                             "Content-Encoding") == "");
    CHECK(answer("GET", "/metrics").status == 200);
    CHECK(refreshed == 1);
    CHECK(answer("POST", "/", R"({"method":"status","id":1})")
              .body.find("vm-1") != std::string::npos);
    CHECK(answer("GET", "/").status == 404);
    CHECK(answer("GET", "/other").status == 404);
}
