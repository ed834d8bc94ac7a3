#include "fleet_sim.hpp"
#include "yuccabeam/health/service_health.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::health;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

struct observer {
    explicit observer(std::uint32_t floor_slots = 0)
        : health({{"d1"}, 7, {"z1"}}, test::make_topology(4, floor_slots), {},
                 start) {
        health.choose_arbiter({"d0"}, 3);
    }

    evidence_report report(time_point now) { return *health.report(now); }

    ejection_table table(std::uint64_t answered, std::uint64_t sequence) {
        ejection_table table;
        table.service = "ledger";
        table.arbiter = "d0";
        table.incarnation = 1;
        table.sequence = sequence;
        table.receiver = "d1";
        table.receiver_incarnation = 7;
        table.report_sequence = answered;
        return table;
    }

    ejection_table ejecting(std::uint64_t answered, std::uint64_t sequence,
                            std::vector<std::string> const& names) {
        auto out = table(answered, sequence);
        for (auto const& name : names) {
            grant item;
            item.target = name;
            item.hold_ms = 5000;
            out.grants.push_back(item);
        }
        return out;
    }

    target_state state(std::uint32_t target, time_point now) const {
        return health.status(target, now).state;
    }

    service_health health;
};

} // namespace

TEST_CASE("a grant is valid for 4 s from the report that it answers") {
    observer me;
    auto const report = me.report(start);
    CHECK(me.health.apply(me.ejecting(report.sequence, 1, {"ta"}), start + 3s));
    CHECK(me.state(0, start + 3900ms) == target_state::ejected);
    CHECK(me.state(0, start + 4s) == target_state::suspect);
    CHECK(me.health.status(0, start + 4s).reason == state_reason::grant_lapsed);
    CHECK(me.state(0, start + 14s) == target_state::healthy);
}

TEST_CASE("tables that fail the fencing check change nothing") {
    struct row {
        std::string what;
        void (*spoil)(ejection_table&);
    };
    for (auto const& row : std::vector<row>{
             {"another receiver", [](auto& t) { t.receiver = "d2"; }},
             {"my earlier incarnation",
              [](auto& t) { t.receiver_incarnation = 6; }},
             {"a report never sent", [](auto& t) { t.report_sequence = 99; }},
             {"another arbiter than the report's",
              [](auto& t) { t.arbiter = "d9"; }},
             {"an older sequence", [](auto& t) { t.sequence = 5; }},
             {"an older incarnation",
              [](auto& t) {
                  t.incarnation = 0;
                  t.sequence = 9;
              }},
             {"another service", [](auto& t) { t.service = "stock"; }}}) {
        CAPTURE(row.what);
        observer me;
        auto const report = me.report(start);
        CHECK(me.health.apply(me.table(report.sequence, 5), start));
        auto table = me.ejecting(report.sequence, 6, {"ta"});
        row.spoil(table);
        CHECK_FALSE(me.health.apply(table, start));
        CHECK(me.state(0, start) == target_state::healthy);
    }
    observer me;
    auto const report = me.report(start);
    CHECK_FALSE(
        me.health.apply(me.ejecting(report.sequence, 1, {"ta"}), start + 4s));
}

TEST_CASE("an ejection below this daemon's floor is refused") {
    observer me(12); // 4 targets of 6 slots
    auto const report = me.report(start);
    me.health.apply(me.ejecting(report.sequence, 1, {"ta", "tb", "tc"}), start);
    CHECK(me.state(0, start) == target_state::ejected);
    CHECK(me.state(1, start) == target_state::ejected);
    CHECK(me.state(2, start) == target_state::suspect);
    CHECK(me.health.status(2, start).reason == state_reason::local_floor);
    CHECK(me.health.healthy_slots(start) == 12);
    // A leaving target reduces the capacity: one ejection is withdrawn.
    me.health.mark_leaving(3, start);
    CHECK(me.health.healthy_slots(start) == 12);
    CHECK(me.state(1, start) == target_state::suspect);
}

TEST_CASE(
    "a grant for another failure domain reduces the local capacity only") {
    observer me(18);
    auto const report = me.report(start);
    auto table = me.ejecting(report.sequence, 1, {"ta", "tb"});
    table.grants[0].scope = "z0";
    me.health.apply(table, start);
    CHECK(me.state(0, start) == target_state::healthy);
    CHECK(me.state(1, start) == target_state::suspect); // floor
}

TEST_CASE("local failures make a target suspect for a while only") {
    observer me;
    (void)me.health.report(start);
    struct row {
        request_outcome outcome;
        int count;
        target_state state;
    };
    std::uint32_t target = 0;
    for (auto const& [outcome, count, state] : std::vector<row>{
             {request_outcome::refused, 1, target_state::suspect},
             {request_outcome::server_error, 1, target_state::healthy},
             {request_outcome::caller_error, 9, target_state::healthy}}) {
        for (auto i = 0; i < count; ++i)
            me.health.observe({target, 0, outcome, 1ms, 1}, start);
        CHECK(me.state(target, start) == state);
        CHECK(me.state(target, start + 11s) == target_state::healthy);
        ++target;
    }
    // A failure moves the next report forward to 250 ms after the last one.
    CHECK(me.health.report_due() <= start + 250ms);
    auto const report = me.health.report(start + 250ms);
    REQUIRE(report.has_value());
    CHECK(report->windows.size() == 2);
}

TEST_CASE("while most targets look bad here, none is suspect") {
    observer me;
    for (std::uint32_t i = 0; i < 3; ++i)
        me.health.observe({i, 0, request_outcome::refused, 1ms, 1}, start);
    CHECK(me.health.degraded(start));
    CHECK(me.state(0, start) == target_state::healthy);
}

TEST_CASE("unanswered windows are sent again, answered ones are not") {
    observer me;
    me.health.observe({0, 0, request_outcome::timeout, 1s, 1}, start);
    auto const first = me.report(start);
    CHECK(first.windows.size() == 1);
    auto const again = me.report(start + 2s);
    CHECK(again.windows.size() == 1);
    CHECK(again.windows[0].age == 2);
    me.health.apply(me.table(again.sequence, 1), start + 2s);
    CHECK(me.report(start + 4s).windows.empty());
}

TEST_CASE("one trial at a time, by the named daemon, at the given rate") {
    observer me;
    auto const report = me.report(start);
    auto table = me.ejecting(report.sequence, 1, {"ta", "tb"});
    for (auto& item : table.grants) {
        item.hold_ms = 0;
        item.trial_daemon = "d1";
        item.trial_round = 3;
        item.trial_interval_ms = 500;
    }
    table.grants[1].trial_daemon = "d2";
    me.health.apply(table, start);
    CHECK_FALSE(me.health.try_start_trial(1, start));
    REQUIRE(me.health.try_start_trial(0, start));
    CHECK_FALSE(me.health.try_start_trial(0, start + 600ms)); // in flight
    observation good{0, 0, request_outcome::ok, 1ms, 1};
    good.trial = true;
    me.health.observe(good, start + 100ms);
    CHECK_FALSE(me.health.try_start_trial(0, start + 400ms)); // rate
    CHECK_FALSE(me.health.target_to_probe(start + 1400ms).has_value());
    CHECK(me.health.target_to_probe(start + 1500ms) == 0U);
    CHECK(me.report(start + 1s).trials ==
          std::vector<trial_progress>{{"ta", 3, 1, false}});
}

TEST_CASE("a returning target's weight rises, and leaving ends work at once") {
    observer me;
    auto const report = me.report(start);
    auto table = me.table(report.sequence, 1);
    table.returning.push_back({"ta", "", 1000});
    me.health.apply(table, start);
    auto const status = me.health.status(0, start);
    CHECK(status.state == target_state::slow_start);
    CHECK(status.weight == doctest::Approx(0.19));
    CHECK(me.health.status(0, start + 4s).weight == doctest::Approx(0.55));
    CHECK(me.state(0, start + 9s) == target_state::healthy);
    me.health.mark_leaving(0, start);
    CHECK(me.state(0, start) == target_state::leaving);
    CHECK(me.report(start + 1s).leaving == std::vector<std::string>{"ta"});
    me.health.clear_leaving(0, start + 2s);
    CHECK(me.state(0, start + 2s) == target_state::slow_start);
}

TEST_CASE("a new configuration keeps the state of targets that stay") {
    observer me;
    auto const report = me.report(start);
    me.health.apply(me.ejecting(report.sequence, 1, {"tb"}), start);
    auto topology = test::make_topology(5, 0);
    topology.targets.erase(topology.targets.begin());
    me.health.configure(topology, {}, start);
    CHECK(me.state(0, start) == target_state::ejected); // tb
    CHECK(me.state(1, start) == target_state::healthy);
    CHECK(me.health.status(3, start).reason == state_reason::added); // te
}

TEST_CASE("an explanation names rule, evidence and what would change it") {
    observer me;
    auto const report = me.report(start);
    auto table = me.ejecting(report.sequence, 1, {"ta"});
    table.grants[0].evidence = {"failures", "deposit", 20, 9, 4, 19500, 19400};
    me.health.apply(table, start);
    auto const text = me.health.explain(0, start);
    CHECK(text.status.state == target_state::ejected);
    CHECK(text.arbiter == daemon_id{"d0"});
    CHECK(text.rule.find("9 of 20 requests") != std::string::npos);
    CHECK(text.change.find("5 s") != std::string::npos);
}
