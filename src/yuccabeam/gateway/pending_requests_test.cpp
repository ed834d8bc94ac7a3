#include "yuccabeam/gateway/pending_requests.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

pending_request request_named(std::string const& name, time_point since) {
    pending_request out;
    out.request.head.target = name;
    out.since = since;
    return out;
}

} // namespace

TEST_CASE("requests before the first configuration are kept and returned in "
          "order of arrival") {
    pending_requests pending;
    CHECK_FALSE(pending.add(request_named("/1", start)));
    CHECK_FALSE(pending.add(request_named("/2", start + 1ms)));
    auto const taken = pending.take_all();
    REQUIRE(taken.size() == 2);
    CHECK(taken[0].request.head.target == "/1");
    CHECK(taken[1].request.head.target == "/2");
    CHECK(pending.size() == 0);
}

TEST_CASE("a request expires after the maximum wait") {
    pending_requests pending({300ms, 100ms, 10});
    pending.add(request_named("/1", start));
    pending.add(request_named("/2", start + 60ms));
    CHECK(pending.take_expired(start + 299ms, true).empty());
    auto const expired = pending.take_expired(start + 300ms, true);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].request.head.target == "/1");
    CHECK(pending.take_expired(start + 360ms, true).size() == 1);
}

// Guards against callers that wait for a configuration which can't be read.
TEST_CASE("a request expires sooner while the store can't be reached") {
    pending_requests pending({300ms, 100ms, 10});
    pending.add(request_named("/1", start));
    CHECK(pending.take_expired(start + 99ms, false).empty());
    CHECK(pending.take_expired(start + 100ms, false).size() == 1);
}

TEST_CASE("the number of pending requests is bounded") {
    pending_requests pending({300ms, 100ms, 2});
    pending.add(request_named("/1", start));
    pending.add(request_named("/2", start));
    auto const refused = pending.add(request_named("/3", start));
    REQUIRE(refused);
    CHECK(refused->request.head.target == "/3");
    CHECK(pending.size() == 2);
}
