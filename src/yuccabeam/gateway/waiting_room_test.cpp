#include "yuccabeam/gateway/waiting_room.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

waiting_request request_named(std::string const& name, time_point since) {
    waiting_request out;
    out.request.head.target = name;
    out.since = since;
    return out;
}

} // namespace

TEST_CASE("requests before the first configuration are served in order once "
          "it is there, not refused") {
    waiting_room room;
    CHECK_FALSE(room.add(request_named("/1", start)));
    CHECK_FALSE(room.add(request_named("/2", start + 1ms)));
    auto const taken = room.take_all();
    REQUIRE(taken.size() == 2);
    CHECK(taken[0].request.head.target == "/1");
    CHECK(taken[1].request.head.target == "/2");
    CHECK(room.size() == 0);
}

TEST_CASE("without a configuration nobody is kept waiting for long") {
    waiting_room room({100ms, 10});
    room.add(request_named("/1", start));
    room.add(request_named("/2", start + 60ms));
    CHECK(room.take_expired(start + 99ms).empty());
    auto const expired = room.take_expired(start + 100ms);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].request.head.target == "/1");
    CHECK(room.take_expired(start + 160ms).size() == 1);
}

TEST_CASE("a crowd of callers can't fill the memory") {
    waiting_room room({100ms, 2});
    room.add(request_named("/1", start));
    room.add(request_named("/2", start));
    auto const refused = room.add(request_named("/3", start));
    REQUIRE(refused);
    CHECK(refused->request.head.target == "/3");
    CHECK(room.size() == 2);
}
