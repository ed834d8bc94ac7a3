#include "yuccabeam/values/json_reader.hpp"
#include "yuccabeam/values/snapshot.hpp"

#include <doctest/doctest.h>

namespace yuccabeam {
namespace {

// Guards against a register fault that is accepted, or reported without its
// location in the document.
TEST_CASE("each fault in a register is reported with its path") {
    struct row {
        char const* name;
        char const* text;
        char const* path;
    };
    row const rows[] = {
        {"missing id", R"({"services":[{"floor_slots":1}]})", "/services/0/id"},
        {"wrong type", R"({"services":[{"id":"s","floor_slots":"1"}]})",
         "/services/0/floor_slots"},
        {"negative", R"({"services":[{"id":"s","floor_slots":-1}]})",
         "/services/0/floor_slots"},
        {"unknown field",
         R"({"services":[{"id":"s","floor_slots":0,"flor":1}]})",
         "/services/0/flor"},
        {"host name instead of IP",
         R"({"targets":[{"id":"t","service":"s","failure_domain":"d",
             "address":"db.example:80"}]})",
         "/targets/0/address"},
        {"port out of range",
         R"({"targets":[{"id":"t","service":"s","failure_domain":"d",
             "address":"127.0.0.1:70000"}]})",
         "/targets/0/address"},
        {"not an object", R"({"targets":[7]})", "/targets/0"},
        {"not an array", R"({"targets":{}})", "/targets"},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        std::vector<json_fault> faults;
        auto const document = parse_json(row.text, faults);
        REQUIRE(document);
        json_reader reader(*document, "", faults);
        parse_asset_register(reader);
        reader.finish();
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].path == row.path);
    }
}

// Guards against JSON from another writer that crashes the process.
TEST_CASE("excessive nesting and out-of-range numbers are faults") {
    auto const nested = [](std::size_t levels) {
        return std::string(levels, '[') + std::string(levels, ']');
    };
    struct row {
        char const* name;
        std::string text;
    };
    row const rows[] = {
        {"number beyond a double", R"({"services":1e400})"},
        {"negative number beyond a double", "-1e999"},
        {"100,000 levels", nested(100'000)},
        {"1,000,000 levels", nested(1'000'000)},
        {"1,000,000 unclosed levels", std::string(1'000'000, '[')},
        {"levels in a field", R"({"services":)" + nested(1'000'000) + "}"},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        std::vector<json_fault> faults;
        auto const document = parse_json(row.text, faults);
        // A fault serializes the invalid value, which recurses.
        if (document) {
            json_reader reader(*document, "", faults);
            parse_asset_register(reader);
        }
        CHECK_FALSE(document);
        CHECK(faults.size() == 1);
    }
}

TEST_CASE("brackets in strings do not count as nesting") {
    std::vector<json_fault> faults;
    CHECK(parse_json(R"({"a":")" + std::string(1'000, '[') + R"(\"{{","b":[]})",
                     faults));
    std::string flat = "[0";
    for (int i = 0; i < 1'000; ++i)
        flat += ",[]";
    CHECK(parse_json(flat + "]", faults));
    CHECK(faults.empty());
}

// Guards against a configuration that loses fields when it is stored and read
// back.
TEST_CASE("register and rules survive a round trip through JSON") {
    asset_register reg;
    reg.failure_domains = {{{"a"}}};
    reg.services = {{{"stock"}, 6}};
    reg.targets = {{{"t1"}, {"stock"}, {"a"}, "127.0.0.1:1", 6, 330}};
    rules rules;
    rules.policy = ejection_policy::detect_fast;
    rules.routes = {{{"r"},
                     "shop",
                     "/stock",
                     {"stock"},
                     priority::bulk,
                     idempotence::never,
                     std::chrono::milliseconds(7),
                     true}};
    rules.accounts = {{{"x"}, 3}};

    std::vector<json_fault> faults;
    nlohmann::json const reg_json = reg;
    json_reader reg_reader(reg_json, "", faults);
    CHECK(parse_asset_register(reg_reader) == reg);
    nlohmann::json const rules_json = rules;
    json_reader rules_reader(rules_json, "", faults);
    CHECK(parse_rules(rules_reader) == rules);
    CHECK(faults.empty());
    CHECK(check(reg, rules).empty());
}

// Guards against accepting an inconsistent configuration.
TEST_CASE("check reports every inconsistency") {
    asset_register reg;
    reg.failure_domains = {{{"a"}}};
    reg.services = {{{"stock"}, 13}};
    reg.targets = {{{"t1"}, {"stock"}, {"a"}, "127.0.0.1:1", 6, 330},
                   {{"t1"}, {"stok"}, {"b"}, "127.0.0.1:1", 6, 330}};
    rules rules;
    rules.routes = {{{"r"}, "", "/", {"order"}}, {{"q"}, "", "/", {"stock"}}};
    std::vector<std::string> paths;
    for (auto const& fault : check(reg, rules))
        paths.push_back(fault.path);
    CHECK(paths == std::vector<std::string>{
                       "/targets/1/id", "/targets/1/service",
                       "/targets/1/failure_domain", "/targets/1/address",
                       "/services/0/floor_slots", "/routes/0/service",
                       "/routes/1/path_prefix"});
}

} // namespace
} // namespace yuccabeam
