#include "yuccabeam/values/ip_address.hpp"

#include <doctest/doctest.h>

namespace yuccabeam {
namespace {

TEST_CASE("a numeric IP address with a port is parsed") {
    struct row {
        std::string text;
        std::string host;
        std::uint16_t port;
    };
    row const rows[] = {
        {"10.0.0.1:1", "10.0.0.1", 1},
        {"10.0.0.1:65535", "10.0.0.1", 65'535},
        {"0.0.0.0:80", "0.0.0.0", 80},
        {"[::1]:80", "::1", 80},
    };
    for (auto const& row : rows) {
        CAPTURE(row.text);
        auto const read = parse_ip_address(row.text);
        REQUIRE(read);
        CHECK(read->host == row.host);
        CHECK(read->port == row.port);
    }
    CHECK(parse_ip_address("0.0.0.0:80")->any_host);
    CHECK(parse_ip_address("[::]:80")->any_host);
    CHECK_FALSE(parse_ip_address("127.0.0.1:80")->any_host);
}

// Guards against truncating a port to 16 bits and against parsing an invalid
// host as 0.0.0.0: either would connect to a different process.
TEST_CASE("invalid addresses are rejected") {
    std::string const texts[] = {
        "",
        ":",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:65616",
        "10.0.0.1:-1",
        "10.0.0.1:+80",
        "10.0.0.1: 80",
        "10.0.0.1:80x",
        "10.0.0.1:80 ",
        "10.0.0.1:0x50",
        "10.0.0.1:99999999999999999999",
        "10.0.0.1:http",
        "10.0.0.256:80",
        "10.0.1:80",
        "host:80",
        "http://10.0.0.1:80",
        "::1:80",
        "[::1:80",
        "[]:80",
        "[10.0.0.1]:80",
        std::string("10.0.0.1\0x:80", 13),
        std::string("[::1\0]:80", 9),
    };
    for (auto const& text : texts) {
        CAPTURE(text);
        CHECK_FALSE(parse_ip_address(text));
    }
}

} // namespace
} // namespace yuccabeam
