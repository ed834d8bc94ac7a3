#include "evidence_merge.hpp"
#include "fleet_sim.hpp"
#include "yuccabeam/health/evidence.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace yuccabeam;
using namespace yuccabeam::health;
using namespace std::chrono_literals;

namespace {

window_counts some_counts() {
    window_counts counts;
    counts.ok = *rc::gen::inRange(0U, 9U);
    counts.slow = *rc::gen::inRange(0U, 9U);
    counts.timeout = *rc::gen::inRange(0U, 9U);
    counts.failing_callers = *rc::gen::arbitrary<std::uint64_t>();
    counts.latency.counts[*rc::gen::inRange(0U, 16U)] = counts.ok;
    return counts;
}

evidence_report report_with(std::uint64_t window, std::uint32_t age,
                            std::uint32_t timeouts) {
    evidence_report report;
    report.window = window;
    report.targets = {"ta"};
    report.kinds = {"deposit"};
    evidence_window item;
    item.age = age;
    item.timeout = timeouts;
    report.windows = {item};
    return report;
}

evidence_window window_at(std::uint32_t target, std::uint32_t kind,
                          std::uint32_t age) {
    evidence_window item;
    item.target = target;
    item.kind = kind;
    item.age = age;
    item.ok = 1;
    return item;
}

} // namespace

TEST_CASE("merging counts is idempotent, commutative and associative") {
    CHECK(rc::check([] {
        auto const a = some_counts();
        auto const b = some_counts();
        auto const c = some_counts();
        RC_ASSERT(merge(a, a) == a);
        RC_ASSERT(merge(a, b) == merge(b, a));
        RC_ASSERT(merge(a, merge(b, c)) == merge(merge(a, b), c));
        RC_ASSERT(to_counts(to_window(a)) == a);
    }));
}

TEST_CASE("shed answers, callers' errors and cancellations are no evidence") {
    struct row {
        request_outcome outcome;
        std::uint32_t requests;
        std::uint32_t failures;
    };
    for (auto const& row :
         std::vector<row>{{request_outcome::ok, 1, 0},
                          {request_outcome::refused, 1, 1},
                          {request_outcome::reset, 1, 1},
                          {request_outcome::timeout, 1, 1},
                          {request_outcome::server_error, 1, 1},
                          {request_outcome::short_answer, 1, 1},
                          {request_outcome::overdue, 1, 0},
                          {request_outcome::shed, 0, 0},
                          {request_outcome::caller_error, 0, 0},
                          {request_outcome::cancelled, 0, 0}}) {
        CAPTURE(to_string(row.outcome));
        window_counts counts;
        count(counts, {0, 0, row.outcome, 10ms, 7}, false);
        CHECK(counts.requests() == row.requests);
        CHECK(counts.failures() == row.failures);
        CHECK((counts.failing_callers != 0) == (row.failures > 0));
    }
}

TEST_CASE("the sketch's median is within its bucket's factor of two") {
    for (auto const latency : {1ms, 3ms, 10ms, 70ms, 900ms, 5000ms}) {
        latency_sketch sketch;
        sketch.counts[latency_bucket(latency)] = 9;
        CAPTURE(latency.count());
        CHECK(median(sketch) > latency / 2);
        CHECK(median(sketch) < latency * 2);
    }
    CHECK(median({}) == duration::zero());
    CHECK(latency_bucket(0ns) == 0);
    CHECK(latency_bucket(1h) == latency_buckets - 1);
}

TEST_CASE("late, repeated and expired windows add no evidence twice") {
    auto const topology = test::make_topology(2, 0);
    struct row {
        std::uint64_t window;
        std::uint32_t age;
        std::uint32_t timeouts;
        std::uint32_t added;
    };
    observer_evidence evidence;
    for (auto const& row :
         std::vector<row>{{100, 0, 2, 2},  // new
                          {100, 0, 2, 0},  // repeated
                          {101, 1, 3, 1},  // same window, one more
                          {100, 0, 2, 0},  // older copy
                          {111, 11, 9, 0}, // expired
                          {111, 0, 1, 1}}) {
        CAPTURE(row.window);
        CAPTURE(row.timeouts);
        std::uint32_t sum = 0;
        for (auto const& delta : evidence.merge_report(
                 report_with(row.window, row.age, row.timeouts), topology, 10))
            sum += delta.counts.timeout;
        CHECK(sum == row.added);
    }
}

TEST_CASE("a report with unknown names or indices out of range is ignored") {
    auto const topology = test::make_topology(2, 0);
    observer_evidence evidence;
    auto report = report_with(5, 0, 1);
    report.windows[0].target = 9;
    report.windows.push_back(window_at(0, 4, 0));
    report.windows.push_back(window_at(0, 0, 9));
    report.windows.push_back(window_at(1, 0, 0));
    report.targets.emplace_back("unknown");
    CHECK(evidence.merge_report(report, topology, 10).empty());
}
