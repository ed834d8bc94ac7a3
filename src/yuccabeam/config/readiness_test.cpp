#include "yuccabeam/config/readiness.hpp"

#include <doctest/doctest.h>

namespace yuccabeam::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

peer_status answered(bool ready, revision at) {
    return {{"p"}, true, false, ready, at};
}
peer_status const failed{{"q"}, false, true, false, 0};
peer_status const silent{{"s"}, false, false, false, 0};

// Guards against a daemon that serves an old configuration after its start,
// and against a fleet that can't start while the store is down.
TEST_CASE("readiness after a start") {
    struct row {
        char const* name;
        store_status store;
        revision head;
        milliseconds since_start;
        bool vm_list_known;
        std::vector<peer_status> peers;
        revision applied;
        bool ready;
        revision needed;
    };
    auto const up = store_status::answered;
    auto const down = store_status::down;
    auto const s1 = milliseconds(1000);
    row const rows[] = {
        {"store and own copy agree", up, 5, s1, true, {}, 5, true, 5},
        {"the wait for peers has not ended",
         up,
         5,
         milliseconds(999),
         true,
         {},
         5,
         false,
         5},
        {"a peer is ahead of a lagging store",
         up,
         5,
         s1,
         true,
         {answered(true, 6)},
         5,
         false,
         6},
        {"a peer that is not ready also counts",
         up,
         5,
         s1,
         true,
         {answered(false, 6)},
         5,
         false,
         6},
        {"nothing accepted yet", up, 0, s1, true, {}, 0, false, 0},
        {"the store has not answered yet",
         store_status::not_asked,
         0,
         seconds(9),
         true,
         {answered(true, 5)},
         5,
         false,
         5},
        {"store down, all members settled",
         down,
         0,
         s1,
         true,
         {answered(true, 5), failed},
         5,
         true,
         5},
        {"store down, own copy is older",
         down,
         0,
         s1,
         true,
         {answered(true, 5), failed},
         4,
         false,
         5},
        {"store down, a member has not answered",
         down,
         0,
         milliseconds(4999),
         true,
         {answered(true, 5), silent},
         5,
         false,
         5},
        {"store down, a member does not answer in time",
         down,
         0,
         seconds(5),
         true,
         {answered(true, 5), silent},
         5,
         true,
         5},
        {"store down, VM list unknown",
         down,
         0,
         milliseconds(4999),
         false,
         {answered(true, 5)},
         5,
         false,
         5},
        {"store down, no peer is ready",
         down,
         0,
         seconds(60),
         true,
         {answered(false, 5), failed},
         5,
         false,
         5},
        {"store down, no peers", down, 0, seconds(60), true, {}, 5, false, 0},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        time_point const start{seconds(100)};
        auto const decision = decide_readiness(
            {start, start + row.since_start, row.store, row.head,
             row.vm_list_known, row.peers, row.applied});
        CHECK(decision.ready == row.ready);
        CHECK(decision.needed == row.needed);
        CHECK(!decision.reason.empty());
    }
}

// Guards against daemons that leave too early, together, or not at all.
TEST_CASE("a daemon is isolated only without contact to both store and peers") {
    time_point const start{seconds(100)};
    contacts const none{{}, {}, start};
    contacts const heard{start + seconds(10), start + seconds(2), start};
    CHECK(!is_isolated(none, start + seconds(24), 0.0));
    CHECK(is_isolated(none, start + seconds(25), 0.0));
    CHECK(!is_isolated(none, start + seconds(35), 0.999));
    CHECK(is_isolated(none, start + seconds(37), 0.999));
    CHECK(!is_isolated(heard, start + seconds(40), 0.5));
    CHECK(is_isolated(heard, start + seconds(41), 0.5));
}

// Guards against a whole isolated fleet that leaves the load balancer, or
// remains in it.
TEST_CASE("a third of an isolated fleet stays, at least one daemon") {
    std::vector<daemon_id> fleet;
    for (std::size_t size = 1; size <= 40; ++size) {
        fleet.push_back({"daemon-" + std::to_string(size)});
        std::size_t staying = 0;
        for (auto const& self : fleet)
            staying += stays_when_isolated(self, fleet);
        CHECK(staying == (size + 2) / 3);
    }
    CHECK(stays_when_isolated({"alone"}, {}));
}

} // namespace
} // namespace yuccabeam::config
