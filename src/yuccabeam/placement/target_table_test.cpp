#include "target_table_fixture.hpp"

#include <doctest/doctest.h>
#include <functional>

using namespace yuccabeam;
using namespace yuccabeam::placement;

TEST_CASE("a leaving target gets no new requests, even as the last one") {
    target_table table({"a"}, 1);
    auto list = targets_named({"t1"});
    table.replace(list, start);
    list[0].leaving = true;
    table.replace(list, start + 1s);
    CHECK(chosen(table, wants(false), start + 1s).empty());
}

TEST_CASE("a target whose entry vanished gets no requests after the limit for "
          "leaving targets, with or without an outage of the store") {
    for (bool const outage : {false, true}) {
        CAPTURE(outage);
        target_table_options options;
        options.leaving_limit = 2s;
        target_table table({"a"}, 1, options);
        table.replace(targets_named({"t1"}), start);
        table.replace({}, start + 1s, after_outage(outage, start + 1s));
        CHECK(chosen(table, wants(false), start + 1s) == ids{"t1"});
        CHECK(chosen(table, wants(false), start + 1s + 1950ms).empty());
    }
}

TEST_CASE("many entries that expire in an outage do not change the choice, a "
          "few do") {
    struct row {
        char const* guards;
        std::vector<std::string> left;
        bool outage;
        ids expected;
    };
    row const rows[] = {
        {"many leases that expire in an outage",
         {"t3"},
         true,
         {"t1", "t2", "t3"}},
        {"one target that leaves in an outage",
         {"t1", "t2"},
         true,
         {"t1", "t2"}},
        {"many targets that vanish at once while the store is available",
         {"t3"},
         false,
         {"t3"}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        target_table table({"a"}, 1);
        table.replace(targets_named({"t1", "t2", "t3"}), start);
        table.replace(targets_named(row.left), start + 1s,
                      after_outage(row.outage, start + 1s));
        CHECK(chosen(table, wants(false), start + 1s) == row.expected);
    }
}

TEST_CASE("a single target whose loss becomes known late is dropped within "
          "the limit that runs from the loss") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1"}), start);
    // The loss at 1 s becomes known 1 s later, as after a truncated history.
    table.replace({}, start + 2s, after_outage(true, start + 2s));
    CHECK(chosen(table, wants(false), start + 1s + 1950ms).empty());
}

TEST_CASE(
    "one failure keeps non-idempotent requests away for seconds, not forever") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2", "t3", "t4"}), start);
    table.on_start({"t1"}, start);
    auto const notice =
        table.on_end({"t1"}, attempt_outcome::reset, start, start);
    REQUIRE(notice);
    CHECK(notice->kind == notice_kind::failed);
    ids const others{"t2", "t3", "t4"};
    auto const tried_at = start + target_table_options{}.max_idle_failing;
    auto now = start;
    for (; now < tried_at; now += 100ms) {
        CAPTURE(to_milliseconds(now - start));
        CHECK(sharing(table, wants(false), now, 3) == others);
    }
    CHECK(sharing(table, wants(false), now, 1) == ids{"t1"});
    CHECK(sharing(table, wants(false), now, 3) == others);
    CHECK(sharing(table, wants(false), start + 15s) ==
          ids{"t1", "t2", "t3", "t4"});
}

TEST_CASE("when the queues of the other targets exceed the remaining time, the "
          "suspected target that is least likely to fail is chosen too") {
    struct row {
        char const* guards;
        bool idempotent;
        std::uint32_t at_rest; ///< in-flight requests at the healthy target
        ids expected;
    };
    row const rows[] = {
        {"slots are free", false, 3, {"t3"}},
        {"a short wait", false, 8, {"t3"}},
        {"longer than the objective", false, 28, {"t1"}},
        {"idempotent, slots are free", true, 3, {"t3"}},
        {"idempotent, longer than the objective", true, 28, {"t1"}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        target_table table({"a"}, 1);
        table.replace(targets_named({"t1", "t2", "t3"}), start);
        table.loads().on_answer({"svc"}, {500ms, false, false, 0});
        table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start);
        table.on_peer_notice({{"t2"}, 1, notice_kind::failed}, start + 1s);
        // No trial is due.
        auto const now = start + 1'400ms;
        load(table, "t3", row.at_rest, now);
        CHECK(chosen(table, wants(row.idempotent), now) == row.expected);
    }
}

TEST_CASE("a request with little time left goes to a target that may still "
          "respond in time, even a suspected one with a shorter queue") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2"}), start);
    table.loads().on_answer({"svc"}, {500ms, false, false, 0});
    table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start);
    load(table, "t2", 18, start);
    auto wanted = wants(false);
    CHECK(chosen(table, wanted, start) == ids{"t2"});
    wanted.time_left = 800ms;
    wanted.objective_left = 800ms;
    CHECK(chosen(table, wanted, start) == ids{"t1"});
}

TEST_CASE("requests of the whole fleet count as load: daemons that see only "
          "their own would choose the same target") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2", "t3"}), start);
    load(table, "t1", 2, start);
    table.on_domain_activity({"b"}, {{{"t2"}, 1, 2}}, start);
    CHECK(chosen(table, wants(false), start) == ids{"t3"});
    // Targets missing from another domain's list have no requests of it.
    table.on_domain_activity({"b"}, {}, start);
    CHECK(chosen(table, wants(false), start) == ids{"t2", "t3"});
    // An old report may come from a daemon that no longer exists.
    CHECK(chosen(table, wants(false), start + 6s) == ids{"t1", "t2", "t3"});
    REQUIRE(table.domain_activity(start).size() == 1);
    CHECK(table.domain_activity(start)[0] == target_activity{{"t1"}, 1, 2});
}

TEST_CASE("large answers stay in the failure domain, small ones may cross") {
    struct row {
        char const* guards;
        std::size_t bytes;
        ids expected;
    };
    row const rows[] = {{"a page", 1'000, {"far"}},
                        {"a document", 500'000, {"near"}}};
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        target_table table({"a"}, 1);
        table.replace({target_named("near", "a"), target_named("far", "b")},
                      start);
        table.loads().on_answer({"svc"}, {500ms, false, false, row.bytes});
        load(table, "near", 5, start);
        CHECK(chosen(table, wants(true), start) == row.expected);
    }
}

TEST_CASE("a success of a request that began before the failures is no "
          "evidence of recovery") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2"}), start);
    table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start + 1s);
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(
            table.on_end({"t1"}, attempt_outcome::success, start, start + 2s));
    CHECK(chosen(table, wants(false), start + 2s) == ids{"t2"});
}

TEST_CASE("a peer's notice counts as a local failure, but not for a later "
          "incarnation of the target") {
    target_table table({"a"}, 1);
    auto list = targets_named({"t1", "t2"});
    list[1].started_ms = 7;
    table.replace(list, start);
    table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start);
    table.on_peer_notice({{"t2"}, 6, notice_kind::failed}, start);
    CHECK(chosen(table, wants(false), start) == ids{"t2"});
}

TEST_CASE("suspicion alone never excludes all targets: the one with the oldest "
          "failure is chosen") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2"}), start);
    table.on_peer_notice({{"t2"}, 1, notice_kind::failed}, start);
    table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start + 1s);
    CHECK(chosen(table, wants(false), start + 2s) == ids{"t2"});
}

TEST_CASE("a single error response excludes a target briefly; a second one for "
          "longer") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2", "t3", "t4"}), start);
    ids const others{"t2", "t3", "t4"};
    table.loads().on_answer({"svc"}, {500ms, false, false, 0});
    table.loads().set_fleet_rate({"svc"}, 2);
    target_table_options const options;
    auto now = start;
    auto const excluded_for = [&](duration limit) {
        for (auto const end = now + limit; now < end; now += 100ms) {
            CAPTURE(to_milliseconds(now - start));
            CHECK(sharing(table, wants(false), now, 3) == others);
        }
    };
    table.on_start({"t1"}, now);
    table.on_end({"t1"}, attempt_outcome::target_error, now, now);
    excluded_for(options.max_idle);
    CHECK(sharing(table, wants(false), now, 1) == ids{"t1"});
    now = start + 4s;
    CHECK(sharing(table, wants(false), now) == ids{"t1", "t2", "t3", "t4"});
    table.on_start({"t1"}, now);
    table.on_end({"t1"}, attempt_outcome::target_error, now, now);
    table.on_peer_notice({{"t1"}, 1, notice_kind::doubted}, now);
    excluded_for(5s);
}

TEST_CASE("a request that expired before the target was late is no evidence "
          "against the target") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2"}), start);
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(
            table.on_end({"t1"}, attempt_outcome::expired, start, start));
    CHECK(chosen(table, wants(false), start) == ids{"t1", "t2"});
}

TEST_CASE("a late response without spare capacity is no evidence against the "
          "target") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2"}), start);
    table.loads().on_answer({"svc"}, {1s, false, false, 0});
    table.loads().set_fleet_rate({"svc"}, 1);
    CHECK(table.on_overdue({"t1"}, start));
    table.loads().set_fleet_rate({"svc"}, 10);
    CHECK_FALSE(table.on_overdue({"t2"}, start));
}

TEST_CASE(
    "a target that this daemon can't reach is not chosen and not reported") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2"}), start);
    CHECK_FALSE(
        table.on_end({"t1"}, attempt_outcome::connect_failed, start, start));
    CHECK(chosen(table, wants(false), start) == ids{"t2"});
    CHECK(chosen(table, wants(false), start + 1s) == ids{"t1", "t2"});
}

// Guards against daemons that each detect a replaced target separately, at the
// cost of one attempt per daemon.
TEST_CASE("another target at the address ends this incarnation of the target, "
          "here and at all daemons that receive the notice") {
    auto list = targets_named({"t1"});
    target_table table({"a"}, 1);
    target_table peer({"b"}, 2);
    target_table ahead({"b"}, 3);
    table.replace(list, start);
    peer.replace(list, start);
    table.on_start({"t1"}, start);
    auto const notice =
        table.on_end({"t1"}, attempt_outcome::wrong_target, start, start);
    REQUIRE(notice);
    CHECK(notice->kind == notice_kind::replaced);
    peer.on_peer_notice(*notice, start);
    list[0].started_ms = 2;
    ahead.replace(list, start);
    ahead.on_peer_notice(*notice, start);
    CHECK(chosen(ahead, wants(true), start) == ids{"t1"});

    list[0].started_ms = 1;
    for (auto* one : {&table, &peer}) {
        one->replace(list, start + 1s);
        CHECK(chosen(*one, wants(true), start + 1s).empty());
        CHECK(one->snapshot_of({"t1"}, start)->replaced);
    }
    list[0].started_ms = 2;
    for (auto* one : {&table, &peer}) {
        one->replace(list, start + 2s);
        CHECK(chosen(*one, wants(true), start + 2s) == ids{"t1"});
    }
}

TEST_CASE("a request that failed once goes to a healthy target, not to another "
          "trial") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2", "t3"}), start);
    table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start);
    table.on_peer_notice({{"t2"}, 1, notice_kind::failed}, start);
    target_table_options const options;
    auto const now = start + options.trial_after;
    auto const trial = table.choose(wants(true), now);
    REQUIRE(trial);
    REQUIRE(trial->trial);
    CHECK(chosen(table, wants(true, {trial->target.target.id}), now) ==
          ids{"t3"});
}

TEST_CASE(
    "without spare capacity a single error excludes no target, a second does") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2"}), start);
    table.loads().on_answer({"svc"}, {500ms, false, false, 0});
    table.loads().set_fleet_rate({"svc"}, 16);
    table.on_end({"t1"}, attempt_outcome::target_error, start, start);
    CHECK(sharing(table, wants(false), start) == ids{"t1", "t2"});
    table.on_end({"t1"}, attempt_outcome::target_error, start, start + 500ms);
    CHECK(sharing(table, wants(false), start + 500ms) == ids{"t2"});
}

// Guards against an explanation with evidence that is not the last, or with a
// peer's report shown as this daemon's observation.
TEST_CASE("the last evidence on a target is kept with its source and time") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1"}), start);
    CHECK_FALSE(table.snapshot_of({"t1"}, start)->evidence);
    CHECK_FALSE(table.snapshot_of({"t9"}, start));
    struct row {
        char const* name;
        std::function<void(time_point)> event;
        target_evidence expected;
    };
    auto const ends = [&](attempt_outcome outcome) {
        return [&table, outcome](time_point now) {
            table.on_start({"t1"}, now);
            table.on_end({"t1"}, outcome, now, now);
        };
    };
    auto const told = [&](notice_kind kind) {
        return [&table, kind](time_point now) {
            table.on_peer_notice({{"t1"}, 1, kind}, now);
        };
    };
    row const rows[] = {
        {"reset", ends(attempt_outcome::reset), {notice_kind::failed, true}},
        {"success reported by a peer",
         told(notice_kind::success),
         {notice_kind::success, false}},
        {"own error",
         ends(attempt_outcome::target_error),
         {notice_kind::doubted, true}},
        {"success",
         ends(attempt_outcome::success),
         {notice_kind::success, true}},
        {"failure reported by a peer",
         told(notice_kind::failed),
         {notice_kind::failed, false}},
    };
    auto now = start;
    for (auto row : rows) {
        CAPTURE(row.name);
        now += 10s;
        row.event(now);
        row.expected.at = now;
        CHECK(table.snapshot_of({"t1"}, now)->evidence == row.expected);
        // The notice of a trial is not evidence.
        table.on_peer_notice({{"t1"}, 1, notice_kind::trial}, now + 1s);
        CHECK(table.choose(wants(false), now + 1s)->evidence == row.expected);
    }
}
