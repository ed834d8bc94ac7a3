#pragma once

#include "yuccabeam/gateway/peer_link.hpp"
#include "yuccabeam/gateway/peer_table.hpp"
#include "yuccabeam/gateway/store_availability.hpp"
#include "yuccabeam/gateway/store_schedule.hpp"
#include "yuccabeam/values/virtual_time.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

/// The daemons that the store stops answering at some point. The first daemon
/// of each failure domain watches it.
struct silence_case {
    char const* guards;
    std::function<bool(std::size_t domain, std::size_t index)> silent;
    bool killed = false; ///< the selected daemons are killed instead
    double loss = 0;     ///< fraction of datagrams lost
    /// Time for which they get no answers.
    duration silent_for = std::chrono::hours(1);
};

/// Simulates daemons that watch a store and forward its changes to each other.
/// Times are simulated; the same arguments give the same run.
class store_fleet_simulation {
public:
    static constexpr time_point start{std::chrono::seconds(1'000)};
    static constexpr duration step = std::chrono::milliseconds(5);
    static constexpr std::size_t domains = 3;
    static constexpr std::size_t daemons_per_domain = 11;
    static constexpr std::size_t daemons = domains * daemons_per_domain;
    static constexpr std::uint64_t first_revision = 7;

    /// A daemon's copy of the store has changed.
    struct update {
        std::size_t daemon;
        std::uint64_t from; ///< revisions
        std::uint64_t to;
        time_point now;
        time_point listed_until; ///< the copy was current
        std::optional<time_point> store_returned_at;
    };

    /// The store's revision increases by one at each of `changes`, which are
    /// times since the start, in order.
    store_fleet_simulation(silence_case const& c, duration silent_from,
                           std::vector<duration> changes)
        : case_(c), silent_from_(start + silent_from),
          changes_(std::move(changes)),
          random_(
              static_cast<unsigned>((silent_from + changes_.front()) / step)) {
        for (std::size_t d = 0; d < daemons; ++d)
            nodes_.push_back(make(d));
        for (auto& node : nodes_)
            for (auto const& other : nodes_)
                node.table.add_address(other.address, now_);
    }

    std::function<void(update const&)> on_update = [](update const&) {};

    time_point now() const { return now_; }
    /// When the daemon takes its copy to have been current.
    time_point confirmed_at(std::size_t daemon) const {
        return nodes_[daemon].schedule.confirmed_at();
    }

    void advance() {
        for (auto& node : nodes_)
            if (runs(node) && now_ >= node.next_tick)
                tick(node);
        time_.run_until(now_ + step);
    }

    /// All running daemons have the store's newest revision.
    bool all_have_newest() const {
        return std::ranges::all_of(nodes_, [&](auto const& node) {
            return !runs(node) || node.revision >= stored();
        });
    }

private:
    static constexpr duration tick_period = std::chrono::milliseconds(50);
    static constexpr duration max_tick_delay = std::chrono::milliseconds(50);
    static constexpr duration link_delay = std::chrono::milliseconds(10);
    static constexpr duration store_latency = std::chrono::milliseconds(10);
    /// The same as in gateway_daemon.
    static constexpr duration pull_delay = std::chrono::milliseconds(60);

    struct node {
        std::size_t number;
        std::size_t domain;
        std::size_t index;
        std::string address;
        peer_table table;
        store_schedule schedule;
        store_availability availability;
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
        return {d,
                domain,
                index,
                address,
                peer_table({{address}, {std::to_string(domain)}, domains}),
                schedule_of(d),
                store_availability(),
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
        return now_ >= silent_from_ && now_ < silent_from_ + case_.silent_for &&
               case_.silent(node.domain, node.index);
    }

    bool runs(node const& node) const {
        return !(case_.killed && silent(node));
    }

    std::uint64_t stored() const {
        return first_revision +
               static_cast<std::uint64_t>(
                   std::ranges::count_if(changes_, [&](duration change) {
                       return now_ >= start + change;
                   }));
    }

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
        auto const listed_until = node.schedule.confirmed_at();
        node.availability.on_answer(now_);
        node.schedule.on_answer(plan, has_changes, now_);
        update_revision(node, stored(), listed_until);
        if (has_changes && !first)
            forward_changes(node);
        if (!first)
            send_heartbeats(node, false);
    }

    // --- peers ---------------------------------------------------------------

    void update_revision(node& node, std::uint64_t revision,
                         time_point listed_until) {
        if (revision <= node.revision)
            return;
        auto const from = std::exchange(node.revision, revision);
        on_update({node.number, from, revision, now_, listed_until,
                   node.availability.returned_at(now_)});
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
                update_revision(to, revision, to.schedule.confirmed_at());
            });
    }

    void send_heartbeats(node& from, bool to_all_domains) {
        heartbeat message;
        message.sender = {from.address};
        message.control = from.address;
        message.failure_domain = {std::to_string(from.domain)};
        message.incarnation = 1;
        message.store_revision = from.revision;
        message.watching = from.schedule.watching();
        message.store_call_failed = from.schedule.last_call_failed();
        from.reported_failure = message.store_call_failed;
        message.copy_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                from.schedule.copy_age(now_));
        if (auto const& period = from.availability.period())
            message.store_available = ages_of(*period, now_);
        for (auto& to : nodes_)
            if (to_all_domains || to.domain == from.domain)
                send(to, [this, &to, message] { receive(to, message); });
        heartbeat_periods const periods;
        from.next_heartbeat = now_ + periods.same_domain;
        if (to_all_domains)
            from.next_other_domains_heartbeat = now_ + periods.other_domains;
    }

    void receive(node& to, heartbeat const& message) {
        if (auto const& ages = message.store_available)
            to.availability.on_period(period_of(*ages, now_));
        to.table.on_heartbeat(message, now_);
        if (to.revision >= message.store_revision)
            to.schedule.on_confirmed(time_of_event(message.copy_age, now_));
    }

    void catch_up(node& node) {
        auto const ahead =
            node.table.peers_with_newer_copy(node.revision, now_);
        if (ahead.empty()) {
            node.behind_since.reset();
            return;
        }
        if (!node.behind_since)
            node.behind_since = now_;
        if (now_ - *node.behind_since < pull_delay || node.pulling)
            return;
        node.pulling = true;
        auto const chosen = pull_sources().choose(ahead, random_(), now_);
        auto const& source = *std::ranges::find(nodes_, chosen, &node::address);
        after(2 * link_delay, [this, &node, &source] {
            node.pulling = false;
            update_revision(node, source.revision,
                            node.schedule.confirmed_at());
        });
    }

    silence_case const& case_;
    time_point silent_from_;
    std::vector<duration> changes_;
    std::mt19937 random_;
    virtual_time time_{start};
    time_point const& now_ = time_.now();
    std::vector<node> nodes_;
};

} // namespace yuccabeam::gateway
