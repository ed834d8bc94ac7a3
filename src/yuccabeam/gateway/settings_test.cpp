#include "yuccabeam/gateway/daemon_options.hpp"
#include "yuccabeam/gateway/program.hpp"
#include "yuccabeam/gateway/settings.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

nlohmann::json example() {
    std::ifstream file(std::string(YUCCABEAM_SOURCE_DIR) +
                       "/examples/gateway.json");
    std::stringstream text;
    text << file.rdbuf();
    return nlohmann::json::parse(text.str());
}

std::vector<std::string> fault_paths(nlohmann::json const& document) {
    auto const parsed = parse_settings(document.dump());
    std::vector<std::string> out;
    if (auto const* faults = std::get_if<std::vector<json_fault>>(&parsed))
        for (auto const& fault : *faults)
            out.push_back(fault.path);
    return out;
}

} // namespace

TEST_CASE("the gateway's example settings are parsed") {
    auto const parsed = parse_settings(example().dump());
    REQUIRE(std::holds_alternative<settings>(parsed));
    auto const& read = std::get<settings>(parsed);
    CHECK(read.vm == "entry-a-1");
    CHECK(read.grace == 6s);
    CHECK(read.failure_domains.size() == 3);
}

// Guards against the use of invalid settings, and against reporting only one
// error per start of the daemon.
TEST_CASE("every error in the gateway's settings is reported with its path") {
    struct row {
        char const* name;
        nlohmann::json patch; ///< JSON merge patch on the example
        std::vector<std::string> paths;
    };
    row const rows[] = {
        {"no name", {{"vm", nullptr}}, {"/vm"}},
        {"host name", {{"callers", "localhost:80"}}, {"/callers"}},
        {"unknown key", {{"grace", 5}}, {"/grace"}},
        {"negative time", {{"grace_s", -1}}, {"/grace_s"}},
        {"a target that never writes",
         {{"target_heartbeat_s", 0}},
         {"/target_heartbeat_s"}},
        {"ratio out of range", {{"repeat_ratio", 11}}, {"/repeat_ratio"}},
        {"wrong type", {{"seeds", 5}}, {"/seeds"}},
        {"two faults",
         {{"store", 7}, {"repeat_slack", "many"}},
         {"/store", "/repeat_slack"}},
        {"no memory", {{"memory_mb", 0}}, {"/memory_mb"}},
        {"no link", {{"link_mbps", 0}}, {"/link_mbps"}},
        {"no descriptors", {{"max_descriptors", 0}}, {"/max_descriptors"}},
        {"a flag that is a number", {{"new_fleet", 1}}, {"/new_fleet"}},
        {"a text for strict revocation",
         {{"strict_revocation", "yes"}},
         {"/strict_revocation"}},
        {"no time for a revocation",
         {{"revocation_limit_s", 0}},
         {"/revocation_limit_s"}},
        {"a window of a quota without time",
         {{"quota_window_s", 0}},
         {"/quota_window_s"}},
        {"a negative overshoot",
         {{"quota_overshoot", -0.1}},
         {"/quota_overshoot"}},
        {"a slack of another type", {{"quota_slack", "20"}}, {"/quota_slack"}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        auto document = example();
        document.merge_patch(row.patch);
        CHECK(fault_paths(document) == row.paths);
    }
}

// Guards against a setting that is read and not used, or read in another unit.
TEST_CASE("the settings of accounts have defaults and are parsed") {
    struct row {
        char const* what;
        nlohmann::json patch; ///< JSON merge patch on the example
        bool strict;
        std::chrono::milliseconds limit;
        limits::quota_bound quota;
    };
    row const rows[] = {
        {"the defaults, for keys that are left out",
         {{"strict_revocation", nullptr},
          {"revocation_limit_s", nullptr},
          {"quota_window_s", nullptr},
          {"quota_overshoot", nullptr},
          {"quota_slack", nullptr}},
         false,
         5s,
         {5s, 0.1, 20}},
        {"the example", nlohmann::json::object(), false, 5s, {5s, 0.1, 20}},
        {"other values",
         {{"strict_revocation", true},
          {"revocation_limit_s", 2.5},
          {"quota_window_s", 1.5},
          {"quota_overshoot", 0},
          {"quota_slack", 7}},
         true,
         2'500ms,
         {1'500ms, 0, 7}},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.what));
        auto document = example();
        document.merge_patch(row.patch);
        auto const parsed = parse_settings(document.dump());
        REQUIRE(std::holds_alternative<settings>(parsed));
        auto const& read = std::get<settings>(parsed);
        CHECK(read.strict_revocation == row.strict);
        CHECK(read.revocation_limit == row.limit);
        CHECK(read.quota == row.quota);
        CHECK(quota_service_options_of(read).quota.bound == row.quota);
    }
}

TEST_CASE("command line arguments are parsed and invalid ones are rejected") {
    struct row {
        std::vector<char const*> words;
        bool good;
        char const* path;
        bool check;
    };
    row const rows[] = {
        {{"p"}, true, "default", false},
        {{"p", "--check"}, true, "default", true},
        {{"p", "--settings", "f", "--check"}, true, "f", true},
        {{"p", "--settings"}, false, "", false},
        {{"p", "--chek"}, false, "", false},
        {{"p", "file"}, false, "", false},
        {{"p", "--check-policy"}, false, "", false},
        {{"p", "--in-force", "f"}, false, "", false},
        {{"p", "--check-policy", "p", "--in-force"}, false, "", false},
    };
    for (auto const& row : rows) {
        auto const read = parse_arguments(static_cast<int>(row.words.size()),
                                          row.words.data(), "default");
        REQUIRE(read.has_value() == row.good);
        if (read) {
            CHECK(read->settings_path == row.path);
            CHECK(read->check_only == row.check);
        }
    }
}

TEST_CASE("the files of a check of a configuration are parsed") {
    char const* const words[] = {"p", "--check-policy", "new", "--in-force",
                                 "old"};
    auto const read = parse_arguments(5, words, "default");
    REQUIRE(read);
    CHECK(read->policy_path == "new");
    CHECK(read->in_force_path == "old");
}

// Guards against a limit that holds for what the store says, and not for what a
// target itself says.
TEST_CASE("the limit for leaving targets is the same whoever says it") {
    settings given;
    given.leaving_limit = 700ms;
    auto const options = target_table_options_of(given);
    CHECK(options.leaving_limit == 700ms);
    CHECK(options.availability.leaving_limit == 700ms);
}

// Guards against more caller connections than descriptors or memory allow.
TEST_CASE("the limit of callers follows from descriptors and memory") {
    struct row {
        char const* what;
        double memory_mb;
        std::size_t descriptors;
        std::size_t of_system;
    };
    row const rows[] = {
        {"the smallest VM", 160, 4'100, 20'000},
        {"little memory", 16, 4'096, 20'000},
        {"a lower limit of the system", 1'000, 4'096, 1'024},
        {"hardly any descriptor", 16, 256, 10},
    };
    for (auto const& row : rows) {
        CAPTURE(row.what);
        settings given;
        given.memory_mb = row.memory_mb;
        given.max_descriptors = row.descriptors;
        auto const out = caller_options_of(given, row.of_system);
        CHECK(out.max_connections > 0);
        if (row.of_system > 200)
            CHECK(2 * out.max_connections + 200 <=
                  std::min(row.descriptors, row.of_system));
        CHECK(static_cast<double>(out.max_connections *
                                      http1::least_socket_bytes +
                                  out.socket_bytes) <= row.memory_mb * 1e6 / 4);
        CHECK(out.max_waiting >= 16);
        if (row.memory_mb >= 160)
            CHECK(out.max_waiting * http1::most_socket_bytes <=
                  row.memory_mb * 1e6 / 16);
    }
}
