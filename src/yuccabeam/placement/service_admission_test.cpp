#include "yuccabeam/placement/service_admission.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr service_room full_room{.slots = 10,
                                 .in_flight = 12,
                                 .own = 12,
                                 .targets = 4,
                                 .used = 4,
                                 .service_time = 100ms};

limits::queue_entry entry(limits::entry_id id, duration time_left = 2s) {
    return {id, {"a"}, 1, priority::normal, start + time_left, 100ms};
}

bool goes(std::vector<limits::queue_action> const& actions,
          limits::entry_id id) {
    return std::ranges::find(
               actions, limits::queue_action(limits::dispatch_entry{id})) !=
           actions.end();
}

} // namespace

TEST_CASE("requests go at once while there is room or doubt") {
    struct room_case {
        char const* what;
        service_room room;
        bool goes;
    };
    auto with = [](auto change) {
        auto room = full_room;
        change(room);
        return room;
    };
    room_case const cases[] = {
        {"full", full_room, false},
        {"a free slot", with([](auto& r) { r.in_flight = r.own = 9; }), true},
        {"no usable target", with([](auto& r) { r.slots = 0; }), true},
        {"a target without requests", with([](auto& r) { r.used = 3; }), true},
        {"this daemon is below its share", with([](auto& r) {
             r.own = 2;
             r.share = 0.5;
         }),
         true},
        {"this daemon is above its share", with([](auto& r) {
             r.own = 8;
             r.share = 0.5;
         }),
         false}};
    for (auto const& c : cases) {
        CAPTURE(std::string(c.what));
        service_admission admission;
        CHECK(goes(admission.arrive(entry(1), c.room, start), 1) == c.goes);
        CHECK(admission.queued() == (c.goes ? 0 : 1));
    }
}

// Guards against requests that are kept while most targets get none, since the
// healthy ones among them have room.
TEST_CASE("all requests go when targets stay without any") {
    service_admission admission;
    admission.arrive(entry(1), full_room, start);
    admission.arrive(entry(2), full_room, start);
    auto unused = full_room;
    unused.used = 2;
    std::vector<limits::queue_action> gone;
    for (auto at = start; at < start + 1s; at += 10ms)
        for (auto const& action : admission.look(unused, at))
            gone.push_back(action);
    CHECK(admission.queued() == 0);
    CHECK(gone.size() == 2);
}

// Guards against a caller that is told to return at once or never.
TEST_CASE("a refused request is told the time that the queue needs") {
    service_admission admission;
    auto const first = admission.retry_after(full_room);
    for (limits::entry_id id = 1; id <= 50; ++id)
        admission.arrive(entry(id), full_room, start);
    CHECK(admission.queued() == 50);
    CHECK(first < admission.retry_after(full_room));
    // 51 requests in 10 slots of 100 ms.
    CHECK(admission.retry_after(full_room) == 510ms);
}

TEST_CASE("a shortage ends when no request had to wait for a while") {
    service_admission admission;
    admission.arrive(entry(1), full_room, start);
    CHECK(admission.short_of_room());
    CHECK(admission.cancel(1));
    CHECK_FALSE(admission.cancel(1));
    admission.look(full_room, start + 500ms);
    CHECK(admission.short_of_room());
    admission.look(full_room, start + 1s);
    CHECK_FALSE(admission.short_of_room());
}
