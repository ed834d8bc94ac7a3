#include "yuccabeam/gateway/store_availability.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

available_period period(duration since, duration until) {
    return {start + since, start + until};
}

} // namespace

TEST_CASE("two periods are united unless an outage lies between them") {
    struct row {
        char const* guards;
        available_period a;
        available_period b;
        available_period expected;
    };
    row const rows[] = {
        {"periods that overlap", period(0s, 5s), period(3s, 9s),
         period(0s, 9s)},
        {"one period within the other", period(0s, 9s), period(3s, 5s),
         period(0s, 9s)},
        {"a gap in which no entry expires", period(0s, 5s), period(6s, 9s),
         period(0s, 9s)},
        {"an outage", period(0s, 5s), period(7s, 9s), period(7s, 9s)},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        CHECK(merge(row.a, row.b, 2s) == row.expected);
        CHECK(merge(row.b, row.a, 2s) == row.expected);
    }
}

// Guards against an outage that one daemon concludes from its own failed calls.
TEST_CASE("a daemon that the store doesn't answer knows of no outage while its "
          "peers report answers") {
    store_availability known;
    known.on_answer(start);
    for (duration at = 500ms; at <= 8s; at += 500ms)
        known.on_period(period(0s, at - 100ms));
    CHECK(known.returned_at(start + 8s) == start);
    known.on_answer(start + 8s);
    CHECK(known.period() == period(0s, 8s));
}

TEST_CASE("a peer's report shows that an apparent outage was none") {
    store_availability known;
    known.on_answer(start);
    known.on_answer(start + 8s);
    CHECK(known.returned_at(start + 8s) == start + 8s);
    known.on_period(period(-60s, 7s));
    CHECK(known.returned_at(start + 8s) == start - 60s);
}

TEST_CASE("a change that arrives after a time without answers ends an outage") {
    store_availability_options options;
    options.target_heartbeat = 1'500ms;
    store_availability known(options);
    CHECK_FALSE(known.returned_at(start));
    known.on_answer(start);
    CHECK(known.returned_at(start + 1s) == start);
    CHECK(known.returned_at(start + 5s) == start + 5s);
}

TEST_CASE("the shortest outage is longer than the time between two answers, "
          "however often targets write") {
    for (auto const heartbeat : {100ms, 1'000ms, 1'500ms, 10'000ms}) {
        store_availability_options options;
        options.target_heartbeat = heartbeat;
        // An entry expires after two intervals at the earliest.
        CHECK(shortest_outage(options) <=
              std::max<duration>(2 * heartbeat, 2s));
        CHECK(shortest_outage(options) >= 1'750ms);
    }
}

// Guards against knowledge that depends on the order in which reports arrive.
TEST_CASE("daemons that hear the same answers in any order know the same "
          "period") {
    CHECK(rc::check([] {
        constexpr duration shortest = 2s;
        auto times =
            *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 40));
        RC_PRE(!times.empty());
        // The last run of answers without a pause of the shortest outage.
        time_point const last = start + *times.rbegin() * 500ms;
        auto since = last;
        for (auto at = times.rbegin(); at != times.rend(); ++at) {
            time_point const answer = start + *at * 500ms;
            if (since - answer < shortest)
                since = answer;
        }
        std::vector<int> in_order(times.begin(), times.end());
        auto known = period(0s, 0s);
        bool first = true;
        for (auto const at : in_order) {
            auto const one = period(at * 500ms, at * 500ms);
            known = first ? one : merge(known, one, shortest);
            first = false;
        }
        RC_ASSERT(known == (available_period{since, last}));
        // A peer that heard only a part reports it later.
        auto const part = *rc::gen::inRange<std::size_t>(0, in_order.size());
        auto heard = period(in_order[part] * 500ms, in_order[part] * 500ms);
        for (std::size_t i = part; i < in_order.size(); ++i)
            heard =
                merge(heard, period(in_order[i] * 500ms, in_order[i] * 500ms),
                      shortest);
        RC_ASSERT(merge(known, heard, shortest) == known);
        RC_ASSERT(merge(heard, known, shortest) == known);
    }));
}
