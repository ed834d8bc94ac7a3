#include "yuccabeam/placement/request_dispatch.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

struct fixture {
    target_table table{{"a"}, 1};
    // One daemon that keeps all of the slack as credit.
    retry_budget budget{{.fleet_slack = 10, .capacity = 10}, start - 1min};
    bool may_retry = true;

    explicit fixture(std::size_t targets = 3) {
        std::vector<discovered_target> list;
        for (std::size_t i = 0; i < targets; ++i) {
            discovered_target target;
            target.target = {{"t" + std::to_string(i)}, {"svc"}, {"a"}, "x"};
            list.push_back(target);
        }
        table.replace(list, start);
    }

    request_dispatch dispatch(bool idempotent, std::uint32_t max_attempts = 2) {
        dispatch_request request;
        request.service = {"svc"};
        request.idempotent = idempotent;
        request.max_attempts = max_attempts;
        request.latency_objective = 2s;
        request.deadline = start + 4s;
        return {request,
                {table, budget, [this](time_point) { return may_retry; }}};
    }

    std::uint32_t in_flight() const {
        std::uint32_t out = 0;
        for (auto const& snapshot : table.snapshots(start))
            out += snapshot.in_flight;
        return out;
    }

    bool suspects(target_id const& id, time_point now) const {
        for (auto const& snapshot : table.snapshots(now))
            if (snapshot.target == id)
                return snapshot.suspected;
        return false;
    }
};

struct end_case {
    char const* guards;
    bool idempotent;
    bool may_retry;
    std::vector<attempt_outcome> outcomes; ///< of the attempts in order
    dispatch_action last;
    bool may_have_run;
    int repeats_told;
};

std::vector<end_case> const cases = {
    {"an answer ends the request",
     false,
     true,
     {attempt_outcome::success},
     dispatch_action::deliver,
     true,
     0},
    {"a non-idempotent request that is executed twice",
     false,
     true,
     {attempt_outcome::kept_reset},
     dispatch_action::end,
     true,
     0},
    {"a not-run result that is lost after a second not-run outcome",
     false,
     true,
     {attempt_outcome::not_run, attempt_outcome::not_run},
     dispatch_action::end,
     false,
     1},
    {"a retry beyond the retry budget",
     true,
     false,
     {attempt_outcome::reset},
     dispatch_action::end,
     true,
     0},
    {"an error response of the target that is replaced by one of the daemon",
     true,
     true,
     {attempt_outcome::target_error, attempt_outcome::reset},
     dispatch_action::deliver,
     true,
     1},
    {"a failed connect that is counted as a retry",
     false,
     true,
     {attempt_outcome::connect_failed, attempt_outcome::success},
     dispatch_action::deliver,
     true,
     0},
};

} // namespace

TEST_CASE("the end of a request depends on the outcomes of its attempts") {
    for (auto const& c : cases) {
        CAPTURE(c.guards);
        fixture f;
        f.may_retry = c.may_retry;
        auto dispatch = f.dispatch(c.idempotent);
        auto step = dispatch.start(start);
        int repeats = 0;
        for (auto const outcome : c.outcomes) {
            REQUIRE(step.action == dispatch_action::send);
            step = dispatch.on_attempt_end(step.attempt, outcome, start + 10ms);
            for (auto const& update : step.updates)
                repeats += update.repeated;
        }
        CHECK(step.action == c.last);
        CHECK(dispatch.may_have_run() == c.may_have_run);
        CHECK(repeats == c.repeats_told);
        CHECK(dispatch.ended());
        CHECK(f.in_flight() == 0);
    }
}

// Guards against a first attempt that is cut off, as its hedge may not be sent.
TEST_CASE("an attempt that is withdrawn leaves the others running") {
    fixture f;
    auto dispatch = f.dispatch(true);
    REQUIRE(dispatch.start(start).action == dispatch_action::send);
    auto const now = *dispatch.next_check();
    auto const credit = f.budget.credit(now);
    auto const hedge = dispatch.on_check(now);
    REQUIRE(hedge.action == dispatch_action::send);
    CHECK(dispatch.withdraw(hedge.attempt, "reason", now).action ==
          dispatch_action::wait);
    CHECK(f.budget.credit(now) == credit);
    CHECK(f.in_flight() == 1);
    CHECK(dispatch.attempts_sent() == 1);
    auto const last =
        dispatch.on_attempt_end(0, attempt_outcome::success, now + 10ms);
    CHECK(last.action == dispatch_action::deliver);
    CHECK(last.attempt == 0);
    CHECK(f.in_flight() == 0);
}

// Guards against requests that fail at a suspected target with no retry left.
TEST_CASE("only a request that may be retried tries a suspected target") {
    struct trial_case {
        char const* what;
        bool may_retry;
        std::uint32_t max_attempts;
        bool tries;
    };
    trial_case const rows[] = {
        {"a retry is left", true, 2, true},
        {"the retry budget is exhausted", false, 2, false},
        {"the route allows one attempt", true, 1, false},
    };
    for (auto const& row : rows) {
        CAPTURE(row.what);
        fixture f;
        f.may_retry = row.may_retry;
        target_id const failing{"t0"};
        f.table.on_peer_notice({failing, 0, notice_kind::failed}, start);
        auto const now = start + target_table_options{}.trial_after;
        REQUIRE(f.suspects(failing, now));
        auto dispatch = f.dispatch(true, row.max_attempts);
        REQUIRE(dispatch.start(now).action == dispatch_action::send);
        CHECK((dispatch.attempts()[0].to.id == failing) == row.tries);
    }
}

// Guards against a request that fails without a retry in a service with one
// target left, and against retries that are charged for unreachable targets.
TEST_CASE("an idempotent request is retried at the same target when no other "
          "can be reached") {
    enum class other { none, good, unreachable };
    struct again_case {
        char const* what;
        other second;
        bool idempotent;
        std::uint32_t max_attempts;
        attempt_outcome outcome;
        char const* next; ///< target of the second attempt, or none
    };
    again_case const rows[] = {
        {"one target", other::none, true, 2, attempt_outcome::reset, "t0"},
        {"a kept connection was closed", other::none, true, 2,
         attempt_outcome::kept_reset, "t0"},
        {"a broken answer", other::none, true, 2,
         attempt_outcome::broken_answer, "t0"},
        {"the other one can't be reached", other::unreachable, true, 2,
         attempt_outcome::reset, "t0"},
        {"another target comes first", other::good, true, 2,
         attempt_outcome::reset, "t1"},
        {"the route allows one attempt", other::none, true, 1,
         attempt_outcome::reset, ""},
        {"the request is not idempotent", other::none, false, 2,
         attempt_outcome::reset, ""},
        {"the target is full", other::none, true, 2, attempt_outcome::not_run,
         ""},
        {"an error response", other::none, true, 2,
         attempt_outcome::target_error, ""},
        {"the target is too slow", other::none, true, 2,
         attempt_outcome::timed_out, ""},
    };
    for (auto const& row : rows) {
        CAPTURE(row.what);
        fixture f(row.second == other::none ? 1 : 2);
        if (row.second == other::unreachable)
            f.table.on_end({"t1"}, attempt_outcome::connect_failed, start,
                           start);
        else if (row.second == other::good)
            // So that the first attempt goes to the other one.
            f.table.on_peer_activity({"peer"}, {{"t1"}, 0, 3}, start);
        auto dispatch = f.dispatch(row.idempotent, row.max_attempts);
        auto const first = dispatch.start(start);
        REQUIRE(dispatch.attempts()[0].to.id.value == "t0");
        auto const second =
            dispatch.on_attempt_end(first.attempt, row.outcome, start + 10ms);
        std::string const next =
            second.action == dispatch_action::send
                ? dispatch.attempts()[second.attempt].to.id.value
                : "";
        CHECK(next == row.next);
        if (next == "t0")
            CHECK_FALSE(dispatch.attempts()[second.attempt].may_reuse);
    }
}

// Guards against two concurrent attempts of one request at the same target.
TEST_CASE("a target gets no retry while it still has the request in flight") {
    fixture f(2);
    f.table.on_end({"t1"}, attempt_outcome::connect_failed, start, start);
    auto dispatch = f.dispatch(true, 3);
    auto const first = dispatch.start(start);
    auto const second = dispatch.on_attempt_end(
        first.attempt, attempt_outcome::kept_reset, start + 10ms);
    REQUIRE(second.action == dispatch_action::send);
    REQUIRE(dispatch.attempts()[second.attempt].to.id.value == "t0");
    auto const due = dispatch.next_check();
    REQUIRE(due);
    auto const third = dispatch.on_check(*due);
    REQUIRE(third.action == dispatch_action::send);
    REQUIRE(dispatch.attempts()[third.attempt].to.id.value == "t1");
    auto const end = dispatch.on_attempt_end(
        third.attempt, attempt_outcome::connect_failed, *due + 10ms);
    CHECK(end.action == dispatch_action::wait);
    CHECK(dispatch.running() == 1);
}

// Guards against credit that is spent on retries that are never sent.
TEST_CASE("a retry that can't be sent costs no credit") {
    retry_budget budget({.fleet_slack = 10, .capacity = 10}, start - 1min,
                        initial_credit::full);
    budget.on_fleet_size(1, start);
    target_table table{{"a"}, 1};
    std::vector<discovered_target> list;
    for (auto const* id : {"t0", "t1"}) {
        discovered_target target;
        target.target = {{id}, {"svc"}, {"a"}, "x"};
        list.push_back(target);
    }
    table.replace(list, start);
    dispatch_request request{{"svc"}, true, 2, 2s, start + 4s};
    request_dispatch dispatch(request, {table, budget, [&](time_point now) {
                                            return budget.allows(now);
                                        }});
    auto const first = dispatch.start(start);
    double const before = budget.credit(start);
    // A full target gets no retry.
    auto const second =
        dispatch.on_attempt_end(first.attempt, attempt_outcome::not_run, start);
    REQUIRE(second.action == dispatch_action::send);
    CHECK(budget.credit(start) == doctest::Approx(before - 1));
    auto const end = dispatch.on_attempt_end(
        second.attempt, attempt_outcome::connect_failed, start);
    CHECK(end.action == dispatch_action::end);
    CHECK(budget.credit(start) == doctest::Approx(before));
}

TEST_CASE("a slow idempotent request is hedged once, and the first response is "
          "used") {
    fixture f;
    auto dispatch = f.dispatch(true);
    auto const first = dispatch.start(start);
    REQUIRE(dispatch.next_check() == start + 1'200ms);
    auto const second = dispatch.on_check(start + 1'200ms);
    REQUIRE(second.action == dispatch_action::send);
    CHECK(second.updates.at(0).repeated);
    CHECK(dispatch.attempts()[0].to.id != dispatch.attempts()[1].to.id);
    CHECK_FALSE(dispatch.next_check());
    auto const end = dispatch.on_attempt_end(
        first.attempt, attempt_outcome::success, start + 1'500ms);
    CHECK(end.action == dispatch_action::deliver);
    CHECK(end.attempt == first.attempt);
    CHECK(f.in_flight() == 0);
}

// Guards against a request that waits for a hanging target until its deadline
// because the hedged attempt failed to connect.
TEST_CASE("a hedged attempt that can't connect is replaced by one at another "
          "target") {
    fixture f;
    f.budget.on_fleet_size(1, start);
    for (int i = 0; i < 50; ++i)
        f.budget.on_request(start);
    auto dispatch = f.dispatch(true);
    dispatch.start(start);
    double const before = f.budget.credit(start);
    auto const second = dispatch.on_check(start + 1'200ms);
    REQUIRE(second.action == dispatch_action::send);
    auto const third = dispatch.on_attempt_end(
        second.attempt, attempt_outcome::connect_failed, start + 1'500ms);
    REQUIRE(third.action == dispatch_action::send);
    // The retry that failed to connect was already published and counted.
    for (auto const& update : third.updates)
        CHECK_FALSE(update.repeated);
    CHECK(f.budget.credit(start + 1'500ms) == doctest::Approx(before - 1));
    CHECK(dispatch.running() == 2);
    auto const end = dispatch.on_attempt_end(
        third.attempt, attempt_outcome::success, start + 1'900ms);
    CHECK(end.action == dispatch_action::deliver);
    CHECK(f.in_flight() == 0);
}

TEST_CASE("a non-idempotent request never runs at two targets at once") {
    fixture f;
    auto dispatch = f.dispatch(false);
    auto const first = dispatch.start(start);
    dispatch.on_check(*dispatch.next_check());
    CHECK(dispatch.running() == 1);
    auto const second = dispatch.on_attempt_end(
        first.attempt, attempt_outcome::connect_failed, start + 300ms);
    CHECK(second.action == dispatch_action::send);
    CHECK(dispatch.running() == 1);
}

TEST_CASE("a slow non-idempotent request is not hedged, and its target becomes "
          "suspected") {
    fixture f;
    auto dispatch = f.dispatch(false);
    dispatch.start(start);
    auto const due = dispatch.next_check();
    REQUIRE(due);
    auto const step = dispatch.on_check(*due);
    CHECK(step.action == dispatch_action::wait);
    REQUIRE(step.updates.size() == 1);
    CHECK(f.suspects(dispatch.attempts()[0].to.id, *due));
}

TEST_CASE(
    "at the deadline the request may have run, and its slots are released") {
    fixture f;
    auto dispatch = f.dispatch(false);
    dispatch.start(start);
    auto const step = dispatch.on_deadline(start + 4s);
    CHECK(step.action == dispatch_action::end);
    CHECK(step.reason == "deadline");
    CHECK(dispatch.may_have_run());
    CHECK(f.in_flight() == 0);
}

TEST_CASE("a reset on a reused connection is evidence: otherwise a target that "
          "fails only idempotent requests would never be suspected") {
    fixture f;
    auto dispatch = f.dispatch(true);
    auto const sent = dispatch.start(start);
    CHECK(dispatch.attempts()[0].may_reuse);
    auto const step = dispatch.on_attempt_end(
        sent.attempt, attempt_outcome::kept_reset, start + 2ms);
    REQUIRE_FALSE(step.updates.empty());
    REQUIRE(step.updates[0].notice);
    CHECK(f.suspects(dispatch.attempts()[0].to.id, start + 2ms));
}

TEST_CASE("a suspected target is tried on a new connection, whose reset is "
          "caused by the target") {
    fixture f(1);
    f.table.on_peer_notice({{"t0"}, 0, notice_kind::failed}, start);
    auto dispatch = f.dispatch(true);
    dispatch.start(start + 2s);
    REQUIRE(dispatch.attempts().size() == 1);
    CHECK(dispatch.attempts()[0].suspected);
    CHECK_FALSE(dispatch.attempts()[0].may_reuse);
}

// Guards against healthy targets that are doubted after a start because the
// first responses were to short requests of another kind or too few.
TEST_CASE("the time after which a non-idempotent request is overdue depends on "
          "earlier responses") {
    struct row {
        char const* name;
        int short_idempotent; ///< answers after 20 ms
        int short_others;
        int usual_others; ///< answers after 400 ms
        duration check_after;
    };
    row const rows[] = {
        {"nothing known", 0, 0, 0, 2'500ms},
        {"only short requests of the other kind", 50, 0, 0, 2'500ms},
        {"a few answers", 0, 3, 0, 2'500ms},
        {"enough answers", 0, 0, 8, 1'200ms},
        {"both kinds", 50, 0, 8, 1'200ms},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        fixture f;
        auto const answers = [&](int count, duration taken, bool idempotent) {
            for (int i = 0; i < count; ++i)
                f.table.loads().on_answer({"svc"}, {taken, false, idempotent});
        };
        answers(row.short_idempotent, 20ms, true);
        answers(row.short_others, 20ms, false);
        answers(row.usual_others, 400ms, false);
        auto dispatch = f.dispatch(false);
        dispatch.start(start);
        auto const due = dispatch.next_check();
        REQUIRE(due);
        CHECK(to_milliseconds(*due - start) ==
              doctest::Approx(to_milliseconds(row.check_after)));
    }
}

// Guards against a log line with other counts than those of the decision.
TEST_CASE("the end of an attempt reports the conditions for a retry") {
    fixture world(3);
    world.table.on_end({"t0"}, attempt_outcome::connect_failed, start, start);
    world.may_retry = false;
    auto dispatch = world.dispatch(true);
    auto const first = dispatch.start(start);
    auto const step =
        dispatch.on_attempt_end(first.attempt, attempt_outcome::reset, start);
    CHECK(step.decision == next_step::fail);
    CHECK(step.retry.missing == unmet_conditions{.credit = true});
    CHECK(step.retry.credit == doctest::Approx(world.budget.credit(start)));
    CHECK(step.retry.others == other_targets{2, 1, 1});
}
