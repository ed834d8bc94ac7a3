#include "yuccabeam/retry/decide.hpp"
#include "yuccabeam/retry/retry_budget.hpp"

#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

namespace yuccabeam::retry {
namespace {

using namespace std::chrono_literals;
using enum failure_kind;
using enum retry_decision;

failed_attempt attempt(bool idempotent, failure_kind failure) {
    return {idempotent, failure, false, 1, 1s, 10ms, true, false, true, false};
}

// Guards against a second run of a non-idempotent request (an order) and
// against a missing retry of an idempotent one (a read).
TEST_CASE("retry decision") {
    struct row {
        char const* name;
        bool idempotent;
        failure_kind failure;
        retry_decision expected;
        void (*change)(failed_attempt&) = [](failed_attempt&) {};
    };
    row const rows[] = {
        {"read", true, other, retry_elsewhere},
        {"order, no byte sent", false, connect_refused, retry_elsewhere},
        {"order, declared not run", false, declared_not_run, retry_elsewhere},
        {"order, anything else", false, other, answer_unknown},
        {"order, refused after an unknown attempt", false, connect_refused,
         answer_unknown, [](auto& a) { a.earlier_may_have_run = true; }},
        {"order, no budget", false, connect_refused, answer_not_run,
         [](auto& a) { a.budget_available = false; }},
        {"read, no budget", true, other, answer_unknown,
         [](auto& a) { a.budget_available = false; }},
        {"overload", false, connect_refused, answer_not_run,
         [](auto& a) { a.overloaded = true; }},
        {"no other target", false, connect_refused, answer_not_run,
         [](auto& a) { a.other_target_available = false; }},
        {"too little time", false, connect_refused, answer_not_run,
         [](auto& a) { a.deadline_left = 9ms; }},
        {"no time, service time unknown", true, other, answer_unknown,
         [](auto& a) { a.deadline_left = a.service_time = 0s; }},
        {"third attempt", false, connect_refused, answer_not_run,
         [](auto& a) { a.attempts = 3; }},
        {"read, response started", true, other, answer_unknown,
         [](auto& a) { a.response_started = true; }},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        auto state = attempt(row.idempotent, row.failure);
        row.change(state);
        CHECK(decide_retry(state) == row.expected);
    }
}

// Guards against a not-run answer for a request that ran, and against a second
// run of a non-idempotent request, over random outcomes of the attempts.
TEST_CASE("not-run answers are correct and non-idempotent requests run at "
          "most once") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto const coin = [&] { return random() % 2 == 0; };
        retry_budget budget;
        int retries = 0;
        int const requests = 100;
        for (int i = 0; i < requests; ++i) {
            budget.on_request();
            auto state = attempt(coin(), other);
            int runs = 0;
            auto decision = retry_elsewhere;
            for (state.attempts = 1; decision == retry_elsewhere;
                 ++state.attempts) {
                state.failure = static_cast<failure_kind>(random() % 3);
                runs += state.failure == other && coin();
                state.overloaded = random() % 8 == 0;
                state.budget_available = budget.available();
                decision = decide_retry(state);
                state.earlier_may_have_run = may_have_run(state);
                if (decision == retry_elsewhere) {
                    RC_ASSERT(budget.take());
                    ++retries;
                }
            }
            RC_ASSERT(state.attempts <= 4U);
            RC_ASSERT(state.idempotent || runs <= 1);
            RC_ASSERT(decision != answer_not_run || runs == 0);
        }
        RC_ASSERT(retries <= 10 + requests / 10);
    }));
}

// Guards against a retry storm, and against a budget that never refills.
TEST_CASE("the budget allows a burst and ten percent of the requests") {
    retry_budget budget;
    int taken = 0;
    while (budget.take())
        ++taken;
    CHECK(taken == 10);
    for (int i = 0; i < 1'000; ++i) {
        budget.on_request();
        taken += budget.take();
    }
    CHECK(taken == 110);
    for (int i = 0; i < 1'000; ++i)
        budget.on_request();
    for (taken = 0; budget.take(); ++taken) {
    }
    CHECK(taken == 10);
}

// Guards against a hedge that runs an order twice or adds to an overload.
TEST_CASE("a hedge needs every condition") {
    slow_attempt const good = {true, true, false, false, 50ms, 40ms,
                               1s,   10ms, true,  false, true};
    CHECK(decide_hedge(good));
    using change = void (*)(slow_attempt&);
    change const changes[] = {
        [](auto& a) { a.idempotent = false; },
        [](auto& a) { a.route_hedges = false; },
        [](auto& a) { a.already_hedged = true; },
        [](auto& a) { a.response_started = true; },
        [](auto& a) { a.elapsed = 39ms; },
        [](auto& a) { a.hedge_after = 0ms; },
        [](auto& a) { a.deadline_left = 9ms; },
        [](auto& a) { a.budget_available = false; },
        [](auto& a) { a.overloaded = true; },
        [](auto& a) { a.other_target_available = false; },
    };
    for (auto const& change : changes) {
        auto bad = good;
        change(bad);
        CHECK_FALSE(decide_hedge(bad));
    }
}

} // namespace
} // namespace yuccabeam::retry
