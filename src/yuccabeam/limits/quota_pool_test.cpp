#include "yuccabeam/limits/quota_pool.hpp"

#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace yuccabeam::limits {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};
constexpr quota_options options;
constexpr duration validity = options.loan_validity;
constexpr quota limit{10, 40};
constexpr slot_set first_slot = slot_bit(0);
daemon_id const lender{"10.0.0.1:7"};
daemon_id const other{"10.0.0.2:7"};
account_id const account{"a"};

quota_loan loan(double share, bool unused = false) {
    return {1, first_slot, share, unused ? first_slot : 0};
}

// Number of requests that a pool grants at once.
int granted(quota_pool& pool, time_point now, quota const& of = limit) {
    int out = 0;
    while (out < 10'000 && pool.take(account, 0, of, now).granted)
        ++out;
    return out;
}

// Keeps a loan up until a time.
void keep(quota_pool& pool, quota_loan const& held, time_point from,
          time_point to) {
    for (auto at = from; at < to; at += 300ms)
        pool.on_loan(lender, held, at);
    pool.on_loan(lender, held, to);
}

} // namespace

TEST_CASE("a pool counts the shares that are lent to it, each once") {
    struct step {
        daemon_id by;
        incarnation process;
        slot_set slots;
        double share;
        duration at;
    };
    struct row {
        char const* guards;
        std::vector<step> loans;
        duration asked;
        double expected;
    };
    row const rows[] = {
        {"a loan that counts twice",
         {{lender, 1, first_slot, 0.25, 0ms},
          {lender, 1, first_slot, 0.25, 0ms}},
         0ms,
         0.25},
        {"loans of two lenders that aren't summed",
         {{lender, 1, first_slot, 0.25, 0ms}, {other, 1, first_slot, 0.5, 0ms}},
         0ms,
         0.75},
        {"a loan of another slot",
         {{lender, 1, slot_bit(1), 0.25, 0ms}},
         0ms,
         0},
        {"shares of more than the quota",
         {{lender, 1, first_slot, 0.75, 0ms},
          {other, 1, first_slot, 0.75, 0ms}},
         0ms,
         1},
        {"a loan that ends early",
         {{lender, 1, first_slot, 0.25, 0ms}},
         validity - 1ns,
         0.25},
        {"a loan that counts after its end",
         {{lender, 1, first_slot, 0.25, 0ms}},
         validity,
         0},
        {"a renewal that isn't counted",
         {{lender, 1, first_slot, 0.25, 0ms},
          {lender, 1, first_slot, 0.25, 300ms}},
         300ms + validity - 1ns,
         0.25},
        {"a loan that ends with that of another lender",
         {{lender, 1, first_slot, 0.25, 0ms},
          {other, 1, first_slot, 0.5, 300ms}},
         validity,
         0.5},
        {"a late loan of an earlier process",
         {{lender, 2, first_slot, 0.25, 0ms}, {lender, 1, first_slot, 1, 1ms}},
         1ms,
         0.25},
        {"a late message of an earlier process that ends the loan",
         {{lender, 2, first_slot, 0.25, 0ms}, {lender, 1, 0, 0.25, 1ms}},
         1ms,
         0.25},
        {"a share that the lender has taken back",
         {{lender, 1, first_slot, 0.25, 0ms}, {lender, 1, 0, 0.25, 1ms}},
         1ms,
         0},
        {"a share of the fleet's earlier size",
         {{lender, 1, first_slot, 0.25, 0ms},
          {lender, 1, first_slot, 0.125, 1ms}},
         1ms,
         0.125},
        {"a loan of nothing", {{lender, 1, first_slot, 0, 0ms}}, 0ms, 0},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        quota_pool pool;
        for (auto const& one : row.loans)
            pool.on_loan(one.by, {one.process, one.slots, one.share, 0},
                         start + one.at);
        CHECK(pool.shares(0, start + row.asked) ==
              doctest::Approx(row.expected));
    }
}

// Guards against an access beyond the steps of a slot that never had shares.
TEST_CASE("a loan of nothing grants nothing") {
    quota_pool pool;
    pool.on_loan(lender, loan(0), start);
    CHECK_FALSE(pool.take(account, 0, limit, start + 10ms).granted);
}

// Guards against a fresh burst after each restart or change of a pool.
TEST_CASE("a bucket starts empty but for the gain of moving shares") {
    quota_pool pool;
    pool.on_loan(lender, loan(1), start);
    CHECK(granted(pool, start) <= options.moving_gain());
    quota_pool half;
    half.on_loan(lender, loan(0.5), start);
    CHECK(granted(half, start) <= options.moving_gain() / 2);
}

TEST_CASE("a bucket earns and holds its shares of the quota") {
    for (double const share : {1., 0.5, 0.1}) {
        CAPTURE(share);
        quota_pool pool;
        pool.on_loan(lender, loan(share), start);
        granted(pool, start);
        keep(pool, loan(share), start, start + 1s);
        auto const gained =
            (options.moving_gain() + options.fill_rate(limit)) * share;
        auto const earned = granted(pool, start + 1s);
        CHECK(earned <= gained);
        CHECK(earned >= limit.rate * share - 1);
        keep(pool, loan(share), start + 1s, start + 1min);
        auto const full = options.capacity(limit) * share;
        auto const most = granted(pool, start + 1min);
        CHECK(most <= full);
        CHECK(most >= limit.burst * share - 1);
    }
}

// Guards against a burst that is granted twice: shares that have been lent a
// moment ago earned the tokens of the time before at another pool.
TEST_CASE("a bucket first needed later earns from shares that were held") {
    quota_pool pool;
    auto const later = start + 1min;
    keep(pool, loan(0.01), start, later);
    pool.on_loan(other, loan(0.99), later);
    CHECK(granted(pool, later) <=
          0.01 * options.capacity(limit) + options.moving_gain());
}

TEST_CASE("unused shares fill a bucket once") {
    struct row {
        char const* guards;
        void (*happens)(quota_pool&, time_point);
    };
    row const rows[] = {
        {"a loan that expired and is renewed", [](quota_pool&, time_point) {}},
        {"a pool that forgot its loans in a pause",
         [](quota_pool& pool, time_point) { pool.forget_loans(); }},
        {"a share that the lender took back and lends again",
         [](quota_pool& pool, time_point now) {
             pool.on_loan(lender, {1, 0, 1, 0}, now);
         }},
        {"a lender that restarts with the settings of a new fleet",
         [](quota_pool& pool, time_point now) {
             pool.on_loan(lender, {2, 0, 1, 0}, now);
         }},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        quota_pool pool;
        pool.on_loan(lender, loan(1, true), start);
        REQUIRE(granted(pool, start) >= limit.burst);
        auto const again = start + validity;
        row.happens(pool, again);
        auto renewed = loan(1, true);
        renewed.incarnation = 2;
        pool.on_loan(lender, renewed, again);
        CHECK(granted(pool, again) <= options.moving_gain());
    }
}

// Guards against an unused share that each daemon of a growing fleet brings,
// beside what the ones before have granted.
TEST_CASE("a growing new fleet has one burst") {
    quota_pool pool;
    int all = 0;
    for (int fleet = 1; fleet <= 50; ++fleet) {
        for (int i = 0; i < fleet; ++i)
            pool.on_loan({std::to_string(i)}, loan(1.0 / fleet, true), start);
        all += granted(pool, start);
    }
    CHECK(all <= options.capacity(limit));
    CHECK(all >= limit.burst);
}

// Guards against a burst of the earlier limit after the limit was lowered.
TEST_CASE("a lowered quota cuts the bucket at once") {
    quota_pool pool;
    pool.on_loan(lender, loan(1, true), start);
    REQUIRE(pool.take(account, 0, limit, start).granted);
    constexpr quota lowered{1, 2};
    CHECK(granted(pool, start, lowered) <= options.capacity(lowered));
}

// Guards against callers that are told that their quota is used up by a pool
// that can't know it.
TEST_CASE("a pool decides only with most shares and after its start") {
    struct row {
        char const* guards;
        double share;
        duration held;
        bool expected;
    };
    row const rows[] = {
        {"no shares", 0, 10s, false},
        {"few shares", 0.49, 10s, false},
        {"half of the shares", 0.5, 10s, true},
        {"shares of a moment", 1, options.warm_up - 1ms, false},
        {"shares of some time", 1, options.warm_up, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        quota_pool pool;
        keep(pool, loan(row.share), start, start + row.held);
        granted(pool, start + row.held);
        auto const decision = pool.take(account, 0, limit, start + row.held);
        CHECK_FALSE(decision.granted);
        CHECK(decision.decided == row.expected);
    }
}

// Guards against callers that come back before there is a token, or much later.
TEST_CASE("a refusal names the time of the next token") {
    quota_pool pool;
    keep(pool, loan(1), start, start + 10s);
    auto now = start + 10s;
    granted(pool, now);
    auto const refused = pool.take(account, 0, limit, now);
    REQUIRE(refused.decided);
    CHECK_FALSE(
        pool.take(account, 0, limit, now + refused.retry_after - 1ms).granted);
    CHECK(
        pool.take(account, 0, limit, now + refused.retry_after + 1ms).granted);
}

// The oracle knows nothing of loans but who holds which share until when: all
// pools together must stay within the bound of every window.
TEST_CASE("pools grant no more than the bound, however shares move") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto const below = [&](std::uint64_t n) { return random() % n; };
        constexpr std::size_t lenders = 8;
        struct share {
            std::size_t pool = 0;
            time_point until{};
            bool unused = true;
        };
        std::vector<quota_pool> pools(3);
        std::vector<share> shares(lenders);
        std::vector<time_point> all;
        auto now = start;
        bool const new_fleet = below(2) == 0;
        for (int step = 0; step < 600; ++step) {
            now += std::chrono::milliseconds(below(60));
            auto const i = below(lenders);
            auto& one = shares[i];
            auto const pool = below(4) == 0 ? below(3) : one.pool;
            if (pool == one.pool || now >= one.until) {
                one.unused = one.unused && (pool == one.pool || step == 0);
                one.pool = pool;
                one.until = now + options.loan_hold;
                pools[pool].on_loan(
                    {std::to_string(i)},
                    loan(1.0 / lenders, new_fleet && one.unused), now);
            }
            if (below(100) == 0)
                pools[below(3)].forget_loans();
            auto const asked = below(3) == 0 ? below(120) : 0;
            for (std::uint64_t n = 0; n < asked; ++n)
                if (pools[below(3)].take(account, 0, limit, now).granted)
                    all.push_back(now);
        }
        auto const& bound = options.bound;
        auto const most =
            (limit.rate * to_seconds(bound.window) + limit.burst) *
                (1 + bound.overshoot) +
            bound.slack;
        for (std::size_t first = 0, end = 0; first < all.size(); ++first) {
            while (end < all.size() && all[end] <= all[first] + bound.window)
                ++end;
            RC_ASSERT(static_cast<double>(end - first) <= most);
        }
    }));
}

} // namespace yuccabeam::limits
