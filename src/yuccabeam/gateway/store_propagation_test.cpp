#include "yuccabeam/gateway/peer_link.hpp"
#include "yuccabeam/gateway/peer_table.hpp"
#include "yuccabeam/gateway/store_schedule.hpp"
#include "yuccabeam/values/virtual_time.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr duration step = 5ms;
constexpr duration tick_period = 50ms;
constexpr duration max_tick_delay = 50ms;
constexpr duration link_delay = 10ms;
constexpr duration store_latency = 10ms;
constexpr duration pull_delay = 60ms; ///< same as in gateway_daemon
constexpr std::size_t domains = 3;
constexpr std::size_t daemons_per_domain = 11;
constexpr std::size_t daemons = domains * daemons_per_domain;
// Time limit for a configuration change to be in force on every daemon.
constexpr duration apply_limit = 2s;

/// Selects the daemons that the store stops answering at some point. The first
/// daemon of each failure domain watches it.
struct silence_case {
    char const* guards;
    std::function<bool(std::size_t domain, std::size_t index)> silent;
    bool killed = false; ///< the selected daemons are killed instead
    double loss = 0;     ///< fraction of datagrams lost
};

std::vector<silence_case> const cases = {
    {"no daemon is cut off", [](auto, auto) { return false; }},
    {"one watcher is cut off",
     [](auto domain, auto index) { return domain == 0 && index == 0; }},
    {"two watchers are cut off",
     [](auto domain, auto index) { return domain < 2 && index == 0; }},
    {"all watchers are cut off", [](auto, auto index) { return index == 0; }},
    {"all watchers and their first standbys are cut off",
     [](auto, auto index) { return index < 2; }},
    {"all watchers and all standbys but one per domain are cut off",
     [](auto, auto index) { return index < daemons_per_domain - 1; }},
    {"all daemons but one are cut off",
     [](auto domain, auto index) {
         return domain != 1 || index != daemons_per_domain - 1;
     }},
    {"all watchers are cut off, and datagrams are lost",
     [](auto, auto index) { return index == 0; }, false, 0.05},
    {"all watchers are killed", [](auto, auto index) { return index == 0; },
     true},
};

/// Simulates daemons that watch a store and forward its changes to each other.
class propagation_simulation {
public:
    propagation_simulation(silence_case const& c, duration silent_from,
                           duration change)
        : case_(c), silent_from_(start + silent_from), change_(start + change),
          random_(static_cast<unsigned>((silent_from + change) / step)) {
        for (std::size_t d = 0; d < daemons; ++d)
            nodes_.push_back(make(d));
        for (auto& node : nodes_)
            for (auto const& other : nodes_)
                node.table.add_address(other.address, now_);
    }

    /// Returns the time from the change until all running daemons have it.
    duration run() {
        for (; now_ < change_ + 5s; time_.run_until(now_ + step)) {
            for (auto& node : nodes_)
                if (runs(node) && now_ >= node.next_tick)
                    tick(node);
            if (now_ >= change_ && all_have(changed))
                return now_ - change_;
        }
        return 5s;
    }

private:
    static constexpr std::uint64_t before = 7;
    static constexpr std::uint64_t changed = 8;

    struct node {
        std::size_t domain;
        std::size_t index;
        std::string address;
        peer_table table;
        store_schedule schedule;
        std::uint64_t revision = 0;
        time_point next_tick;
        time_point next_heartbeat{};
        time_point next_other_domains_heartbeat{};
        std::optional<time_point> behind_since = {};
        bool pulling = false;
        bool reported_failure = false;
    };

    node make(std::size_t d) {
        auto const domain = d % domains;
        auto const index = d / domains;
        auto const address = "10." + std::to_string(domain) + ".0." +
                             std::to_string(100 + index) + ":7";
        return {domain,
                index,
                address,
                peer_table({{address}, {std::to_string(domain)}, domains}),
                schedule_of(d),
                0,
                start + random_duration(tick_period)};
    }

    static store_schedule schedule_of(std::size_t d) {
        store_schedule_options options;
        options.check_delay =
            max_check_delay * static_cast<int>(d) / static_cast<int>(daemons);
        return store_schedule(options);
    }

    duration random_duration(duration longest) {
        return step * static_cast<int>(random_() % (longest / step + 1));
    }

    bool lost() {
        return std::uniform_real_distribution<>(0, 1)(random_) < case_.loss;
    }

    bool silent(node const& node) const {
        return now_ >= silent_from_ && case_.silent(node.domain, node.index);
    }

    bool runs(node const& node) const {
        return !(case_.killed && silent(node));
    }

    bool all_have(std::uint64_t revision) const {
        return std::ranges::all_of(nodes_, [&](auto const& node) {
            return !runs(node) || node.revision >= revision;
        });
    }

    std::uint64_t stored() const { return now_ >= change_ ? changed : before; }

    void after(duration delay, std::function<void()> run) {
        time_.after(delay, std::move(run));
    }

    void tick(node& node) {
        node.next_tick = now_ + tick_period + random_duration(max_tick_delay);
        bool const should = node.table.should_watch(now_);
        if (auto const plan = node.schedule.next(should, now_))
            call(node, *plan);
        catch_up(node);
        if (now_ >= node.next_heartbeat ||
            node.schedule.last_call_failed() != node.reported_failure)
            send_heartbeats(node, now_ >= node.next_other_domains_heartbeat);
    }

    // --- store ---------------------------------------------------------------

    void call(node& node, planned_call const& plan) {
        auto const timeout_at = now_ + plan.timeout;
        auto const wait_ends = now_ + plan.wait;
        after(store_latency, [this, &node, plan, timeout_at, wait_ends] {
            poll(node, plan, timeout_at, wait_ends);
        });
    }

    // The store's side of a call: responds when there are changes or the wait
    // is over. A daemon that is cut off gets no response, and its call times
    // out.
    void poll(node& node, planned_call const& plan, time_point timeout_at,
              time_point wait_ends) {
        if (!runs(node))
            return;
        if (silent(node)) {
            after(timeout_at - now_, [this, &node, plan] {
                node.schedule.on_failure(plan.kind, now_);
            });
            return;
        }
        bool const has_changes = stored() > node.revision;
        if (!has_changes && now_ < wait_ends) {
            after(step, [this, &node, plan, timeout_at, wait_ends] {
                poll(node, plan, timeout_at, wait_ends);
            });
            return;
        }
        bool const first = plan.kind == store_call::list;
        node.schedule.on_answer(plan, has_changes, now_);
        update_revision(node, stored());
        if (has_changes && !first)
            forward_changes(node);
        if (!first)
            send_heartbeats(node, false);
    }

    // --- peers ---------------------------------------------------------------

    void update_revision(node& node, std::uint64_t revision) {
        node.revision = std::max(node.revision, revision);
    }

    void send(node& to, std::function<void()> run) {
        if (lost())
            return;
        after(link_delay, [this, &to, run = std::move(run)] {
            if (runs(to))
                run();
        });
    }

    void forward_changes(node& from) {
        for (auto& to : nodes_)
            send(to, [this, &to, revision = from.revision] {
                update_revision(to, revision);
            });
    }

    void send_heartbeats(node& from, bool to_all_domains) {
        heartbeat message;
        message.sender = {from.address};
        message.failure_domain = {std::to_string(from.domain)};
        message.incarnation = 1;
        message.store_revision = from.revision;
        message.watching = from.schedule.watching();
        message.store_call_failed = from.schedule.last_call_failed();
        from.reported_failure = message.store_call_failed;
        auto const confirmed = now_ - from.schedule.copy_age(now_);
        for (auto& to : nodes_)
            if (to_all_domains || to.domain == from.domain)
                send(to, [this, &to, message, confirmed] {
                    to.table.on_heartbeat(message, now_);
                    if (to.revision >= message.store_revision)
                        to.schedule.on_confirmed(confirmed + link_delay);
                });
        heartbeat_periods const periods;
        from.next_heartbeat = now_ + periods.same_domain;
        if (to_all_domains)
            from.next_other_domains_heartbeat = now_ + periods.other_domains;
    }

    void catch_up(node& node) {
        if (!node.table.peer_with_newer_copy(node.revision, now_)) {
            node.behind_since.reset();
            return;
        }
        if (!node.behind_since)
            node.behind_since = now_;
        if (now_ - *node.behind_since < pull_delay || node.pulling)
            return;
        node.pulling = true;
        auto const ahead = node.table.peer_with_newer_copy(node.revision, now_);
        after(2 * link_delay, [this, &node, revision = ahead->store_revision] {
            node.pulling = false;
            update_revision(node, revision);
        });
    }

    silence_case const& case_;
    time_point silent_from_;
    time_point change_;
    std::mt19937 random_;
    virtual_time time_{start};
    time_point const& now_ = time_.now();
    std::vector<node> nodes_;
};

} // namespace

// Guards against detection timeouts that add up when the store stops
// answering, so that a change arrives late.
TEST_CASE("a change reaches every daemon in time while the store doesn't "
          "answer its watchers") {
    for (auto const& c : cases) {
        duration worst{};
        // The change comes shortly after the store stops answering, and at
        // different phases of the watches.
        for (duration silent = 5s; silent < 6s; silent += 50ms)
            for (duration const later : {10ms, 200ms, 500ms, 900ms})
                worst = std::max(
                    worst,
                    propagation_simulation(c, silent, silent + later).run());
        CAPTURE(std::string(c.guards));
        CHECK(to_milliseconds(worst) <= to_milliseconds(apply_limit));
    }
}
