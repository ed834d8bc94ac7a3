#include "yuccabeam/gateway/request_router.hpp"

#include "exchange_fixture.hpp"
#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/gateway/drain.hpp"

#include <doctest/doctest.h>
#include <sstream>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

// A router with one target.
struct fixture : exchange_environment {
    content_format format;
    active_policy policies{format, log, counters};
    bool copy_is_current = true;
    bool accepts_keys = true;
    request_router router{
        dependencies,
        policies,
        [] { return true; },
        {[this] { return copy_is_current; }, [this] { return accepts_keys; }}};

    // The text of a configuration is its revision and the keys of the account.
    fixture() {
        dependencies.find_account = [this](key_digest const& key) {
            return policies.accounts().find(key);
        };
        format.policy_key = "config";
        format.policy = [](std::string const& text) -> result<traffic_policy> {
            traffic_policy out;
            std::istringstream words(text);
            words >> out.revision;
            client_account account;
            account.id = {"acme"};
            for (std::string key; words >> key;)
                account.keys.push_back(digest_of(key));
            out.requires_account = !account.keys.empty();
            out.accounts = {account};
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

    void configure(std::string const& text = "1") {
        mirror::store_mirror store;
        ++store_revision;
        store.replace({{"config", text, store_revision}}, store_revision);
        policies.update(store, time_point{});
    }

    std::uint64_t store_revision = 0;

    std::shared_ptr<recording_responder> serve_with(std::string const& key) {
        auto out = std::make_shared<recording_responder>();
        auto with_key = request();
        with_key.head.fields.push_back({"Authorization", "Bearer " + key});
        router.serve(std::move(with_key), out);
        return out;
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

TEST_CASE("a request runs only with a key of the configuration in force") {
    fixture f;
    f.configure("1 good");
    CHECK(f.serve()->sent->status == 401);
    CHECK(f.serve_with("bad")->sent->status == 401);
    CHECK(f.activities_reported == 0);
    CHECK_FALSE(f.serve_with("good")->sent);
    CHECK(f.activities_reported == 1);
    f.configure("2 other");
    CHECK(f.serve_with("good")->sent->status == 401);
    CHECK(f.activities_reported == 1);
}

// Guards against a 401 that only an older configuration gives.
TEST_CASE("a request with an unknown key waits while the copy isn't current") {
    fixture f;
    f.configure("1 old");
    f.copy_is_current = false;
    auto const added = f.serve_with("new");
    auto const unknown = f.serve_with("bad");
    auto const late = f.serve_with("bad");
    CHECK_FALSE(added->sent);
    f.configure("2 old new");
    f.router.serve_waiting();
    CHECK_FALSE(added->sent);
    CHECK(f.activities_reported == 1);
    CHECK_FALSE(unknown->sent);
    f.copy_is_current = true;
    f.router.serve_waiting();
    CHECK(unknown->sent->status == 401);
    CHECK(late->sent->status == 401);
}

// Guards against a request that waits without end, as each look at it would
// start its wait anew.
TEST_CASE("a request whose key stays unknown on an old copy is refused as not "
          "run") {
    fixture f;
    f.configure("1 old");
    f.copy_is_current = false;
    auto const held = f.serve_with("new");
    auto const later = adapters::boot_now() + 10s;
    f.router.serve_waiting();
    f.router.serve_waiting();
    CHECK(f.counters.text().find("yuccabeam_held_for_key_total 1\n") !=
          std::string::npos);
    f.router.expire(later, true);
    CHECK(promises_not_run(*held));
    CHECK(f.activities_reported == 0);
}

TEST_CASE("keys are not accepted on a copy beyond a strict limit") {
    fixture f;
    f.configure("1 good");
    f.accepts_keys = false;
    auto const held = f.serve_with("good");
    CHECK_FALSE(held->sent);
    f.router.expire(adapters::boot_now() + 10s, true);
    CHECK(promises_not_run(*held));
    CHECK(f.activities_reported == 0);
}

// Guards against a router that starts exchanges past the admission, and against
// a stopping daemon that forgets its queue.
TEST_CASE(
    "requests pass through the admission, whose queue is refused when the "
    "daemon stops") {
    fixture f;
    f.configure();
    auto const now = adapters::boot_now();
    admission admitted(f.dependencies,
                       [](auto const&, time_point) { return 1.0; });
    admitted.set_active(true);
    request_router router(
        f.dependencies, f.policies, [] { return true; }, {}, nullptr,
        &admitted);
    for (int i = 0; i < 10; ++i)
        f.target_table.on_start({"t"}, now);
    auto const queued = std::make_shared<recording_responder>();
    router.serve(f.request(), queued);
    CHECK(admitted.queued() == 1);
    CHECK(f.activities_reported == 0);
    router.close();
    CHECK(promises_not_run(*queued));
    CHECK(admitted.queued() == 0);
}
