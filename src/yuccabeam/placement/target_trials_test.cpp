#include "target_table_fixture.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::placement;

// Guards against targets that recover together and wait for each other's load.
TEST_CASE("while too few targets are used, those that failed are tried sooner, "
          "the one that waits longest first") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2", "t3"}), start);
    table.on_peer_notice({{"t2"}, 1, notice_kind::failed}, start - 1ms);
    table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start);
    target_table_options const options;
    auto const tried_at = start + options.max_idle_failing_urgent;
    auto now = start;
    for (; now < tried_at; now += 100ms) {
        CAPTURE(to_milliseconds(now - start));
        CHECK(sharing(table, wants(false), now, 3) == ids{"t3"});
    }
    auto const first = table.choose(wants(false), now);
    REQUIRE(first);
    CHECK(first->trial);
    CHECK(first->target.target.id.value == "t2");
    REQUIRE(first->notice);
    CHECK(first->notice->kind == notice_kind::trial);
    table.on_start({"t2"}, now);
    auto const second = table.choose(wants(false), now);
    REQUIRE(second);
    CHECK(second->trial);
    CHECK(second->target.target.id.value == "t1");
}

// Guards against a choice that stays with targets that have just succeeded.
TEST_CASE("a target without requests gets the next one of a daemon that would "
          "know of others") {
    struct row {
        char const* what;
        std::string domain;   ///< of the idle target
        std::size_t reported; ///< targets in the domain's last report
        duration report_age;
        bool chosen;
    };
    target_table_options options;
    options.domain_report_targets = 1;
    row const rows[] = {
        {"in the own failure domain", "a", 0, 0s, true},
        {"in another one, which reports all its load", "b", 0, 0s, true},
        {"in another one, which reports a part of it", "b", 1, 0s, false},
        {"in another one, which is silent", "b", 1, options.activity_memory,
         true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.what);
        target_table table({"a"}, 1, options);
        auto list = targets_named({"t1"});
        list.push_back(target_named("t2", row.domain));
        list.push_back(target_named("t3", "b"));
        table.replace(list, start);
        auto const now = start + options.max_idle;
        std::vector<target_activity> report;
        if (row.reported > 0)
            report.push_back({{"t3"}, 1, 1});
        table.on_domain_activity({"b"}, report, now - row.report_age);
        for (auto const* id : {"t1", "t3"}) {
            table.on_start({id}, now);
            table.on_end({id}, attempt_outcome::success, now, now);
        }
        auto const choice = table.choose(wants(false), now);
        REQUIRE(choice);
        CHECK((choice->target.target.id.value == "t2") == row.chosen);
        CHECK_FALSE(choice->trial);
        CHECK_FALSE(choice->notice);
    }
}

// Guards against a service most of whose requests fail as trials of targets
// that don't recover.
TEST_CASE("no more than the allowed share of requests without a retry are "
          "trials") {
    target_table_options const options;
    target_table table({"a"}, 1);
    std::vector<std::string> names{"good"};
    for (int i = 0; i < 30; ++i)
        names.push_back(std::string("t").append(std::to_string(i)));
    table.replace(targets_named(names), start);
    for (auto const& name : names)
        if (name != "good")
            table.on_peer_notice({{name}, 1, notice_kind::failed}, start);
    constexpr int requests = 200;
    int trials = 0;
    auto now = start;
    for (int i = 0; i < requests; ++i, now += 1s) {
        auto const choice = table.choose(wants(false), now);
        REQUIRE(choice);
        auto const& id = choice->target.target.id;
        trials += choice->trial;
        table.on_start(id, now);
        table.on_end(id,
                     choice->trial ? attempt_outcome::reset
                                   : attempt_outcome::success,
                     now, now);
    }
    CHECK(trials <= options.trials.burst + options.trials.share * requests);
    CHECK(trials >= options.trials.share * requests / 2);
}

TEST_CASE(
    "one idempotent request at a time tries a suspected target; one success "
    "admits other idempotent requests, a few more end the suspicion") {
    target_table table({"a"}, 1);
    table.replace(targets_named({"t1", "t2"}), start);
    table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start);
    target_table_options const options;
    auto const now = start + options.trial_after;
    CHECK(chosen(table, wants(true), now - 1ms) == ids{"t2"});
    auto const trial = table.choose(wants(true), now);
    REQUIRE(trial);
    CHECK(trial->trial);
    CHECK(trial->target.target.id.value == "t1");
    CHECK(chosen(table, wants(true), now) == ids{"t2"});
    // Excludes only an unknown target, so that no more trials are started.
    auto later = wants(true, {{"t9"}});
    later.retryable = true;
    int successes = 0;
    while (sharing(table, wants(false), now) == ids{"t2"} && successes < 10) {
        auto const notice =
            table.on_end({"t1"}, attempt_outcome::success, now, now);
        REQUIRE(notice);
        CHECK(notice->kind == notice_kind::success);
        ++successes;
        CHECK(sharing(table, later, now, 16) == ids{"t1", "t2"});
    }
    // A failing target answers some requests correctly, so one success is not
    // enough for a request that can't be retried.
    CHECK(successes >= 2);
    CHECK(successes <= 4);
}

// Guards against a fleet whose daemons all try one suspected target at once.
TEST_CASE(
    "of the requests that arrive before the notice of a trial, few take it") {
    struct spread_case {
        char const* what;
        double per_second; ///< of the fleet
        int requests; ///< that arrive before the notice, each at another daemon
        int least;
        int most;
    };
    spread_case const rows[] = {
        {"a small fleet tries at once", 20, 1, 1, 1},
        {"a large one spreads its trials", 400, 100, 1, 20},
    };
    target_table_options const options;
    auto const now = start + options.trial_after;
    for (auto const& row : rows) {
        CAPTURE(row.what);
        int trials = 0;
        for (int daemon = 0; daemon < row.requests; ++daemon) {
            target_table table({"a"}, static_cast<std::uint64_t>(daemon));
            table.replace(targets_named({"t1", "t2"}), start);
            table.loads().set_fleet_rate({"svc"}, row.per_second);
            table.on_peer_notice({{"t1"}, 1, notice_kind::failed}, start);
            auto const choice = table.choose(wants(true), now);
            REQUIRE(choice);
            trials += choice->trial;
        }
        CHECK(trials >= row.least);
        CHECK(trials <= row.most);
    }
}
