#include "yuccabeam/limits/quota_lender.hpp"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <rapidcheck.h>

namespace yuccabeam::limits {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};
constexpr duration hold = quota_options{}.loan_hold;
constexpr slot_set first_slot = slot_bit(0);
daemon_id const one{"10.0.0.1:7"};
daemon_id const two{"10.0.0.2:7"};

quota_lender lender(bool new_fleet = false) {
    quota_lender out({}, 5, start, new_fleet);
    out.on_fleet_size(1);
    return out;
}

} // namespace

// Guards against shares that an earlier process of the daemon has lent, and
// against shares that are too large as the fleet isn't known yet.
TEST_CASE("a lender lends nothing for the time of a loan after its start") {
    for (bool const new_fleet : {false, true}) {
        CAPTURE(new_fleet);
        auto lent = lender(new_fleet);
        CHECK(lent.lend(one, first_slot, start).slots == 0);
        CHECK(lent.lend(one, first_slot, start + hold - 1ns).slots == 0);
        CHECK(lent.lend(one, first_slot, start + hold).slots == first_slot);
    }
}

// Guards against daemons that restart at once, don't know of each other yet and
// each lend the whole quota.
TEST_CASE("a lender lends nothing before it knows the fleet") {
    quota_lender lent({}, 5, start, false);
    auto const begin = start + 10 * hold;
    CHECK(lent.lend(one, first_slot, begin).slots == 0);
    CHECK(lent.lend(one, first_slot, begin).share == 0);
    lent.on_fleet_size(40);
    CHECK(lent.lend(one, first_slot, begin).slots == first_slot);
    CHECK(lent.lend(one, first_slot, begin).share == 1.0 / 40);
}

TEST_CASE("a share goes to another pool only after the loan or its release") {
    struct row {
        char const* guards;
        duration renewed; ///< after the first loan
        std::optional<duration> released;
        daemon_id releasing;
        duration asked;
        bool expected;
    };
    row const rows[] = {
        {"a share at two pools", 0ms, {}, one, hold - 1ns, false},
        {"a share that stays unused", 0ms, {}, one, hold, true},
        {"a renewal that isn't counted", 300ms, {}, one, hold, false},
        {"a share held after its renewal", 300ms, {}, one, 300ms + hold, true},
        {"a stopping pool that blocks its shares", 300ms, 400ms, one, 400ms,
         true},
        {"a release of a pool that holds nothing", 300ms, 400ms, two, 400ms,
         false},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        auto lent = lender();
        auto const begin = start + hold;
        REQUIRE(lent.lend(one, first_slot, begin).slots == first_slot);
        REQUIRE(lent.lend(one, first_slot, begin + row.renewed).slots ==
                first_slot);
        if (row.released)
            lent.on_released(row.releasing, begin + *row.released);
        auto const moved = lent.lend(two, first_slot, begin + row.asked);
        CHECK((moved.slots == first_slot) == row.expected);
    }
}

// Guards against a lender whose share grows while others are out of its sight.
TEST_CASE("a share shrinks with the fleet and never grows") {
    auto lent = lender();
    lent.on_fleet_size(40);
    CHECK(lent.lend(one, first_slot, start + hold).share == 1.0 / 40);
    lent.on_fleet_size(3);
    CHECK(lent.lend(one, first_slot, start + hold).share == 1.0 / 40);
}

// Guards against a burst that is granted again as its shares change pools.
TEST_CASE("a share of a new fleet is unused until it moves") {
    auto lent = lender(true);
    auto const begin = start + hold;
    CHECK(lent.lend(one, first_slot, begin).unused == first_slot);
    CHECK(lent.lend(one, first_slot, begin + 300ms).unused == first_slot);
    auto const moved = lent.lend(two, first_slot, begin + 300ms + hold);
    CHECK(moved.slots == first_slot);
    CHECK(moved.unused == 0);
    CHECK(lent.lend(one, first_slot, begin + 300ms + 2 * hold).unused == 0);
    CHECK(lender(false).lend(one, first_slot, begin).unused == 0);
}

// Guards against a share that two pools may count at once, whatever is asked
// in which order.
TEST_CASE("a share is at one pool within the time of a loan, in any order") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto lent = lender(random() % 2 == 0);
        daemon_id const pools[] = {one, two, {"10.0.0.3:7"}};
        struct last_loan {
            std::size_t pool = 0;
            time_point sent{start};
            bool released = false;
        };
        std::map<std::size_t, last_loan> last;
        auto now = start;
        for (int step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds(random() % 400);
            auto const pool = random() % 3;
            if (random() % 8 == 0) {
                lent.on_released(pools[pool], now);
                for (auto& [slot, loan] : last)
                    loan.released |= loan.pool == pool;
                continue;
            }
            slot_set const wanted = random() & random();
            auto const loan = lent.lend(pools[pool], wanted, now);
            RC_ASSERT((loan.slots & ~wanted) == 0U);
            for (std::size_t slot = 0; slot < quota_slots; ++slot) {
                if ((wanted & slot_bit(slot)) == 0)
                    continue;
                bool const is_lent = (loan.slots & slot_bit(slot)) != 0;
                auto const known = last.find(slot);
                bool const allowed = known == last.end()
                                         ? now >= start + hold
                                         : known->second.pool == pool ||
                                               known->second.released ||
                                               now >= known->second.sent + hold;
                RC_ASSERT(is_lent == allowed);
                if (is_lent)
                    last[slot] = {pool, now, false};
            }
        }
    }));
}

} // namespace yuccabeam::limits
