#include "yuccabeam/gateway/quota_service.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

// Guards against a request that waits without end, as the configuration that
// removes the last quota also ends the work on waiting requests.
TEST_CASE("a request that waits for a token is concluded when the quotas end") {
    constexpr time_point start{100s};
    quota_service_options options;
    options.address = "127.0.0.1:1";
    quota_callbacks callbacks;
    callbacks.send = [](auto const&, auto const&) {};
    // The only pool is another daemon, which doesn't answer.
    callbacks.candidates = [](time_point) {
        return std::vector<relay_candidate>{{"127.0.0.1:2", 800}};
    };
    callbacks.quota_of = [](auto const&) { return limits::quota{1, 1}; };
    options.pools = 1;
    quota_service service(options, callbacks, start);
    service.set_active(true);
    std::optional<quota_result> result;
    service.acquire({"a"}, start,
                    [&](quota_result given, duration) { result = given; });
    REQUIRE(service.waiting() == 1);
    service.set_active(false);
    for (auto now = start; now <= start + options.max_wait; now += 50ms)
        service.tick(now);
    REQUIRE(result);
    CHECK(*result != quota_result::exceeded);
    CHECK(service.waiting() == 0);
}
