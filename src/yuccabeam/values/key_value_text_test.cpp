#include "yuccabeam/values/key_value_text.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;

// Guards against log lines that the parser splits differently from how the
// writer joined them.
TEST_CASE("key=value lines survive a round trip") {
    for (auto const* value : {"plain", "", "two words", "a=b", "say \"no\"",
                              "back\\slash and space", "10.0.0.1:80"}) {
        auto const line = std::string("time=1 text=") + quoted_value(value) +
                          " last=" + quoted_value("x");
        CAPTURE(line);
        auto const read = parse_key_values(line);
        REQUIRE(read);
        REQUIRE(read->size() == 3);
        CHECK((*read)[1].second == value);
        CHECK((*read)[2].second == "x");
    }
}

TEST_CASE("malformed lines are rejected") {
    for (auto const* line :
         {"no pairs", "=x", "a=\"open", "a=\"b\"c", "a b=c", "{\"a\":1}"}) {
        CAPTURE(line);
        CHECK_FALSE(parse_key_values(line));
    }
}
