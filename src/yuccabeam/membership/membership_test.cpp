#include "yuccabeam/membership/membership.hpp"
#include "yuccabeam/standins/simulated_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <tuple>

namespace yuccabeam::membership {

namespace {

using standins::simulated_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start_time{std::chrono::hours(1)};

member make(char const* id, incarnation start, std::uint32_t counter,
            member_status status) {
    member out{{id}, start, counter, status, {}, {}};
    if (status == member_status::alive)
        out.info = {{"fd"}, "127.0.0.1:1", "127.0.0.1:2", true};
    if (status == member_status::suspect)
        out.reporter = {"c"};
    return out;
}

// A daemon that receives `statements` about b from c, in this order.
state state_after(std::vector<member> const& statements) {
    state s(make("a", 1, 0, member_status::alive), {}, start_time);
    heartbeat beat{make("c", 1, 0, member_status::alive), {}, {}, {}};
    for (auto const& statement : statements) {
        beat.updates = {statement};
        s.receive(ping{1, beat}, {{"c"}, "127.0.0.1:3"}, start_time);
    }
    return s;
}

// Guards against an old update that overrides a newer one, and against a
// member that is declared dead before it could refute the suspicion.
TEST_CASE("the update with the highest incarnation, counter and status wins") {
    constexpr auto alive = member_status::alive;
    constexpr auto suspect = member_status::suspect;
    constexpr auto dead = member_status::dead;
    constexpr auto left = member_status::left;
    struct row {
        char const* name;
        member first, second;
        member_status status;
        incarnation start;
    };
    auto const b = [](incarnation start, std::uint32_t counter,
                      member_status status) {
        return make("b", start, counter, status);
    };
    row const rows[] = {
        {"suspicion", b(5, 0, alive), b(5, 0, suspect), suspect, 5},
        {"old alive", b(5, 0, suspect), b(5, 0, alive), alive, 5},
        {"refuted", b(5, 1, alive), b(5, 0, dead), alive, 5},
        {"unsuspected death", b(5, 0, alive), b(5, 0, dead), suspect, 5},
        {"leaving", b(5, 0, alive), b(5, 1, left), left, 5},
        {"return", b(5, 1, left), b(6, 0, alive), alive, 6},
        {"lower incarnation", b(5, 0, alive), b(4, 9, left), alive, 5},
        {"death of the earlier process", b(5, 0, alive), b(4, 9, dead), alive,
         5},
        {"death before birth", b(5, 0, dead), b(5, 0, alive), dead, 5},
        {"revival", b(5, 0, dead), b(5, 1, alive), alive, 5},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        auto const known = state_after({row.first, row.second}).find({"b"});
        REQUIRE(known);
        CHECK(known->status == row.status);
        CHECK(known->incarnation == row.start);
    }
}

// Guards against a daemon that can't rejoin because its clock went backwards,
// and against one that doesn't refute updates that declare it dead.
TEST_CASE("a daemon refutes false updates about itself") {
    struct row {
        member claim;
        incarnation start;
        std::uint32_t counter;
    };
    row const rows[] = {
        {make("a", 1, 0, member_status::suspect), 1, 1},
        {make("a", 1, 7, member_status::dead), 1, 8},
        {make("a", 9, 3, member_status::alive), 10, 0},
        {make("a", 0, 9, member_status::dead), 1, 0},
    };
    for (auto const& row : rows) {
        state const s = state_after({row.claim});
        CHECK(s.self().incarnation == row.start);
        CHECK(s.self().counter == row.counter);
    }
}

// Guards against updates that are retransmitted forever or overflow a datagram.
TEST_CASE("updates are retransmitted a bounded number of times") {
    update_queue queue;
    for (int i = 0; i < 50; ++i)
        queue.push(make(std::to_string(i).c_str(), 1, 0, member_status::dead));
    std::map<daemon_id, int> sent;
    for (int i = 0; i < 1000 && queue.size() > 0; ++i) {
        std::size_t used = 0;
        for (auto const& update : queue.take(200, 4, {"x"})) {
            used += encoded_size(update);
            ++sent[update.id];
        }
        CHECK(used <= 200);
    }
    CHECK(sent.size() == 50);
    for (auto const& [id, times] : sent)
        CHECK(times == 4);
}

// Guards against a round that skips a member or probes it twice while others
// join and leave.
TEST_CASE("each member is probed once in a round") {
    CHECK(rc::check([](std::uint64_t seed) {
        random_engine rng(seed);
        probe_order order;
        std::map<daemon_id, int> served;
        for (int i = 0; i < 20; ++i)
            order.add({std::to_string(i)});
        for (int i = 0; i < 10; ++i)
            ++served[*order.next(rng)];
        for (int i = 0; i < 20; i += 3) {
            order.remove({std::to_string(i)});
            served.erase({std::to_string(i)});
        }
        while (served.size() < order.size())
            RC_ASSERT(++served[*order.next(rng)] == 1);
    }));
}

// Guards against a paused daemon that suspects the peers whose acks are in its
// socket buffer, and against a stopped daemon that is not detected.
TEST_CASE("a pause causes no suspicion, a stopped daemon is detected") {
    for (bool const stops : {false, true}) {
        CAPTURE(stops);
        simulated_fleet fleet(5);
        for (std::size_t i = 0; i < 5; ++i)
            fleet.start(i, 1, {0, 1, 2, 3, 4});
        fleet.run_for(seconds(5));
        std::set<daemon_id> died;
        int blamed = 0;
        fleet.set_observer([&](std::size_t at, member_event const& e) {
            if (e.kind == event_kind::died)
                died.insert(e.member.id);
            blamed += at == 0 && e.kind == event_kind::suspected;
        });
        // High link latency, so that acks are in flight when a pause starts.
        fleet.set_link([](std::size_t, std::size_t, random_engine&) {
            return std::vector<duration>{milliseconds(120)};
        });
        if (stops)
            fleet.stop(0);
        // The intervals let the local health recover and vary the phase.
        for (int i = 0; i < 30; ++i) {
            fleet.pause(0, milliseconds(stops ? 0 : 2345));
            fleet.run_for(seconds(20) + milliseconds(37 * i));
        }
        CHECK(died ==
              (stops ? std::set<daemon_id>{{"vm-0"}} : std::set<daemon_id>{}));
        CHECK(blamed == 0);
    }
}

// Guards against flapping when messages between two daemons are lost in one
// direction. If other daemons reach both, no member may be suspected; without
// other daemons the two separate once and rejoin when the loss ends.
TEST_CASE("one-way message loss between two daemons causes no flapping") {
    for (std::size_t const size : {2U, 3U, 6U}) {
        CAPTURE(size);
        simulated_fleet fleet(size);
        std::vector<std::size_t> all;
        for (std::size_t i = 0; i < size; ++i)
            all.push_back(i);
        for (std::size_t i = 0; i < size; ++i)
            fleet.start(i, 1 + i, all);
        fleet.run_for(seconds(5));
        std::map<std::size_t, int> deaths;
        int suspicions = 0;
        fleet.set_observer([&](std::size_t at, member_event const& e) {
            deaths[at] += e.kind == event_kind::died;
            suspicions += e.kind == event_kind::suspected;
        });
        fleet.set_link([](std::size_t from, std::size_t to, random_engine&) {
            bool const cut = from == 0 && to == 1;
            return std::vector<duration>(cut ? 0 : 1, milliseconds(3));
        });
        fleet.run_for(seconds(600));
        CHECK(deaths[0] == (size == 2 ? 1 : 0));
        CHECK(deaths[1] == (size == 2 ? 1 : 0));
        CHECK(suspicions == (size == 2 ? 2 : 0));
        fleet.set_link([](std::size_t, std::size_t, random_engine&) {
            return std::vector<duration>{milliseconds(3)};
        });
        fleet.run_for(seconds(30));
        for (std::size_t i = 0; i < size; ++i)
            CHECK(fleet.view(i).size() == size - 1);
    }
}

/// Faults injected during one phase of a test run.
struct phase {
    int loss_percent;
    int duplicate_percent;
    int delay_ms; ///< maximum delay of a message; reorders messages
    std::vector<std::pair<std::size_t, std::size_t>> cuts;
    std::vector<std::size_t> stopped, restarted;
    int seconds;
};

phase draw_phase(std::size_t size) {
    auto const node = rc::gen::inRange<std::size_t>(0, size);
    auto const nodes =
        rc::gen::resize(2, rc::gen::container<std::vector<std::size_t>>(node));
    phase out;
    out.loss_percent = *rc::gen::inRange(0, 70);
    out.duplicate_percent = *rc::gen::inRange(0, 30);
    out.delay_ms = *rc::gen::inRange(1, 800);
    out.cuts = *rc::gen::resize(
        8, rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
               rc::gen::pair(node, node)));
    out.stopped = *nodes;
    out.restarted = *nodes;
    out.seconds = *rc::gen::inRange(1, 40);
    return out;
}

simulated_fleet::link faulty(phase const& faults) {
    return [faults](std::size_t from, std::size_t to, random_engine& rng) {
        std::uniform_int_distribution<int> percent(0, 99);
        std::uniform_int_distribution<int> delay(1, faults.delay_ms);
        std::vector<duration> copies;
        bool const cut = std::find(faults.cuts.begin(), faults.cuts.end(),
                                   std::pair(from, to)) != faults.cuts.end();
        if (cut || percent(rng) < faults.loss_percent)
            return copies;
        copies.emplace_back(milliseconds(delay(rng)));
        if (percent(rng) < faults.duplicate_percent)
            copies.emplace_back(milliseconds(delay(rng)));
        return copies;
    };
}

// Upper bound of the convergence time after the faults: local health recovers
// by one with each probe (9 + 8 + ... + 1 periods), each dead member is pinged
// once per round, and the member that stopped last is probed within a round
// and then suspected.
duration healing_bound(options const& settings, std::size_t size) {
    auto const health = settings.max_local_health + 1;
    return settings.probe_period * (health * (health + 1) / 2) +
           settings.dead_probe_period * size +
           settings.probe_period * 2 * size +
           settings.probe_period * 2 * settings.suspicion_factor *
               settings.suspicion_max_factor * 2;
}

// Guards against member lists that don't converge after faults, a live member
// that remains recorded as dead, and an incarnation that decreases.
TEST_CASE("after faults every member sees exactly the live members") {
    CHECK(rc::check([] {
        std::size_t const size = *rc::gen::inRange<std::size_t>(2, 10);
        standins::fleet_options settings;
        settings.seed = *rc::gen::arbitrary<std::uint64_t>();
        simulated_fleet fleet(size, settings);
        std::vector<std::size_t> all;
        for (std::size_t i = 0; i < size; ++i)
            all.push_back(i);
        incarnation clock = 1;
        using version = std::pair<incarnation, std::uint32_t>;
        std::map<std::pair<std::size_t, daemon_id>, version> last;
        fleet.set_observer([&](std::size_t at, member_event const& e) {
            version const now{e.member.incarnation, e.member.counter};
            auto& before = last[{at, e.member.id}];
            RC_ASSERT(now >= before);
            before = now;
        });
        auto const restart = [&](std::size_t i) {
            std::erase_if(last,
                          [&](auto const& e) { return e.first.first == i; });
            fleet.start(i, ++clock, all);
        };
        for (std::size_t i : all)
            restart(i);
        for (int n = *rc::gen::inRange(1, 5); n > 0; --n) {
            phase const faults = draw_phase(size);
            fleet.set_link(faulty(faults));
            for (std::size_t i : faults.stopped)
                fleet.stop(i);
            for (std::size_t i : faults.restarted)
                restart(i);
            fleet.run_for(seconds(faults.seconds));
        }
        fleet.set_link(faulty({0, 0, 5, {}, {}, {}, 0}));
        fleet.run_for(healing_bound(settings.membership, size));
        for (std::size_t i : all) {
            std::vector<daemon_id> live;
            for (std::size_t other : all)
                if (other != i && fleet.is_running(other))
                    live.push_back(simulated_fleet::name(other));
            if (fleet.is_running(i))
                RC_ASSERT(fleet.view(i) == live);
        }
    }));
}

} // namespace
} // namespace yuccabeam::membership
