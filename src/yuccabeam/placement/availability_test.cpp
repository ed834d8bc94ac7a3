#include "yuccabeam/placement/availability.hpp"
#include "yuccabeam/placement/request_dispatch.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr std::int64_t process_start = 7;
constexpr duration leaving_limit = 2s;

discovered_target listed(std::string const& id, std::int64_t started_ms) {
    discovered_target out;
    out.target = {{id}, {"svc"}, {"a"}, "x", 6, 300};
    out.started_ms = started_ms;
    return out;
}

struct fixture {
    target_table table{{"a"}, 1};
    retry_budget budget{{.fleet_slack = 10, .capacity = 10},
                        start - 1min,
                        initial_credit::full};

    explicit fixture(std::vector<std::string> const& ids) {
        std::vector<discovered_target> list;
        list.reserve(ids.size());
        for (auto const& id : ids)
            list.push_back(listed(id, process_start));
        table.replace(list, start - 1min);
        budget.on_fleet_size(1, start);
    }

    request_dispatch dispatch(bool idempotent) {
        dispatch_request request;
        request.service = {"svc"};
        request.idempotent = idempotent;
        request.max_attempts = 3;
        request.latency_objective = 2s;
        request.deadline = start + 30s;
        return {request, {table, budget, [](time_point) { return true; }}};
    }

    std::optional<std::string> choice_at(time_point now, bool retryable) {
        choice_request wanted;
        wanted.service = {"svc"};
        wanted.idempotent = wanted.retryable = retryable;
        auto const out = table.choose(wanted, now);
        if (!out)
            return std::nullopt;
        return out->target.target.id.value;
    }
};

enum class word { leaves, rests };

void say(target_table& table, word said, std::string const& id) {
    if (said == word::leaves)
        table.on_leaving({id}, start, start);
    else
        table.on_rest({id}, 20s, start, start);
}

void first_try_and_trial(word said) {
    fixture f({"t0", "t1"});
    f.table.on_peer_notice({{"t0"}, process_start, notice_kind::failed},
                           start - 10s);
    say(f.table, said, "t0");
    for (int i = 0; i < 200; ++i)
        for (bool const retryable : {true, false})
            CHECK(f.choice_at(start + leaving_limit + i * 10ms, retryable) ==
                  "t1");
}

// The tried target may be asked again.
void retry(word said) {
    fixture f({"t0", "t1"});
    auto dispatch = f.dispatch(true);
    auto const later = start + leaving_limit;
    REQUIRE(dispatch.start(later).action == dispatch_action::send);
    auto const tried = dispatch.attempts()[0].to.id.value;
    say(f.table, said, tried == "t0" ? "t1" : "t0");
    auto const step =
        dispatch.on_attempt_end(0, attempt_outcome::reset, later + 10ms);
    REQUIRE(step.action == dispatch_action::send);
    CHECK(dispatch.attempts()[1].to.id.value == tried);
}

void hedge(word said) {
    fixture f({"t0", "t1"});
    auto dispatch = f.dispatch(true);
    dispatch.start(start + leaving_limit);
    auto const tried = dispatch.attempts()[0].to.id.value;
    say(f.table, said, tried == "t0" ? "t1" : "t0");
    REQUIRE(dispatch.next_check());
    CHECK(dispatch.on_check(*dispatch.next_check()).action ==
          dispatch_action::wait);
}

void waiting_request(word said) {
    fixture f({"t0"});
    auto const later = start + leaving_limit;
    f.table.on_peer_activity({"other"}, {{"t0"}, process_start, 9}, later);
    auto dispatch = f.dispatch(true);
    REQUIRE(dispatch.start(later).action == dispatch_action::wait);
    say(f.table, said, "t0");
    f.table.on_peer_activity({"other"}, {{"t0"}, process_start, 0}, later);
    auto const step = dispatch.on_check(*dispatch.next_check());
    CHECK(step.action == dispatch_action::end);
    CHECK_FALSE(dispatch.may_have_run());
}

} // namespace

TEST_CASE("a target may be asked until its word forbids it") {
    struct row {
        char const* guards;
        availability of;
        time_point at;
        bool may;
    };
    availability_options const options;
    std::vector<row> const rows = {
        {"no word", {}, start, true},
        {"leaving, the last resort for a moment",
         {start, {}},
         start + 100ms,
         true},
        {"leaving, well before the limit", {start, {}}, start + 1s, false},
        {"leaving, for good", {start, {}}, start + 1h, false},
        {"in a rest", {{}, start + 5s}, start + 4999ms, false},
        {"after a rest", {{}, start + 5s}, start + 5s, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        CHECK(may_be_asked(row.of, options, row.at) == row.may);
    }
}

// Guards against a fleet that returns at once, and before the end of a rest.
TEST_CASE(
    "a rest lasts as long as asked, and daemons return one after another") {
    availability_options const options;
    for (double const random : {0.0, 0.5, 1.0}) {
        CAPTURE(random);
        auto const after = after_rest_asked({}, 4s, random, options, start);
        CHECK(after.rests_until == start + 4s + from_seconds(random));
    }
    CHECK(after_rest_asked({}, 100h, 0, options, start).rests_until ==
          start + options.longest_rest);
    auto const longer = after_rest_asked({}, 9s, 0, options, start);
    CHECK(after_rest_asked(longer, 1s, 0, options, start) == longer);
}

// Guards against a way of sending that doesn't pass the decision.
TEST_CASE("nothing is sent to a target that leaves or rests, in whatever way") {
    struct way {
        char const* name;
        void (*check)(word said);
    };
    std::vector<way> const ways = {{"first try and trial", first_try_and_trial},
                                   {"retry", retry},
                                   {"hedge", hedge},
                                   {"waiting request", waiting_request}};
    for (auto const& way : ways)
        for (auto const said : {word::leaves, word::rests}) {
            CAPTURE(way.name);
            CAPTURE(static_cast<int>(said));
            way.check(said);
        }
}

TEST_CASE("the word of a target holds for its incarnation") {
    struct row {
        char const* guards;
        word said;
        std::int64_t listed_later; ///< incarnation, after a lapse
        duration returns;          ///< after the target's word
        duration asked;
        bool used;
    };
    std::vector<row> const rows = {
        {"an entry that lapses and returns is still leaving", word::leaves,
         process_start, 20s, 30s, false},
        {"a new process at the address isn't leaving", word::leaves,
         process_start + 1, 20s, 30s, true},
        {"an entry that lapses and returns still rests", word::rests,
         process_start, 12s, 15s, false},
        {"a new process at the address doesn't rest", word::rests,
         process_start + 1, 12s, 15s, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        fixture f({"t0"});
        say(f.table, row.said, "t0");
        f.table.replace({}, start + 5s);
        f.table.expire(start + 10s);
        REQUIRE(f.table.size() == 0);
        f.table.replace({listed("t0", row.listed_later)}, start + row.returns);
        CHECK(f.choice_at(start + row.asked, false).has_value() == row.used);
    }
}

TEST_CASE("a peer's notice that a target leaves counts for its incarnation "
          "only") {
    for (auto const told : {process_start, process_start + 1}) {
        CAPTURE(told);
        fixture f({"t0"});
        f.table.on_peer_notice({{"t0"}, told, notice_kind::leaving}, start);
        CHECK(f.choice_at(start + leaving_limit, false).has_value() ==
              (told != process_start));
    }
}

// Guards against a response of an earlier process at the address, and against
// a notice for each response.
TEST_CASE("only responses to requests of this incarnation are its word") {
    fixture f({"t0"});
    CHECK_FALSE(f.table.on_leaving({"t0"}, start - 2min, start));
    f.table.on_rest({"t0"}, 20s, start - 2min, start);
    CHECK(f.choice_at(start + leaving_limit, false).has_value());
    CHECK(f.table.on_leaving({"t0"}, start, start).has_value());
    CHECK_FALSE(f.table.on_leaving({"t0"}, start, start).has_value());
}

// Guards against gray evidence from a rest, and against callers that are told
// to return before any target may be asked.
TEST_CASE(
    "a rest is no failure, and the first end is when callers may return") {
    fixture f({"t0", "t1"});
    say(f.table, word::rests, "t0");
    CHECK_FALSE(f.table.rest_end({"svc"}, start).has_value());
    f.table.on_rest({"t1"}, 5s, start, start);
    auto const end = f.table.rest_end({"svc"}, start);
    REQUIRE(end.has_value());
    CHECK(*end >= start + 5s);
    CHECK(*end <= start + 7s);
    CHECK_FALSE(f.choice_at(*end - 1ms, false).has_value());
    CHECK(f.choice_at(*end, false) == "t1");
    for (auto const& snapshot : f.table.snapshots(start))
        CHECK_FALSE(snapshot.suspected);
}
