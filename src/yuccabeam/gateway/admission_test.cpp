#include "yuccabeam/gateway/admission.hpp"

#include "exchange_fixture.hpp"
#include "yuccabeam/adapters/clock.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

// One target whose slots other daemons fill.
struct fixture : exchange_environment {
    static constexpr std::uint32_t slots = 6;
    static constexpr std::uint32_t own_share = 7;
    time_point now = adapters::boot_now();
    gateway::admission admission{dependencies,
                                 [](auto const&, time_point) { return 1.0; },
                                 {},
                                 [this] { return now; }};

    explicit fixture(bool active = true) {
        discovered_target target;
        target.target = {{"t"}, {"svc"}, {"a"}, "127.0.0.1:1", slots, 300};
        target_table.replace({target}, now);
        target_table.loads().on_answer({"svc"}, {.taken = 100ms});
        admission.set_active(active);
        load(2 * slots);
    }

    /// Requests in flight of other daemons.
    void load(std::uint32_t in_flight) {
        target_table.on_peer_activity({"other"}, {{"t"}, 0, in_flight}, now);
    }

    /// Spends what this daemon may send to a full service: its slots and a
    /// margin.
    void fill_own_share() {
        for (std::uint32_t i = 0; i < own_share; ++i)
            target_table.on_start({"t"}, now);
    }

    std::shared_ptr<recording_responder>
    serve(std::chrono::milliseconds timeout = 5s) {
        auto out = std::make_shared<recording_responder>();
        routed_request request;
        request.request.head.method = "POST";
        request.request.head.target = "/x";
        request.request.head.fields = {{"Id", "r1"}};
        request.request.first_byte = now;
        request.responder = out;
        request.route.service = {"svc"};
        request.route.priority = priority::normal;
        request.route.timeout = timeout;
        admission.start(std::move(request));
        return out;
    }

    bool counted(std::string const& name) const {
        return counters.text().find("yuccabeam_" + name + "_total 1") !=
               std::string::npos;
    }
};

bool promises_not_run(recording_responder const& caller,
                      std::string const& reason) {
    return caller.sends == 1 && caller.sent->status == 503 &&
           !http1::field_value(caller.sent->fields, "Retry-After").empty() &&
           caller.sent->body.find(reason) != std::string::npos &&
           caller.sent->body.find("not_run") != std::string::npos;
}

} // namespace

// Guards against a queue in deployments whose configuration doesn't ask for
// it.
TEST_CASE("the admission is active for accounts and large requests alone") {
    struct policy_case {
        char const* what;
        bool accounts;
        bool uploads;
        bool active;
    };
    policy_case const cases[] = {{"neither", false, false, false},
                                 {"accounts", true, false, true},
                                 {"uploads", false, true, true}};
    for (auto const& c : cases) {
        CAPTURE(std::string(c.what));
        traffic_policy policy;
        policy.requires_account = c.accounts;
        policy.routes.resize(2);
        policy.routes[1].large_requests = c.uploads;
        CHECK(calls_for_admission(policy) == c.active);
    }
    fixture f(false);
    f.fill_own_share();
    auto const caller = f.serve();
    CHECK(f.activities_reported == 1);
    CHECK(f.admission.queued() == 0);
}

// Guards against a request that stays in the queue when slots become free.
TEST_CASE("a request waits while its service is full and is sent afterwards") {
    fixture f;
    f.fill_own_share();
    auto const caller = f.serve();
    CHECK(f.admission.queued() == 1);
    CHECK(f.activities_reported == 0);
    CHECK(f.counted("admission_queued"));
    f.now += 200ms;
    f.load(0);
    for (std::uint32_t i = 0; i < fixture::own_share; ++i)
        f.target_table.on_cancel({"t"});
    f.admission.on_activity();
    f.context.poll_one();
    CHECK(f.admission.queued() == 0);
    CHECK(f.activities_reported == 1);
}

TEST_CASE("a caller that disconnects leaves the queue") {
    fixture f;
    f.fill_own_share();
    auto const caller = f.serve();
    REQUIRE(caller->gone);
    caller->gone();
    CHECK(f.admission.queued() == 0);
    f.admission.set_active(false);
    CHECK(f.activities_reported == 0);
    CHECK(caller->sends == 0);
    CHECK(f.counted("callers_gone"));
}

// Guards against callers that wait until the stopping daemon is killed.
TEST_CASE("a stopping daemon refuses its queue as not run") {
    fixture f;
    f.fill_own_share();
    auto const first = f.serve();
    auto const second = f.serve();
    CHECK(f.admission.queued() == 2);
    f.admission.close();
    CHECK(promises_not_run(*first, "stopping"));
    CHECK(promises_not_run(*second, "stopping"));
    f.admission.tick();
    f.admission.set_active(false);
    CHECK(f.activities_reported == 0);
}

// Guards against requests that take a slot although nobody can use the answer.
TEST_CASE("a request with less time than the service needs is refused at "
          "once") {
    fixture f;
    f.fill_own_share();
    CHECK(promises_not_run(*f.serve(50ms), "cannot_finish"));
    CHECK(f.counted("admission_refused_cannot_finish"));
    CHECK(f.admission.queued() == 0);
}

// Guards against requests without an answer when no attempt ends any more.
TEST_CASE("a queued request is refused when it has waited too long") {
    fixture f;
    f.fill_own_share();
    auto const caller = f.serve();
    f.now += 250ms;
    f.fill_own_share();
    f.load(4 * fixture::slots);
    f.admission.tick();
    CHECK(caller->sends == 0);
    f.now += 100ms;
    f.admission.tick();
    CHECK(promises_not_run(*caller, "waited_too_long"));
}

// Guards against requests that stay queued under a configuration without a
// queue.
TEST_CASE("queued requests are sent when the admission is no longer active") {
    fixture f;
    f.fill_own_share();
    f.serve();
    f.admission.set_active(false);
    CHECK(f.admission.queued() == 0);
    CHECK(f.activities_reported == 1);
}
