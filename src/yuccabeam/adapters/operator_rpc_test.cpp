#include "yuccabeam/adapters/operator_rpc.hpp"

#include <doctest/doctest.h>

namespace yuccabeam::adapters {
namespace {

// Guards against the C++14 client and server not understanding each other.
TEST_CASE("a query reaches the handler and its answer the client") {
    struct row {
        char const* method;
        char const* id;
        bool answered;
        char const* text;
    };
    row const rows[] = {
        {"status", "", true, "{\"seen\":\"status/\"}\n"},
        {"explain_target", "t1", true, "{\"seen\":\"explain_target/t1\"}\n"},
        {"explain_target", "", false, nullptr}, // the id is missing
        {"no_such_method", "", false, nullptr},
    };
    operator_rpc server("127.0.0.1:0", [](auto const& method, auto const& id) {
        return R"({"seen":")" + method + "/" + id + "\"}";
    });
    REQUIRE(server.start());
    auto const url = "http://127.0.0.1:" + std::to_string(server.port());
    for (auto const& row : rows) {
        CAPTURE(row.method);
        auto const result = call_json_rpc(url, row.method, row.id, 5'000);
        CHECK(result.answered == row.answered);
        if (row.text)
            CHECK(result.text == row.text);
    }
}

} // namespace
} // namespace yuccabeam::adapters
