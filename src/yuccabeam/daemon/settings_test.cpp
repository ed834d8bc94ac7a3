#include "yuccabeam/daemon/settings.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

namespace yuccabeam::daemon {
namespace {

nlohmann::json valid_settings() {
    std::ifstream file(YUCCABEAM_SOURCE_DIR "/examples/daemon.json");
    return nlohmann::json::parse(file);
}

std::vector<json_fault> faults_of(nlohmann::json const& document) {
    auto const parsed = parse_settings(document.dump());
    auto const* faults = std::get_if<std::vector<json_fault>>(&parsed);
    return faults ? *faults : std::vector<json_fault>{};
}

// Guards against an example that no longer works.
TEST_CASE("the example settings are valid") {
    CHECK(faults_of(valid_settings()).empty());
}

// Guards against a daemon that starts with settings it misunderstands.
TEST_CASE("each wrong setting is reported with its path") {
    struct row {
        char const* path;
        nlohmann::json value; // null: removed
    };
    row const rows[] = {
        {"/deployment", nullptr},   {"/daemon", 7},
        {"/failure_domain", ""},    {"/listen", "localhost:80"},
        {"/metrics", "127.0.0.1"},  {"/peer", "127.0.0.1:0"},
        {"/peer_http", nullptr},    {"/operator_rpc", "127.0.0.1:99999"},
        {"/store", true},           {"/vm_list", "[::1]"},
        {"/shared_key", "short"},   {"/threads", 0},
        {"/max_body_bytes", 1},     {"/drain_notice_ms", -1},
        {"/drain_limit_ms", "1 h"}, {"/log_level", "verbose"},
        {"/log_file", 3},           {"/unknown", 1},
    };
    nlohmann::json all_wrong = valid_settings();
    for (auto const& row : rows) {
        CAPTURE(row.path);
        auto document = valid_settings();
        std::string const name(row.path + 1);
        if (row.value.is_null()) {
            document.erase(name);
            all_wrong.erase(name);
        } else {
            document[name] = row.value;
            all_wrong[name] = row.value;
        }
        auto const faults = faults_of(document);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].path == row.path);
    }
    CHECK(faults_of(all_wrong).size() == std::size(rows));
}

// Guards against a crash or silence on text that is not JSON.
TEST_CASE("text that is not JSON is one fault") {
    for (auto const* text : {"", "{", "[]", "nul"}) {
        CAPTURE(text);
        auto const parsed = parse_settings(text);
        CHECK(std::holds_alternative<std::vector<json_fault>>(parsed));
    }
}

} // namespace
} // namespace yuccabeam::daemon
