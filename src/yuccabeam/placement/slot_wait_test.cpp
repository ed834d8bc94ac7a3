#include "yuccabeam/placement/request_dispatch.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr std::uint32_t slots = 6;
constexpr std::uint32_t crowd = 9;

/// One sound target that is crowded, and others that fail.
struct fixture {
    target_table table{{"a"}, 1};
    retry_budget budget{{.fleet_slack = 10, .capacity = 10},
                        start - 1min,
                        initial_credit::full};

    explicit fixture(std::size_t failing, bool failed = true) {
        std::vector<discovered_target> list;
        for (std::size_t i = 0; i <= failing; ++i) {
            discovered_target target;
            target.target = {
                {"t" + std::to_string(i)}, {"svc"}, {"a"}, "x", slots, 300};
            list.push_back(target);
        }
        table.replace(list, start);
        for (std::size_t i = 1; failed && i <= failing; ++i)
            table.on_peer_notice(
                {{"t" + std::to_string(i)}, 0, notice_kind::failed}, start);
        load(crowd);
        budget.on_fleet_size(1, start);
    }

    /// Requests of other daemons at the sound target.
    void load(std::uint32_t in_flight, std::string const& target = "t0") {
        table.on_peer_activity({"other"}, {{target}, 0, in_flight}, start);
    }

    request_dispatch dispatch(bool idempotent, duration time_left,
                              dispatch_options options = {}) {
        dispatch_request request;
        request.service = {"svc"};
        request.idempotent = idempotent;
        request.max_attempts = 2;
        request.latency_objective = 2s;
        request.deadline = start + time_left;
        return {request,
                {table, budget,
                 [this](time_point now) { return budget.allows(now); }},
                options};
    }
};

/// Looks until the request is sent or ends.
dispatch_step look(request_dispatch& dispatch, dispatch_step step,
                   std::size_t& looks) {
    for (looks = 0; step.action == dispatch_action::wait; ++looks) {
        REQUIRE(dispatch.next_check());
        step = dispatch.on_check(*dispatch.next_check());
    }
    return step;
}

} // namespace

TEST_CASE("a request whose only sound target is crowded isn't sent there while "
          "it can wait") {
    struct wait_case {
        char const* what;
        bool idempotent;
        std::size_t failing;
        bool waits;
        dispatch_action end;
        char const* target; ///< to which it is sent in the end
    };
    std::vector<wait_case> const cases = {
        {"it is refused and has not run", true, 0, true, dispatch_action::end,
         ""},
        {"a target that fails is better than none", true, 1, true,
         dispatch_action::send, "t1"},
        {"what runs at most once is better off in a queue than at a target "
         "that fails",
         false, 1, false, dispatch_action::send, "t0"},
    };
    for (auto const& c : cases) {
        CAPTURE(c.what);
        fixture f(c.failing);
        auto dispatch = f.dispatch(c.idempotent, 4s);
        std::size_t looks = 0;
        auto const step = look(dispatch, dispatch.start(start), looks);
        CHECK((looks >= 2) == c.waits);
        CHECK(step.action == c.end);
        CHECK_FALSE(dispatch.may_have_run());
        if (c.end == dispatch_action::send)
            CHECK(dispatch.attempts()[step.attempt].to.id.value == c.target);
        else
            CHECK(step.reason == "target_full");
    }
}

TEST_CASE("a waiting request is sent as soon as it sees a free slot") {
    fixture f(1);
    auto dispatch = f.dispatch(true, 4s);
    REQUIRE(dispatch.start(start).action == dispatch_action::wait);
    f.load(slots - 1);
    auto const step = dispatch.on_check(*dispatch.next_check());
    REQUIRE(step.action == dispatch_action::send);
    CHECK(dispatch.attempts()[step.attempt].to.id.value == "t0");
}

// Guards against requests with little time that look less often than others
// and so rarely find a free slot.
TEST_CASE("a request with little time looks as often as one with more") {
    auto const looks_of = [](duration time_left) {
        std::size_t sum = 0;
        for (int i = 0; i < 50; ++i) {
            fixture f(0);
            f.table.loads().on_answer({"svc"}, {600ms, false, true, 100});
            auto dispatch = f.dispatch(true, time_left);
            std::size_t looks = 0;
            look(dispatch, dispatch.start(start), looks);
            sum += looks;
        }
        return sum;
    };
    auto const little = static_cast<double>(looks_of(700ms));
    auto const more = static_cast<double>(looks_of(4s));
    CHECK(little > 0.7 * more);
}

// Guards against a retry that is sent without credit after a wait, and against
// credit that a request keeps when it ends while it waits.
TEST_CASE("a retry that waits is charged once, and not at all if it isn't "
          "sent") {
    for (bool const sent : {true, false}) {
        CAPTURE(sent);
        fixture f(1, false);
        f.load(0);
        auto dispatch = f.dispatch(true, 4s);
        auto const first = dispatch.start(start);
        REQUIRE(first.action == dispatch_action::send);
        auto const& tried = dispatch.attempts()[first.attempt].to.id.value;
        f.load(crowd, tried == "t0" ? "t1" : "t0");
        auto const before = f.budget.credit(start);
        auto step = dispatch.on_attempt_end(first.attempt,
                                            attempt_outcome::reset, start);
        REQUIRE(step.action == dispatch_action::wait);
        CHECK(f.budget.credit(start) == doctest::Approx(before - 1));
        if (sent) {
            std::size_t looks = 0;
            step = look(dispatch, step, looks);
            CHECK(step.action == dispatch_action::send);
            CHECK(f.budget.credit(start) == doctest::Approx(before - 1));
        } else {
            dispatch.abandon(start);
            CHECK(f.budget.credit(start) == doctest::Approx(before));
        }
    }
}

// Guards against a wait that outlives its request's next attempt: the check of
// that attempt would send one more, without credit.
TEST_CASE("a wait ends with the next attempt, whatever causes it") {
    fixture f(2, false);
    f.load(0);
    auto dispatch = f.dispatch(true, 4s, {.wait_share = 1});
    auto const first = dispatch.start(start);
    REQUIRE(first.action == dispatch_action::send);
    auto const hedge = dispatch.on_check(*dispatch.next_check());
    REQUIRE(hedge.action == dispatch_action::send);
    for (auto const* id : {"t0", "t1", "t2"})
        f.load(crowd, id);
    auto const now = start + 1500ms;
    dispatch.on_attempt_end(hedge.attempt, attempt_outcome::connect_failed,
                            now);
    REQUIRE(dispatch.waiting());
    for (auto const* id : {"t0", "t1", "t2"})
        f.load(0, id);
    auto const retry =
        dispatch.on_attempt_end(first.attempt, attempt_outcome::reset, now);
    REQUIRE(retry.action == dispatch_action::send);
    auto const sent = dispatch.attempts_sent();
    if (dispatch.next_check())
        dispatch.on_check(*dispatch.next_check());
    CHECK_FALSE(dispatch.waiting());
    CHECK(dispatch.attempts_sent() == sent);
}

TEST_CASE(
    "a target whose slots are not known is not crowded without requests") {
    discovered_target unknown;
    unknown.target = {{"t"}, {"svc"}, {"a"}, "x", 0, 300};
    target_table table({"a"}, 1);
    table.replace({unknown}, start);
    choice_request wanted;
    wanted.service = {"svc"};
    auto const chosen = table.choose(wanted, start);
    REQUIRE(chosen.has_value());
    CHECK_FALSE(chosen->crowded);
}

// Guards against requests that wait for one crowded target of many and so leave
// recovered targets without requests.
TEST_CASE("a crowded target doesn't keep requests from a suspected one while "
          "another sound target has room") {
    fixture f(2, false);
    choice_request wanted;
    wanted.service = {"svc"};
    wanted.retryable = wanted.idempotent = true;
    f.table.on_peer_notice({{"t1"}, 0, notice_kind::failed}, start);
    f.load(crowd, "t0");
    f.load(slots + 1, "t2");
    for (int i = 0; i < 50; ++i) {
        auto const chosen = f.table.choose(wanted, start);
        REQUIRE(chosen.has_value());
        CHECK_FALSE(chosen->passed_crowded);
    }
    f.load(crowd, "t2");
    wanted.exclude = {{"t0"}, {"t2"}};
    auto const last = f.table.choose(wanted, start);
    REQUIRE(last.has_value());
    CHECK_FALSE(last->passed_crowded);
}

// Guards against waits for slots that are free already: relayed loads are old.
TEST_CASE("no request waits in a fleet whose loads are relayed") {
    fixture f(0);
    f.table.on_relayed_loads({}, start);
    auto dispatch = f.dispatch(true, 4s);
    CHECK(dispatch.start(start).action == dispatch_action::send);
}
