#include "yuccabeam/health/budget.hpp"
#include "yuccabeam/health/support.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace yuccabeam;
using namespace yuccabeam::health;
using namespace std::chrono_literals;

namespace {

time_point at(duration offset) {
    return time_point{100s} + offset;
}

} // namespace

TEST_CASE("shares of any division of the supporters never exceed the budget") {
    CHECK(rc::check([](std::vector<std::uint8_t> const& groups) {
        std::uint32_t homes = *rc::gen::inRange(0U, 5U); // support no arbiter
        for (auto const size : groups)
            homes += size;
        auto const budget = *rc::gen::inRange(0U, 300U);
        std::uint32_t sum = 0;
        for (auto const size : groups)
            sum += permitted_slots(budget, size, homes);
        RC_ASSERT(sum <= budget);
    }));
    CHECK(permitted_slots(30, 36, 36) == 30);
    CHECK(permitted_slots(30, 35, 36) == 30); // a majority rounds up
    CHECK(permitted_slots(30, 18, 36) == 15);
    CHECK(permitted_slots(30, 1, 36) == 0);
    CHECK(ejection_budget(50, 60) == 0);
}

TEST_CASE("support is exclusive, also after a restart") {
    support_lease lease(6s, at(0s));
    CHECK_FALSE(lease.try_commit({"a"}, at(5900ms))); // earlier incarnation
    CHECK(lease.try_commit({"a"}, at(6s)));
    CHECK_FALSE(lease.try_commit({"b"}, at(8s)));
    CHECK(lease.try_commit({"a"}, at(10s))); // renews
    CHECK_FALSE(lease.try_commit({"b"}, at(15900ms)));
    CHECK(lease.try_commit({"b"}, at(16s)));
    CHECK_FALSE(lease.try_commit({"a"}, at(17s)));
}

TEST_CASE("a delayed report does not extend support beyond the commitment") {
    supporter_tracker tracker(grant_options{});
    for (auto second = 0; second <= 6; second += 2)
        tracker.record({"d"}, 1, at(std::chrono::seconds(second)),
                       at(std::chrono::seconds(second)));
    CHECK(tracker.effective_count(at(6s)) == 1);
    // Sent after the table of 7 s, received at 11 s: ends at 13 s, not 17 s.
    tracker.record({"d"}, 1, at(7s), at(11s));
    CHECK(tracker.effective_count(at(12900ms)) == 1);
    CHECK(tracker.effective_count(at(13100ms)) == 0);
    // Received after its commitment ended.
    tracker.record({"d"}, 1, at(12s), at(19s));
    CHECK(tracker.committed_count(at(19s)) == 0);
}

TEST_CASE("support counts only when the previous arbiter's grants ended") {
    struct row {
        duration time;
        std::uint32_t counted;
    };
    supporter_tracker tracker(grant_options{});
    for (auto second = 0; second <= 8; ++second)
        tracker.record({"d"}, 1, at(std::chrono::seconds(second)),
                       at(std::chrono::seconds(second)));
    for (auto const& [time, counted] :
         std::vector<row>{{4400ms, 0}, {4500ms, 1}, {14s, 1}, {14100ms, 0}})
        CHECK(tracker.effective_count(at(time)) == counted);
    // After a gap, and for a new incarnation, the waiting time starts again.
    tracker.record({"d"}, 1, at(15s), at(15s));
    CHECK(tracker.effective_count(at(19s)) == 0);
    CHECK(tracker.effective_count(at(20s)) == 1);
    tracker.record({"d"}, 2, at(20s), at(20s));
    CHECK(tracker.effective_count(at(21s)) == 0);
}
