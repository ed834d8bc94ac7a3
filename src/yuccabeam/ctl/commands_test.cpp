#include "yuccabeam/ctl/commands.hpp"
#include "yuccabeam/ctl/settings.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

namespace yuccabeam::ctl {
namespace {

std::string example(std::string const& name) {
    std::ifstream file(std::string(YUCCABEAM_SOURCE_DIR) + "/examples/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> paths_of(std::vector<json_fault> const& faults) {
    std::vector<std::string> out;
    out.reserve(faults.size());
    for (auto const& fault : faults)
        out.push_back(fault.path);
    return out;
}

// Guards against a wrong register or rules file that is taken over in part,
// or whose fault is reported at another place.
TEST_CASE("faults of a file are reported with their paths") {
    struct row {
        char const* name;
        char const* text;
        std::vector<std::string> paths;
    };
    row const rows[] = {
        {"not JSON", "{", {""}},
        {"a list", "[]", {""}},
        {"no known field", "{}", {""}},
        {"misspelt list", R"({"policy":"detect_fast","route":[]})", {"/route"}},
        {"unknown policy", R"({"policy":"fast"})", {"/policy"}},
        {"service named twice",
         R"({"services":[{"id":"s","floor_slots":0},
                         {"id":"s","floor_slots":1}]})",
         {"/services/1/id"}},
        {"route and account named twice",
         R"({"routes":[{"id":"r","path_prefix":"/a","service":"s"},
                       {"id":"r","path_prefix":"/b","service":"s"}],
             "accounts":[{"id":"a"},{"id":"a"}]})",
         {"/routes/1/id", "/accounts/1/id"}},
        {"two faults in one register",
         R"({"services":[{"id":"s"}],"targets":[{"id":"t","service":"s",
             "failure_domain":"d","address":"host:1"}]})",
         {"/services/0/floor_slots", "/targets/0/address"}},
        {"path without slash",
         R"({"routes":[{"id":"r","path_prefix":"a","service":"s"}]})",
         {"/routes/0/path_prefix"}},
        {"account weight of zero",
         R"({"accounts":[{"id":"a","weight":0}]})",
         {"/accounts/0/weight"}},
        {"file of show without revision", R"({"rules":{}})", {"/revision"}},
        {"fault inside a file of show",
         R"({"revision":3,"register":{"services":[{"id":"s","floor_slots":0},
             {"id":"s","floor_slots":0}]}})",
         {"/register/services/1/id"}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        std::vector<json_fault> faults;
        CHECK(!parse_items(row.text, faults));
        CHECK(paths_of(faults) == row.paths);
    }
}

// Guards against settings that are wrong and yet used.
TEST_CASE("faults of the settings are reported with their paths") {
    struct row {
        char const* text;
        std::vector<std::string> paths;
    };
    row const rows[] = {
        {"", {""}},
        {"{}", {"/author", "/store"}},
        {R"({"author":"a","store":"store.example:1"})", {"/store"}},
        {R"({"author":"a","store":"127.0.0.1:1","timeout_ms":0})",
         {"/timeout_ms"}},
        {R"({"author":"a","store":"127.0.0.1:1","time_out_ms":9})",
         {"/time_out_ms"}},
        {R"({"author":"a","store":"127.0.0.1:1","daemons":[{}]})",
         {"/daemons/0/operator_rpc"}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.text);
        auto const parsed = parse_settings(row.text);
        REQUIRE(std::holds_alternative<std::vector<json_fault>>(parsed));
        CHECK(paths_of(std::get<std::vector<json_fault>>(parsed)) == row.paths);
    }
}

// Guards against examples that no longer fit the program or the workloads
// of the design page.
TEST_CASE("the example files are valid and have the workloads' sizes") {
    CHECK(
        std::holds_alternative<settings>(parse_settings(example("ctl.json"))));
    struct row {
        std::string name;
        std::size_t domains;
        std::map<std::string, std::size_t> targets;
        ejection_policy policy;
    };
    row const rows[] = {
        {"ga-central",
         3,
         {{"stock", 7}, {"orders", 15}, {"catalog", 6}},
         ejection_policy::detect_fast},
        {"ee-south",
         4,
         {{"balances", 10}, {"ledger", 15}, {"statements", 8}},
         ejection_policy::eject_carefully},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        std::vector<json_fault> faults;
        wanted_items all;
        for (auto const* file : {"/register.json", "/rules.json"}) {
            auto part = parse_items(example(row.name + file), faults);
            CAPTURE(yuccabeam::describe(faults));
            REQUIRE(part);
            add(std::move(*part), all, faults);
        }
        CHECK(faults.empty());
        CHECK(config::check(all.items).empty());
        auto const whole = config::assemble(all.items, 1);
        CHECK(whole.asset_register.failure_domains.size() == row.domains);
        CHECK(whole.rules.policy == row.policy);
        std::map<std::string, std::size_t> targets;
        for (auto const& target : whole.asset_register.targets)
            ++targets[target.service.value];
        CHECK(targets == row.targets);
    }
}

} // namespace
} // namespace yuccabeam::ctl
