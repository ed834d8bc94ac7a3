#include "yuccabeam/placement/retry_budget.hpp"

#include "yuccabeam/placement/fleet_budget.hpp"
#include "yuccabeam/values/virtual_time.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr duration step = 5ms;
constexpr duration length = 45s;
// Start of the failures.
constexpr duration burst = 12s;

/// Times at which daemons restart, the first at `from` and the last at
/// `until`.
struct restart_plan {
    std::size_t daemons = 0;
    duration from{};
    duration until{};
};

struct fleet_case {
    char const* guards;
    std::size_t daemons = 32;
    double requests_per_second = 90; ///< over the fleet
    double failing = 0.5; ///< share of requests that fail in the burst
    double failing_before = 0.02;
    initial_credit first = initial_credit::none;
    double loss = 0; ///< share of datagrams between daemons
    duration delay_max = 40ms;
    std::size_t cut = 0; ///< daemons that are partitioned from all others
    duration cut_from{};
    duration cut_until{};
    restart_plan restarts{};
    std::size_t joining =
        0; ///< new daemons, which join while others are partitioned
    /// Daemons whose requests fail; 0: all of them.
    std::size_t hit = 0;
};

std::vector<fleet_case> const cases = {
    {.guards = "heartbeats that lag behind a burst of failures"},
    {.guards = "a new fleet, whose buckets are full",
     .failing_before = 0.5,
     .first = initial_credit::full},
    {.guards = "lost datagrams", .loss = 0.3},
    {.guards = "late datagrams", .delay_max = 4s},
    {.guards = "a fleet whose daemons receive nothing from one another",
     .loss = 1},
    {.guards = "few requests: the constant part is shared",
     .daemons = 36,
     .requests_per_second = 10,
     .failing = 1},
    {.guards =
         "a restart of the whole fleet, which loses the record of its retries",
     .requests_per_second = 60,
     .failing_before = 0.5,
     .restarts = {32, 18s, 18s}},
    {.guards = "a restart of the whole fleet with few retries before it",
     .requests_per_second = 60,
     .restarts = {32, 12s, 12s}},
    {.guards = "daemons that restart one after another",
     .restarts = {32, 14s, 22s}},
    {.guards = "half of the daemons restart in the burst",
     .restarts = {16, 15s, 15s}},
    {.guards = "a quarter is partitioned as the burst begins",
     .cut = 8,
     .cut_from = 12s,
     .cut_until = 22s},
    {.guards = "a fifth is partitioned inside the burst",
     .cut = 6,
     .cut_from = 15s,
     .cut_until = 25s},
    {.guards = "a failure domain is partitioned inside the burst",
     .cut = 11,
     .cut_from = 16s,
     .cut_until = 26s},
    {.guards = "all are partitioned from one another after the slack was used",
     .cut = 32,
     .cut_from = 18s,
     .cut_until = 28s},
    {.guards =
         "all are partitioned from one another and rejoin inside the burst",
     .cut = 32,
     .cut_from = 13s,
     .cut_until = 18s},
    {.guards = "partitioned daemons restart as they rejoin",
     .cut = 8,
     .cut_from = 12s,
     .cut_until = 18s,
     .restarts = {8, 18s, 18s}},
    {.guards = "an eighth joins while all others are partitioned",
     .daemons = 36,
     .cut = 32,
     .cut_from = 13s,
     .cut_until = 35s,
     .joining = 4},
    {.guards = "shares of barely one retry",
     .daemons = 55,
     .cut = 18,
     .cut_from = 14s,
     .cut_until = 24s,
     .restarts = {55, 16s, 30s}},
    {.guards = "shares of barely one retry, and a new fleet with few requests",
     .daemons = 55,
     .requests_per_second = 20,
     .failing = 1,
     .failing_before = 0.5,
     .first = initial_credit::full},
    {.guards =
         "a few daemons whose requests all fail, and others that grant credit",
     .failing = 1,
     .hit = 6},
};

double count_in(std::vector<time_point> const& times, time_point from,
                time_point until) {
    return static_cast<double>(std::ranges::upper_bound(times, until) -
                               std::ranges::upper_bound(times, from));
}

struct play_result {
    double worst_excess = -1e9; ///< retries beyond the limit of a window
    double repeats = 0;         ///< in the burst
    double wanted = 0;
};

/// Simulates a fleet in which every daemon retries whenever it is allowed to.
class fleet_play {
public:
    fleet_play(fleet_case const& c, unsigned seed) : case_(c), random_(seed) {
        options_.fleet_slack = 56;
        for (std::size_t d = 0; d < c.daemons; ++d)
            fleet_.push_back(make(d));
    }

    play_result run() {
        for (; now_ < start + length; time_.run_until(now_ + step)) {
            restart();
            for (std::size_t d = 0; d < fleet_.size(); ++d)
                if (runs(d))
                    tick(d);
            if (share() < case_.requests_per_second * to_seconds(step))
                request(random_() % case_.daemons);
        }
        return result_;
    }

private:
    double share() { return std::uniform_real_distribution<>(0, 1)(random_); }
    duration at() const { return now_ - start; }

    std::unique_ptr<fleet_budget> make(std::size_t self) {
        return std::make_unique<fleet_budget>(
            options_, daemon_id{std::to_string(self)}, random_(), now_,
            now_ == start ? case_.first : initial_credit::none);
    }

    bool cut() const {
        return at() >= case_.cut_from && at() < case_.cut_until;
    }

    bool apart(std::size_t a, std::size_t b) const {
        return cut() && (a < case_.cut || b < case_.cut);
    }

    // Joining daemons start when the partition begins.
    bool runs(std::size_t d) const {
        return d < case_.daemons - case_.joining || at() >= case_.cut_from;
    }

    std::size_t known_to(std::size_t d) const {
        bool const misses_new = at() < case_.cut_until && d < case_.cut;
        return misses_new || at() < case_.cut_from
                   ? case_.daemons - case_.joining
                   : case_.daemons;
    }

    void restart() {
        auto const& plan = case_.restarts;
        for (std::size_t d = 0; d < plan.daemons; ++d) {
            auto const due = plan.from + (plan.until - plan.from) *
                                             static_cast<int>(d) /
                                             static_cast<int>(plan.daemons);
            if (at() <= due && due < at() + step)
                fleet_[d] = make(d);
        }
        for (std::size_t d = case_.daemons - case_.joining; d < case_.daemons;
             ++d)
            if (at() == case_.cut_from)
                fleet_[d] = make(d);
    }

    void send(std::size_t from, std::size_t to, std::function<void()> run) {
        if (apart(from, to) || share() < case_.loss)
            return;
        auto const delay = from_seconds(share() * to_seconds(case_.delay_max));
        time_.after(delay, run);
        // A datagram may be duplicated.
        if (share() < 0.05)
            time_.after(delay + 20ms, std::move(run));
    }

    void tick(std::size_t d) {
        fleet_[d]->own().on_fleet_size(known_to(d), now_);
        if (at() % 1s == static_cast<int>(d * 1'000 / case_.daemons / 5) * step)
            report(d);
        if (auto const request = fleet_[d]->next_credit_request(now_))
            ask(d, *request);
    }

    void report(std::size_t from) {
        auto const told = fleet_[from]->report(now_);
        for (std::size_t to = 0; to < fleet_.size(); ++to)
            if (to != from)
                send(from, to, [this, from, to, told] {
                    fleet_[to]->on_report({std::to_string(from)}, told, now_);
                });
    }

    void ask(std::size_t from, addressed_credit_request const& due) {
        auto const grantor = std::stoul(due.grantor.value);
        send(from, grantor, [this, from, grantor, due] {
            auto const grant =
                fleet_[grantor]->on_credit_request(due.request, now_);
            send(grantor, from,
                 [this, from, grant] { fleet_[from]->on_grant(grant, now_); });
        });
    }

    void request(std::size_t self) {
        if (!runs(self))
            return;
        auto& budget = fleet_[self]->own();
        budget.on_request(now_);
        requests_.push_back(now_);
        bool const hit = case_.hit == 0 || self < case_.hit;
        if (!hit ||
            share() >= (at() < burst ? case_.failing_before : case_.failing))
            return;
        result_.wanted += at() >= burst;
        if (!budget.allows(now_))
            return;
        budget.on_retry(now_);
        repeats_.push_back(now_);
        result_.repeats += at() >= burst;
        auto const from = now_ - options_.window;
        result_.worst_excess =
            std::max(result_.worst_excess,
                     count_in(repeats_, from, now_) -
                         options_.ratio * count_in(requests_, from, now_) -
                         options_.fleet_slack);
    }

    fleet_case const& case_;
    retry_budget_options options_;
    std::mt19937 random_;
    virtual_time time_{start};
    time_point const& now_ = time_.now();
    std::vector<std::unique_ptr<fleet_budget>> fleet_;
    std::vector<time_point> requests_;
    std::vector<time_point> repeats_;
    play_result result_;
};

} // namespace

// Guards against two ways of accounting that together exceed the limit.
TEST_CASE("retries stay within the limit when daemons are partitioned and "
          "rejoin inside a burst of failures") {
    for (auto const& c : cases)
        for (unsigned seed = 1; seed <= 5; ++seed) {
            CAPTURE(std::string(c.guards));
            CAPTURE(seed);
            CHECK(fleet_play(c, seed).run().worst_excess <= 0);
        }
}

// Guards against credit that stays with daemons that do not need it.
TEST_CASE("a daemon with more failures than its share covers uses the fleet's "
          "unused credit") {
    retry_budget_options const options;
    fleet_budget self(options, {"00"}, 1, start - 1min);
    std::vector<fleet_budget> peers;
    for (int i = 10; i < 45; ++i)
        peers.emplace_back(options, daemon_id{std::to_string(i)}, 1,
                           start - 1min);
    double held = 0;
    auto const earn = [&](fleet_budget& budget) {
        budget.own().on_fleet_size(36, start);
        for (int i = 0; i < 10; ++i)
            budget.own().on_request(start);
        held += budget.own().credit(start);
    };
    earn(self);
    for (auto& peer : peers)
        earn(peer);
    auto now = start;
    int allowed = 0;
    for (; allowed < 20 && now < start + 5s; now += 10ms) {
        if (self.own().allows(now)) {
            self.own().on_retry(now);
            ++allowed;
        }
        for (std::size_t i = 0; i < peers.size(); ++i)
            self.on_report({std::to_string(10 + i)}, peers[i].report(now), now);
        if (auto const due = self.next_credit_request(now))
            self.on_grant(
                peers[std::stoul(due->grantor.value) - 10].on_credit_request(
                    due->request, now),
                now);
    }
    CHECK(allowed >= 8);
    double left = self.own().credit(now);
    for (auto& peer : peers)
        left += peer.own().credit(now);
    // Transfers create no credit.
    CHECK(allowed + left <= held + 1e-6);
}

// Guards against credit that is held twice, by its grantor and its receiver.
TEST_CASE("granted credit takes up its grantor's share until it has arrived or "
          "is lost") {
    retry_budget_options options;
    options.capacity = 100;
    retry_budget grantor(options, start - 1min);
    grantor.on_fleet_size(1, start);
    auto const earn = [&](time_point now) {
        for (int i = 0; i < 1'000; ++i)
            grantor.on_request(now);
        return grantor.credit(now);
    };
    double const full = earn(start);
    REQUIRE(full > 10);
    // Credit for one retry is never granted.
    CHECK(grantor.grant(full, start) == doctest::Approx(full - 1));
    CHECK(earn(start + options.transfer_time - 1ms) == doctest::Approx(1));
    CHECK(earn(start + options.transfer_time) == doctest::Approx(full));
}

TEST_CASE("a grant expires relative to its request and is accepted only once") {
    struct row {
        char const* guards;
        duration answered;
        int answers;
        double expected;
    };
    row const rows[] = {
        {"an answer in time", 10ms, 1, 0.3},
        {"the same datagram twice", 10ms, 2, 0.3},
        {"an answer after the grantor may have earned it again", 250ms, 1, 0},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        fleet_budget budget({}, {"a"}, 7, start - 1min);
        budget.own().on_fleet_size(40, start);
        budget.on_report({"b"}, {0, 5}, start);
        REQUIRE_FALSE(budget.own().allows(start));
        auto const due = budget.next_credit_request(start);
        REQUIRE(due);
        for (int i = 0; i < row.answers; ++i)
            budget.on_grant({due->request.number, 0.3, 0},
                            start + row.answered);
        CHECK(budget.own().credit(start + row.answered) ==
              doctest::Approx(row.expected));
    }
}

TEST_CASE("a daemon of a new fleet starts with its share of the slack") {
    retry_budget_options const options;
    retry_budget budget(options, start, initial_credit::full);
    budget.on_fleet_size(1, start);
    CHECK(budget.credit(start) > 20);
    budget.on_fleet_size(40, start);
    CHECK(budget.credit(start) <= options.fleet_slack / 40);
    CHECK(budget.allows(start));
}

// Guards against a restarted daemon that holds credit which its peers have just
// received.
TEST_CASE("a daemon starts without credit and earns it with its requests") {
    retry_budget_options const options;
    retry_budget budget(options, start);
    budget.on_fleet_size(10, start);
    for (int i = 0; i < 10; ++i)
        budget.on_request(start);
    auto const known = start + options.transfer_time;
    CHECK(budget.credit(known) == 0);
    for (int i = 0; i < 10; ++i)
        budget.on_request(known);
    CHECK(budget.credit(known) == doctest::Approx(2));
}

TEST_CASE("a smaller fleet size takes effect late, as missing daemons may be "
          "partitioned and still running") {
    retry_budget budget({}, start);
    auto const full = [&](time_point now) {
        for (int i = 0; i < 1'000; ++i)
            budget.on_request(now);
        return budget.credit(now);
    };
    budget.on_fleet_size(40, start + 1min);
    double const part = full(start + 1min);
    budget.on_fleet_size(20, start + 60min);
    CHECK(full(start + 60min) == doctest::Approx(part));
    budget.on_fleet_size(80, start + 60min);
    CHECK(full(start + 60min) == doctest::Approx(part / 2));
    budget.on_fleet_size(40, start + 121min);
    CHECK(full(start + 121min) == doctest::Approx(part));
}

// Guards against more retries than the slack in a window when shares are large.
TEST_CASE("a single daemon spends at most the slack in each window") {
    retry_budget_options const options;
    retry_budget budget(options, start);
    budget.on_fleet_size(1, start);
    std::vector<time_point> repeats;
    double most = 0;
    for (auto now = start; now < start + 1min; now += 10ms) {
        // Failures are intermittent, so that credit accumulates before them.
        if ((now - start) % 20s < 9s || !budget.allows(now))
            continue;
        budget.on_retry(now);
        repeats.push_back(now);
        most = std::max(most, count_in(repeats, now - options.window, now));
    }
    CHECK(most <= options.fleet_slack);
    CHECK(most >= options.fleet_slack / 2);
}

// Guards against a fleet that never retries as no daemon can hold the credit
// for one retry.
TEST_CASE("a daemon that has earned many retries may make one, however small "
          "its share of the slack is") {
    retry_budget_options options;
    options.fleet_slack = 23;
    retry_budget budget(options, start);
    budget.on_fleet_size(21, start);
    auto now = start + 1s;
    for (int i = 0; i < 100; ++i, now += 100ms)
        budget.on_request(now);
    CHECK(budget.allows(now));
}
