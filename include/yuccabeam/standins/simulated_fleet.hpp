#pragma once

#include "yuccabeam/membership/config_spread.hpp"
#include "yuccabeam/membership/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Daemons' decision states joined by an in-memory link in virtual time, for
/// tests and benchmarks.
namespace yuccabeam::standins {

using fleet_message =
    std::variant<membership::ping, membership::ping_req, membership::ack,
                 membership::config_announce>;

struct fleet_options {
    membership::options membership;
    membership::spread_options spread;
    std::size_t failure_domains = 3;
    /// Time of one fetch of a configuration from a peer.
    duration fetch_time = std::chrono::milliseconds(20);
    std::uint64_t seed = 1;
};

class simulated_fleet {
public:
    /// Delays of the copies that arrive; empty when the message is lost.
    using link = std::function<std::vector<duration>(
        std::size_t from, std::size_t to, membership::random_engine& rng)>;
    /// Called for each message that arrives; returns what is delivered.
    using wire = std::function<std::optional<fleet_message>(
        std::size_t from, std::size_t to, fleet_message const& message)>;
    /// Called after each event of a member list.
    using observer = std::function<void(std::size_t at,
                                        membership::member_event const& event)>;

    explicit simulated_fleet(std::size_t size,
                             fleet_options const& settings = {})
        : settings_(settings), rng_(settings_.seed), nodes_(size) {
        delivery_ = [](std::size_t, std::size_t, membership::random_engine&) {
            return std::vector<duration>{std::chrono::milliseconds(2)};
        };
    }

    void set_link(link delivery) { delivery_ = std::move(delivery); }
    void set_wire(wire transfer) { transfer_ = std::move(transfer); }
    void set_observer(observer watch) { watch_ = std::move(watch); }

    static daemon_id name(std::size_t i) { return {"vm-" + std::to_string(i)}; }
    static std::string address(std::size_t i) {
        return "127.0.0.1:" + std::to_string(20'000 + i);
    }

    /// Starts a daemon, or restarts it with the given incarnation.
    void start(std::size_t i, incarnation start,
               std::vector<std::size_t> const& listed) {
        auto& node = nodes_[i];
        ++node.life;
        membership::member self;
        self.id = name(i);
        self.incarnation = start;
        self.info = {{"fd-" + std::to_string(i % settings_.failure_domains)},
                     address(i),
                     "127.0.0.1:" + std::to_string(40'000 + i),
                     true};
        // Processes don't start at the same moment.
        std::uniform_int_distribution<std::int64_t> phase(
            0, settings_.membership.probe_period.count());
        node.next_wake = now_ + duration(phase(rng_));
        node.state = std::make_unique<membership::state>(
            self, settings_.membership, node.next_wake);
        node.spread.emplace(membership::config_digest{}, settings_.spread);
        std::vector<membership::vm_list_entry> vms;
        vms.reserve(listed.size());
        for (std::size_t other : listed)
            vms.push_back({name(other), address(other), false});
        run(i, node.state->set_vm_list(vms, now_));
        schedule(node.next_wake, i, wake{});
    }

    /// Suspends a daemon; its messages wait in its socket.
    void pause(std::size_t i, duration d) { nodes_[i].paused_until = now_ + d; }

    void stop(std::size_t i) {
        ++nodes_[i].life;
        nodes_[i].state.reset();
    }

    void leave(std::size_t i) {
        run(i, nodes_[i].state->leave(now_, rng_));
        stop(i);
    }

    /// Replaces the VM list of a daemon.
    void hint(std::size_t i,
              std::vector<membership::vm_list_entry> const& vms) {
        run(i, nodes_[i].state->set_vm_list(vms, now_));
        schedule(nodes_[i].state->next_tick(), i, wake{});
    }

    /// A revision comes into force at one daemon, as a watcher gets it.
    void accept(std::size_t i, membership::config_digest config) {
        auto& node = nodes_[i];
        if (config.revision <= node.spread->in_force().revision)
            return;
        node.state->set_config(config);
        for (auto const& told : node.spread->applied(
                 config, "127.0.0.1:" + std::to_string(40'000 + i), *node.state,
                 rng_))
            send(i, told.to.id, told.message);
        if (applied_)
            applied_(i, config);
    }
    void set_applied(
        std::function<void(std::size_t, membership::config_digest)> applied) {
        applied_ = std::move(applied);
    }

    bool is_running(std::size_t i) const { return nodes_[i].state != nullptr; }
    membership::state& at(std::size_t i) { return *nodes_[i].state; }
    std::size_t size() const { return nodes_.size(); }
    time_point now() const { return now_; }
    membership::random_engine& rng() { return rng_; }

    void run_for(duration d) {
        time_point const end = now_ + d;
        while (!events_.empty() && events_.top().at <= end) {
            event next = events_.top();
            events_.pop();
            now_ = next.at;
            auto& node = nodes_[next.node];
            if (!node.state || next.life != node.life)
                continue;
            // After a pause timers run before the socket is read.
            bool const timer = std::holds_alternative<wake>(next.what);
            if (now_ < node.paused_until)
                schedule(node.paused_until +
                             std::chrono::milliseconds(timer ? 0 : 1),
                         next.node, std::move(next.what));
            else
                std::visit([&](auto& e) { handle(next.node, e); }, next.what);
        }
        now_ = end;
    }

    /// Ids that daemon `i` believes live.
    std::vector<daemon_id> view(std::size_t i) const {
        std::vector<daemon_id> out;
        for (auto const& m : nodes_[i].state->live_members())
            out.push_back(m.id);
        return out;
    }

private:
    struct wake {};
    struct arrival {
        std::size_t from;
        fleet_message message;
    };
    struct fetch_end {
        membership::fetch_request request;
    };
    struct event {
        time_point at;
        std::uint64_t order;
        std::size_t node;
        std::uint64_t life;
        std::variant<wake, arrival, fetch_end> what;
        bool operator<(event const& other) const {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };
    struct node {
        std::unique_ptr<membership::state> state;
        std::optional<membership::config_spread> spread;
        std::uint64_t life = 0;
        time_point paused_until{};
        time_point next_wake = time_point::max();
    };

    template <class What>
    void schedule(time_point at, std::size_t i, What what) {
        events_.push({at, ++order_, i, nodes_[i].life, std::move(what)});
    }

    static std::size_t index(daemon_id const& id) {
        return std::stoul(id.value.substr(3));
    }

    void send(std::size_t from, daemon_id const& to,
              fleet_message const& message) {
        std::size_t const target = index(to);
        for (duration delay : delivery_(from, target, rng_))
            schedule(now_ + delay, target, arrival{from, message});
    }

    void run(std::size_t i, membership::actions const& todo) {
        for (auto const& out : todo.messages)
            std::visit([&](auto const& m) { send(i, out.to.id, m); },
                       out.message);
        if (watch_)
            for (auto const& e : todo.events)
                watch_(i, e);
        for (auto const& heard : todo.digests)
            fetch(i, nodes_[i].spread->digest_received(heard, now_));
    }

    void fetch(std::size_t i,
               std::optional<membership::fetch_request> const& request) {
        if (request)
            schedule(now_ + settings_.fetch_time, i, fetch_end{*request});
    }

    void handle(std::size_t i, wake) {
        auto& node = nodes_[i];
        if (now_ < node.state->next_tick() && now_ < node.next_wake)
            return;
        run(i, node.state->tick(now_, rng_));
        fetch(i, node.spread->tick(now_));
        node.next_wake = node.state->next_tick();
        schedule(node.next_wake, i, wake{});
    }

    void handle(std::size_t i, arrival& in) {
        std::optional<fleet_message> got =
            transfer_ ? transfer_(in.from, i, in.message) : in.message;
        if (!got)
            return;
        auto& node = nodes_[i];
        membership::peer const from{name(in.from), address(in.from)};
        if (auto const* told =
                std::get_if<membership::config_announce>(&*got)) {
            fetch(i, node.spread->digest_received(
                         {from.id, told->http_address, told->config}, now_));
            return;
        }
        membership::probe_message probe;
        std::visit(
            [&](auto&& m) {
                if constexpr (std::is_constructible_v<membership::probe_message,
                                                      decltype(m)>)
                    probe = std::forward<decltype(m)>(m);
            },
            std::move(*got));
        run(i, node.state->receive(probe, from, now_));
        time_point const next = node.state->next_tick();
        if (next < node.next_wake) {
            node.next_wake = next;
            schedule(next, i, wake{});
        }
    }

    void handle(std::size_t i, fetch_end const& done) {
        auto const& source = done.request.http_address;
        // The store is unreachable here: only peers serve chunks.
        if (!source.empty()) {
            auto const& peer = nodes_[std::stoul(source.substr(10)) - 40'000];
            if (peer.state && peer.spread->in_force() == done.request.config)
                return accept(i, done.request.config);
        }
        fetch(i, nodes_[i].spread->fetch_failed(now_));
    }

    fleet_options settings_;
    membership::random_engine rng_;
    std::vector<node> nodes_;
    std::priority_queue<event> events_;
    link delivery_;
    wire transfer_;
    observer watch_;
    std::function<void(std::size_t, membership::config_digest)> applied_;
    time_point now_ = time_point(std::chrono::hours(1));
    std::uint64_t order_ = 0;
};

} // namespace yuccabeam::standins
