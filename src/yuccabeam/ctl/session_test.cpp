#include "yuccabeam/ctl/session.hpp"

#include "yuccabeam/adapters/http_client.hpp"
#include "yuccabeam/adapters/operator_rpc.hpp"
#include "yuccabeam/standins/store_server.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace yuccabeam::ctl {
namespace {

using nlohmann::json;

/// A store of its own, and files in a directory of its own.
class operators {
public:
    operators() {
        std::filesystem::create_directories(directory_);
        REQUIRE(store_.start());
        used.author = "tester";
        used.store = "127.0.0.1:" + std::to_string(store_.port());
    }
    ~operators() { std::filesystem::remove_all(directory_); }
    operators(operators const&) = delete;
    operators& operator=(operators const&) = delete;

    std::string file(std::string const& name, json const& content) const {
        auto path = directory_ / name;
        std::ofstream(path) << content.dump();
        return path;
    }
    outcome run(std::string command, std::vector<std::string> arguments,
                std::optional<revision> base = {}) {
        return ctl::run(used, {std::move(command), std::move(arguments), base,
                               [this](auto const& id) { edit = id; }});
    }
    void control(json const& wanted) const {
        adapters::http_call call;
        call.method = "POST";
        call.url = "http://" + used.store + "/v1/control";
        call.body = wanted.dump();
        REQUIRE(adapters::perform(call).value().status == 200);
    }
    json shown() { return run("show", {}).data; }

    ctl::settings used;
    std::string edit;

private:
    std::filesystem::path directory_ =
        std::filesystem::temp_directory_path() /
        ("yuccabeam-ctl-" + std::to_string(getpid()));
    standins::store_server store_{{"127.0.0.1:0"}};
};

json accounts(std::vector<std::pair<std::string, int>> const& weights) {
    json out = {{"policy", "detect_fast"}, {"accounts", json::array()}};
    for (auto const& [id, weight] : weights)
        out["accounts"].push_back({{"id", id}, {"weight", weight}});
    return out;
}

// Guards against a command that takes over more or less than it says.
TEST_CASE("each command changes what it names and ends with its code") {
    operators ops;
    auto const first = ops.file("a.json", accounts({{"x", 1}, {"y", 1}}));
    auto const second = ops.file("b.json", accounts({{"x", 2}, {"z", 1}}));
    auto const wrong = ops.file("c.json", accounts({{"x", 1}, {"x", 1}}));
    struct row {
        std::string command;
        std::vector<std::string> arguments;
        exit_code code;
        std::vector<std::pair<std::string, int>> after;
    };
    row const rows[] = {
        {"diff", {first}, exit_code::done, {}},
        {"apply", {first}, exit_code::done, {{"x", 1}, {"y", 1}}},
        {"apply", {wrong}, exit_code::input_fault, {{"x", 1}, {"y", 1}}},
        {"apply",
         {first, second},
         exit_code::input_fault,
         {{"x", 1}, {"y", 1}}},
        {"import", {second}, exit_code::done, {{"x", 2}, {"y", 1}, {"z", 1}}},
        {"apply", {second}, exit_code::done, {{"x", 2}, {"z", 1}}},
        {"put",
         {first, "account/y"},
         exit_code::done,
         {{"x", 2}, {"y", 1}, {"z", 1}}},
        {"put",
         {first, "account/q"},
         exit_code::input_fault,
         {{"x", 2}, {"y", 1}, {"z", 1}}},
        {"delete", {"account/z"}, exit_code::done, {{"x", 2}, {"y", 1}}},
        {"delete", {"account/z"}, exit_code::input_fault, {{"x", 2}, {"y", 1}}},
        {"check", {wrong}, exit_code::input_fault, {{"x", 2}, {"y", 1}}},
        {"check", {second}, exit_code::done, {{"x", 2}, {"y", 1}}},
        {"apply", {"/nowhere"}, exit_code::input_fault, {{"x", 2}, {"y", 1}}},
        {"frob", {}, exit_code::input_fault, {{"x", 2}, {"y", 1}}},
        {"status", {}, exit_code::unreachable, {{"x", 2}, {"y", 1}}},
        {"explain",
         {"target", "t"},
         exit_code::unreachable,
         {{"x", 2}, {"y", 1}}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.command);
        auto const result = ops.run(row.command, row.arguments);
        CAPTURE(result.text);
        CHECK(result.code == row.code);
        CHECK(!(result.text.empty() && row.command != "status"));
        CHECK(ops.shown()["rules"]["accounts"] ==
              accounts(row.after)["accounts"]);
    }
}

// Guards against a file that silently takes back what another operator
// changed after it was made.
TEST_CASE("a file from an older revision conflicts with later changes") {
    operators ops;
    ops.run("apply", {ops.file("a.json", accounts({{"x", 1}, {"y", 1}}))});
    auto made_by_show = ops.shown();
    REQUIRE(
        ops.run("apply", {ops.file("b.json", accounts({{"x", 5}, {"y", 1}}))})
            .code == exit_code::done);
    made_by_show["rules"]["accounts"][1]["weight"] = 7;
    auto const merged = ops.run("apply", {ops.file("s.json", made_by_show)});
    CHECK(merged.code == exit_code::done);
    auto const now = accounts({{"x", 5}, {"y", 7}})["accounts"];
    CHECK(ops.shown()["rules"]["accounts"] == now);

    auto const mine = ops.file("m.json", accounts({{"x", 9}, {"y", 1}}));
    auto const result = ops.run("apply", {mine}, 1);
    CHECK(result.code == exit_code::conflict);
    CHECK(result.data["conflicts"][0]["in_force"]["weight"] == 5);
    CHECK(result.data["conflicts"][0]["yours"]["weight"] == 9);
    CHECK(ops.shown()["rules"]["accounts"] == now);
    CHECK(ops.run("apply", {mine}, 99).code == exit_code::input_fault);
}

// Guards against a lost reply that is reported as a failure, and against a
// settled answer that disagrees with what is in force.
TEST_CASE("lost replies and an unreachable store have their own codes") {
    operators ops;
    ops.run("apply", {ops.file("a.json", accounts({{"x", 1}}))});
    auto const next = ops.file("b.json", accounts({{"x", 2}}));
    ops.control({{"mode", "down"}});
    auto const down = ops.run("apply", {next});
    CHECK(down.code == exit_code::unreachable);
    CHECK(ops.run("show", {}).code == exit_code::unreachable);
    ops.control({{"mode", "up"}});
    CHECK(ops.shown()["revision"] == 1);

    // The chunks' and the head's replies are lost, and the read back too.
    ops.control({{"drop_replies", 3}});
    auto const result = ops.run("apply", {next});
    CHECK(result.code == exit_code::done);
    CHECK(ops.shown()["revision"] == 2);
    CHECK(ops.run("settle", {ops.edit}).data["revision"] == 2);
    CHECK(ops.run("settle", {"r2-00ff"}).code == exit_code::conflict);
    CHECK(ops.run("settle", {"nonsense"}).code == exit_code::input_fault);
    CHECK(ops.shown()["revision"] == 2);
}

// Guards against an answer of a daemon that is shown as a failure or the
// other way round, and against asking only a daemon that is down.
TEST_CASE("queries survive a daemon that does not answer") {
    operators ops;
    adapters::operator_rpc daemon(
        "127.0.0.1:0", [](auto const& method, auto const& id) -> std::string {
            if (id == "unknown")
                return R"({"error":"no such target"})";
            json const answer = {{"text", method + " " + id + "\n"},
                                 {"data", {{"id", id}}}};
            return answer.dump();
        });
    REQUIRE(daemon.start());
    ops.used.daemons = {"127.0.0.1:1",
                        "127.0.0.1:" + std::to_string(daemon.port())};
    CHECK(ops.run("explain", {"target", "t1"}).text == "explain_target t1\n");
    CHECK(ops.run("explain", {"config"}).text == "explain_config \n");
    CHECK(ops.run("explain", {"target", "unknown"}).code ==
          exit_code::input_fault);
    auto const status = ops.run("status", {});
    CHECK(status.code == exit_code::done);
    CHECK(status.text.find("does not answer") != std::string::npos);
    CHECK(status.data[0]["reached"] == false);
}

// Guards against showing one daemon's view as the fleet's, and against a
// request that is not found because another daemon served it.
TEST_CASE("all daemons are asked and equal views shown once") {
    operators ops;
    std::vector<std::unique_ptr<adapters::operator_rpc>> daemons;
    for (std::string const state : {"healthy", "suspect", "healthy"}) {
        daemons.push_back(std::make_unique<adapters::operator_rpc>(
            "127.0.0.1:0",
            [state](auto const& method, auto const&) -> std::string {
                if (method == "explain_request" && state == "healthy")
                    return R"({"error":"no such request"})";
                json const answer = {{"text", state + "\n"},
                                     {"data", {{"state", state}}}};
                return answer.dump();
            }));
        REQUIRE(daemons.back()->start());
        ops.used.daemons.push_back("127.0.0.1:" +
                                   std::to_string(daemons.back()->port()));
    }
    auto const target = ops.run("explain", {"target", "t1"});
    CHECK(target.data.size() == 2);
    CHECK(target.text.find("suspect") != std::string::npos);
    CHECK(ops.run("explain", {"request", "r1"}).text == "suspect\n");
}

} // namespace
} // namespace yuccabeam::ctl
