#include "yuccabeam/gateway/store_schedule.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

store_schedule copied_schedule() {
    store_schedule_options options;
    options.stale_first_listing = false;
    store_schedule out(options);
    auto const call = out.next(false, start);
    REQUIRE(call);
    REQUIRE(call->kind == store_call::list);
    out.on_answer(*call, true, start);
    return out;
}

} // namespace

TEST_CASE(
    "a daemon checks its copy with the store when no peer has confirmed it") {
    store_schedule_options const options;
    struct row {
        char const* guards;
        duration confirmed;
        duration now;
        bool checks;
    };
    row const rows[] = {
        {"a recently confirmed copy", 0ms, options.max_copy_age - 1ms, false},
        {"a copy that was not confirmed for max_copy_age", 0ms,
         options.max_copy_age, true},
        {"an old copy that a peer confirmed recently", 500ms,
         options.max_copy_age + 400ms, false},
        {"a confirmation older than the last one is ignored", -500ms,
         options.max_copy_age - 1ms, false},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        auto schedule = copied_schedule();
        schedule.on_confirmed(start + row.confirmed);
        auto const call = schedule.next(false, start + row.now);
        CHECK(call.has_value() == row.checks);
        if (call)
            CHECK(call->kind == store_call::check);
    }
}

// Guards against a paused process that takes what waited in its sockets for
// new.
TEST_CASE("an answer that is read after its call's timeout confirms the copy "
          "as of the start of the call") {
    store_schedule_options const options;
    struct row {
        char const* guards;
        duration read_after;
        duration confirmed_after;
    };
    row const rows[] = {
        {"an answer in time", 600ms, 600ms},
        {"an answer that waited during a pause", 5s, 0s},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        auto schedule = copied_schedule();
        auto const asked = start + 100ms;
        auto const call = schedule.next(true, asked);
        REQUIRE(call);
        schedule.on_answer(*call, false, asked + row.read_after);
        CHECK(schedule.confirmed_at() == asked + row.confirmed_after);
    }
}

// Guards against daemons that call the store without a pause during an outage,
// and against a fixed short timeout that a slow store can never meet.
TEST_CASE("failed checks are retried with backoff and longer timeouts") {
    store_schedule_options const options;
    auto schedule = copied_schedule();
    auto now = start + options.max_copy_age;
    auto timeout = options.check_timeout;
    int calls = 0;
    for (; now < start + 20s; now += 50ms) {
        auto const call = schedule.next(false, now);
        if (!call)
            continue;
        ++calls;
        CHECK(call->timeout >= timeout);
        timeout = call->timeout;
        schedule.on_failure(call->kind, now);
    }
    CHECK(timeout == options.list_timeout);
    CHECK(calls <= 25);
    CHECK(schedule.last_call_failed());
    schedule.on_answer({store_call::check, false, {}, 1s, now}, false, now);
    CHECK_FALSE(schedule.last_call_failed());
}

// Guards against a fleet whose daemons all wait for their next retry when the
// store returns.
TEST_CASE("daemons whose calls fail at the same moments don't retry at the "
          "same moments") {
    auto const time_of_retry = [](std::chrono::milliseconds delay) {
        store_schedule_options options;
        options.check_delay = delay;
        store_schedule schedule(options);
        schedule.next(false, start);
        // The first retry is immediate.
        schedule.on_failure(store_call::list, start);
        schedule.next(false, start);
        schedule.on_failure(store_call::list, start);
        auto now = start;
        while (!schedule.next(false, now))
            now += 10ms;
        return now - start;
    };
    CHECK(time_of_retry(max_check_delay) - time_of_retry(0ms) ==
          max_check_delay);
}

// Guards against timeouts and pauses whose sum exceeds the time in which a
// configuration has to be in force.
TEST_CASE("the timeouts from a change to the last daemon sum to at most 2 s") {
    store_schedule_options const options;
    constexpr std::chrono::milliseconds limit{2'000};
    constexpr std::chrono::milliseconds ticks_and_late_turns{250};
    constexpr std::chrono::milliseconds call_and_datagram{100};
    // Covers a lost confirmation and a first check that times out.
    CHECK(options.max_copy_age + max_check_delay + options.check_timeout +
              ticks_and_late_turns + call_and_datagram <=
          limit);
    // Watchers confirm the copies before other daemons check theirs.
    CHECK(options.watch_wait + ticks_and_late_turns < options.max_copy_age);
}
