#include "yuccabeam/limits/admission_queue.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <rapidcheck.h>

namespace yuccabeam::limits {
namespace {

using namespace std::chrono_literals;
using enum priority;

constexpr time_point start{1h};

queue_entry entry(entry_id id, std::string account, priority level = normal,
                  std::uint32_t weight = 1) {
    return {id, {std::move(account)}, weight, level, start + 1h, 1ms};
}

// For tests of the dispatch order, where no entry exceeds its maximum wait.
queue_options long_wait_options() {
    queue_options options;
    options.max_wait = 1h;
    options.max_bulk_wait = 1h;
    return options;
}

std::vector<entry_id> dispatched(std::vector<queue_action> const& actions) {
    std::vector<entry_id> out;
    for (auto const& action : actions)
        if (auto const* run = std::get_if<dispatch_entry>(&action))
            out.push_back(run->id);
    return out;
}

/// Checks the queue against the set of entries that should be in it.
class checked_queue {
public:
    explicit checked_queue(queue_options const& options)
        : options_(options), queue_(options) {}

    void push(queue_entry const& entry, time_point now) {
        auto const wait =
            entry.priority == bulk ? options_.max_bulk_wait : options_.max_wait;
        live_.emplace(entry.id, live_entry{entry, now + wait});
        settle(queue_.push(entry, now), now, 0);
        RC_ASSERT(live_.size() <= options_.capacity);
    }

    void take(std::size_t slots, time_point now) {
        settle(queue_.take(slots, now), now, slots);
        for (auto const& [id, live] : live_) {
            RC_ASSERT(now + live.entry.service_time <= live.entry.deadline);
            RC_ASSERT(now <= live.latest_dispatch);
        }
    }

    void cancel(entry_id id) {
        RC_ASSERT(queue_.cancel(id) == (live_.erase(id) == 1));
        RC_ASSERT(queue_.size() == live_.size());
    }

    std::optional<time_point> next_drop() const { return queue_.next_drop(); }
    bool empty() const { return live_.empty(); }

private:
    void settle(std::vector<queue_action> const& actions, time_point now,
                std::size_t slots) {
        std::size_t runs = 0;
        for (auto const& action : actions) {
            auto const id =
                std::visit([](auto const& a) { return a.id; }, action);
            auto const found = live_.find(id);
            RC_ASSERT(found != live_.end());
            auto const& entry = found->second.entry;
            bool const late = now + entry.service_time > entry.deadline ||
                              now >= entry.deadline;
            bool const waited = now > found->second.latest_dispatch;
            if (auto const* drop = std::get_if<drop_entry>(&action)) {
                bool const full = drop->reason == drop_reason::queue_full;
                bool const wait_exceeded =
                    drop->reason == drop_reason::waited_too_long;
                RC_ASSERT((full            ? live_.size() > options_.capacity
                           : wait_exceeded ? waited
                                           : late));
            } else {
                ++runs;
                RC_ASSERT(!late);
                RC_ASSERT(!waited);
            }
            live_.erase(found);
        }
        RC_ASSERT(runs == slots || live_.empty());
        RC_ASSERT(runs <= slots);
        RC_ASSERT(queue_.size() == live_.size());
    }

    struct live_entry {
        queue_entry entry;
        time_point latest_dispatch; ///< by the maximum wait
    };

    queue_options options_;
    admission_queue queue_;
    std::map<entry_id, live_entry> live_;
};

// Guards against lost, duplicated and late entries, slots that stay idle while
// entries are queued, and a queue that grows without bound.
TEST_CASE("each entry leaves the queue once and in time") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto const below = [&](std::uint64_t n) { return random() % n; };
        queue_options options;
        options.capacity = 1 + below(12);
        checked_queue queue(options);
        auto now = start;
        for (entry_id id = 1; id < 300; ++id) {
            now += std::chrono::milliseconds(below(15));
            switch (below(8)) {
            case 0:
                queue.take(below(4), now);
                break;
            case 1:
                queue.cancel(id - below(std::min<entry_id>(id, 10)));
                break;
            case 2:
                if (auto const drop = queue.next_drop()) {
                    now = std::max(now, *drop);
                    queue.take(0, now);
                    RC_ASSERT(!queue.next_drop() || *queue.next_drop() > now);
                }
                break;
            default:
                queue.push({id,
                            {std::to_string(below(4))},
                            static_cast<std::uint32_t>(below(4)),
                            static_cast<priority>(below(3)),
                            now + std::chrono::milliseconds(below(400)),
                            std::chrono::milliseconds(below(60))},
                           now);
            }
        }
        queue.take(1'000, now);
        RC_ASSERT(queue.empty());
    }));
}

// Guards against running a request that can't finish before its deadline, and
// against dropping one that just can.
TEST_CASE("an entry runs only if its service time fits the time left") {
    struct row {
        duration left;
        duration service_time;
        bool runs;
    };
    row const rows[] = {{10ms, 10ms, true}, {10ms, 10ms + 1ns, false},
                        {1ns, 0ns, true},   {0ns, 0ns, false},
                        {-1ms, 0ns, false}, {-1ms, 10ms, false}};
    for (auto const& row : rows) {
        admission_queue queue;
        auto timed = entry(1, "a");
        timed.deadline = start + row.left;
        timed.service_time = row.service_time;
        CHECK(queue.push(timed, start).empty() == row.runs);
        CHECK(dispatched(queue.take(1, start)).size() == row.runs);
    }
}

// Guards against lower priorities that starve under a flood of higher ones, and
// against lower ones that take more than their guaranteed share.
TEST_CASE("backlogged priorities get their shares") {
    struct row {
        std::vector<priority> waiting;
        std::vector<std::size_t> of_thousand;
    };
    row const rows[] = {
        {{interactive, normal, bulk}, {850, 100, 50}},
        {{interactive, bulk}, {950, 0, 50}},
        {{normal, bulk}, {0, 950, 50}},
        {{interactive, normal}, {900, 100, 0}},
    };
    for (auto const& row : rows) {
        queue_options options;
        options.capacity = 5'000;
        admission_queue queue(options);
        for (entry_id i = 0; i < 1'000; ++i)
            for (auto const level : row.waiting)
                queue.push(
                    entry(i * 3 + static_cast<entry_id>(level), "a", level),
                    start);
        std::vector<std::size_t> counts(3);
        for (auto const id : dispatched(queue.take(1'000, start)))
            ++counts[id % 3];
        // Each lower priority may be one dispatch short of its share; the
        // highest priority got that dispatch.
        auto const top = static_cast<std::size_t>(row.waiting.front());
        std::size_t owed = 0;
        for (std::size_t i = top + 1; i < 3; ++i) {
            CHECK(counts[i] <= row.of_thousand[i]);
            CHECK(counts[i] + 1 >= row.of_thousand[i]);
            owed += row.of_thousand[i] - counts[i];
        }
        CHECK(counts[top] == row.of_thousand[top] + owed);
    }
}

// Guards against an account that waits behind the backlog of another one.
TEST_CASE("each round serves every account in proportion to its weight") {
    CHECK(rc::check([] {
        auto const weights =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::inRange(1U, 6U)));
        RC_PRE(weights.size() < 10U);
        auto const level = *rc::gen::element(interactive, normal, bulk);
        admission_queue queue(long_wait_options());
        std::size_t round = 0;
        for (std::size_t a = 0; a < weights.size(); ++a) {
            round += weights[a];
            auto const backlog = 3 * weights[a] + *rc::gen::inRange(0U, 20U);
            for (std::size_t i = 0; i < backlog; ++i)
                queue.push(
                    entry(i * 10 + a, std::to_string(a), level, weights[a]),
                    start);
        }
        for (int r = 0; r < 3; ++r) {
            std::vector<std::uint32_t> served(weights.size());
            for (auto const id : dispatched(queue.take(round, start + 1s)))
                ++served[id % 10];
            RC_ASSERT(served == weights);
        }
    }));
}

// Guards against an entry that starves while other accounts flood its priority
// and the higher ones, whatever their number and weights.
TEST_CASE("a waiting account is served within its share under any flood") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto const below = [&](std::uint64_t n) { return random() % n; };
        auto options = long_wait_options();
        options.capacity = 10'000;
        admission_queue queue(options);
        entry_id next = 1;
        auto const flood = [&](std::uint64_t entries) {
            for (; entries > 0; --entries, ++next) {
                auto const account = below(5);
                queue.push(entry(next, std::to_string(account),
                                 static_cast<priority>(below(3)),
                                 static_cast<std::uint32_t>(account + 1)),
                           start);
            }
        };
        flood(below(100));
        auto const level = static_cast<priority>(below(3));
        queue.push(entry(0, "quiet", level), start);
        // A round of the flooding accounts takes 1 + 2 + 3 + 4 + 5 dispatches,
        // and a priority gets at least one in 20 dispatches (bulk). One more
        // may pass before the priority has its first full credit.
        int const bound = (15 + 1 + 1) * 20;
        int waited = 0;
        for (bool served = false; !served; ++waited) {
            RC_ASSERT(waited <= bound);
            flood(below(4));
            auto const ids = dispatched(queue.take(1, start + 1min));
            served = ids == std::vector<entry_id>{0};
        }
    }));
}

// Guards against metastable collapse: under overload, capacity is spent on
// entries that have time left; otherwise arrival order is kept.
TEST_CASE("interactive entries are taken newest first only under overload") {
    struct row {
        priority level;
        duration wait;
        std::vector<entry_id> order;
    };
    row const rows[] = {{interactive, 99ms, {1, 2, 3}},
                        {interactive, 100ms, {3, 2, 1}},
                        {normal, 1s, {1, 2, 3}},
                        {bulk, 1s, {1, 2, 3}}};
    for (auto const& row : rows) {
        admission_queue queue(long_wait_options());
        for (entry_id id = 1; id <= 3; ++id)
            queue.push(entry(id, "a", row.level), start);
        CHECK(queue.overloaded(start + row.wait) == (row.wait >= 100ms));
        CHECK(dispatched(queue.take(3, start + row.wait)) == row.order);
        CHECK_FALSE(queue.overloaded(start + 1h));
    }
}

// Guards against an overload that outlasts its cause because entries are served
// after their callers have already retried them.
TEST_CASE("no entry waits longer than its priority allows") {
    struct row {
        priority level;
        duration wait;
        bool dropped;
    };
    row const rows[] = {{interactive, 300ms, false},
                        {interactive, 301ms, true},
                        {normal, 301ms, true},
                        {bulk, 301ms, false},
                        {bulk, 3001ms, true}};
    for (auto const& row : rows) {
        admission_queue queue;
        queue.push(entry(1, "a", row.level), start);
        auto const actions = queue.take(1, start + row.wait);
        REQUIRE(actions.size() == 1);
        auto const expected =
            row.dropped
                ? queue_action(drop_entry{1, drop_reason::waited_too_long})
                : queue_action(dispatch_entry{1});
        CHECK(actions[0] == expected);
    }
}

// Guards against a flood that keeps accounts with little traffic and lower
// priorities out of a full queue.
TEST_CASE("a full queue drops from the account that fills it") {
    struct row {
        char const* name;
        priority flood;
        queue_entry arriving;
        entry_id dropped;
    };
    row const rows[] = {
        {"flooder itself", normal, entry(99, "flood"), 99},
        {"quiet account", normal, entry(99, "quiet"), 18},
        {"higher priority", normal, entry(99, "quiet", interactive), 18},
        {"lower priority within its share", interactive,
         entry(99, "quiet", bulk), 18},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        queue_options options;
        options.capacity = 20;
        admission_queue queue(options);
        for (entry_id id = 0; id < 19; ++id)
            queue.push(entry(id, "flood", row.flood), start);
        queue.push(entry(50, "other", row.flood), start);
        auto const actions = queue.push(row.arriving, start);
        CHECK(actions == std::vector<queue_action>{
                             drop_entry{row.dropped, drop_reason::queue_full}});
    }
}

} // namespace
} // namespace yuccabeam::limits
