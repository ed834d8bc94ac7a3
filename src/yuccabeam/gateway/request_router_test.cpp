#include "yuccabeam/gateway/request_router.hpp"

#include "exchange_fixture.hpp"
#include "yuccabeam/gateway/drain.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

// A router with one target.
struct fixture : exchange_environment {
    content_format format;
    active_policy policies{format, log, counters};
    request_router router{dependencies, policies};

    fixture() {
        format.policy_key = "config";
        format.policy = [](std::string const&) -> result<traffic_policy> {
            traffic_policy out;
            out.revision = 1;
            route all;
            all.host = "h";
            all.path_prefix = "/";
            all.service = {"svc"};
            all.timeout = 30s;
            out.routes = {all};
            return out;
        };
        discovered_target target;
        target.target = {{"t"}, {"svc"}, {"a"}, "127.0.0.1:1"};
        target_table.replace({target}, time_point{});
    }

    void configure() {
        mirror::store_mirror store;
        store.replace({{"config", "1", 1}}, 1);
        policies.update(store, time_point{});
    }

    static http1::incoming_request request() {
        http1::incoming_request out;
        out.head.method = "POST";
        out.head.target = "/x";
        out.head.fields = {{"Host", "h"}, {"Id", "r1"}};
        out.first_byte = time_point{} + 1'000'000h;
        return out;
    }

    std::shared_ptr<recording_responder> serve() {
        auto out = std::make_shared<recording_responder>();
        router.serve(request(), out);
        return out;
    }
};

bool promises_not_run(recording_responder const& caller) {
    return caller.sent && caller.sent->status == 503 &&
           !http1::field_value(caller.sent->fields, "Retry-After").empty();
}

} // namespace

// Guards against a request that is read late in the grace, passed on, and cut
// without an answer at its end.
TEST_CASE("a request that can't end before the kill is refused and not passed "
          "on") {
    fixture f;
    f.configure();
    f.serve();
    REQUIRE(f.activities_reported == 1);
    f.router.close();
    auto const late = f.serve();
    CHECK(promises_not_run(*late));
    CHECK(f.activities_reported == 1);
}

// Guards against a queued request that gets no answer when its daemon stops.
TEST_CASE("requests that wait for the first configuration are refused when the "
          "daemon stops") {
    fixture f;
    auto const held = f.serve();
    CHECK_FALSE(held->sent);
    f.router.close();
    CHECK(promises_not_run(*held));
    f.configure();
    f.router.serve_waiting();
    CHECK(held->sends == 1);
    CHECK(f.activities_reported == 0);
}

// Guards against a resumed process that passes requests on by an old copy.
TEST_CASE("requests wait while the copy of the store has to be confirmed") {
    fixture f;
    f.configure();
    bool confirmed = false;
    request_router router(f.dependencies, f.policies,
                          [&confirmed] { return confirmed; });
    auto const caller = std::make_shared<recording_responder>();
    router.serve(f.request(), caller);
    router.serve_waiting();
    CHECK(f.activities_reported == 0);
    confirmed = true;
    router.serve_waiting();
    CHECK(f.activities_reported == 1);
}

// Guards against a limit for new requests that leaves no time to end them.
TEST_CASE("requests are accepted while the load balancer may send them, and "
          "not later than half of the grace") {
    drain_options const options;
    CHECK(accepts_requests(0s, options));
    CHECK(accepts_requests(2'700ms, options));
    CHECK_FALSE(accepts_requests(options.grace / 2, options));
}
