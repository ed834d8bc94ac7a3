#pragma once

#include "yuccabeam/gateway/quota_service.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// A fleet of `quota_service` objects in virtual time, for tests.
namespace yuccabeam::gateway {

/// What one account sends to the fleet, and what became of it.
struct quota_demand {
    account_id id;
    limits::quota limit;
    double usual = 0; ///< requests per second
    bool surges = false;
    /// If not empty, nothing is sent but `usual` for `burst_length` each.
    std::vector<time_point> bursts{};

    struct run {
        time_point sent;
        time_point granted;
    };
    std::vector<run> granted{};
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0;
    /// Refused although the granted requests left a token in one bucket with
    /// the account's rate and burst.
    std::uint64_t refused_below = 0;
    double tokens = 0; ///< of that bucket
    time_point settled_at{};

    static constexpr duration burst_length = std::chrono::milliseconds(300);

    bool sends(time_point now) const {
        return bursts.empty() || std::ranges::any_of(bursts, [&](auto from) {
                   return now >= from && now < from + burst_length;
               });
    }
    double reference_capacity() const { return std::max(limit.burst, 1.0); }
    void settle(time_point now) {
        tokens = std::min(tokens + limit.rate * to_seconds(now - settled_at),
                          reference_capacity());
        settled_at = now;
    }
};

/// Most requests of an account within any window, both sent and granted in it.
inline std::size_t most_in_window(std::vector<quota_demand::run> runs,
                                  duration window, time_point from = {}) {
    std::ranges::sort(runs, {}, &quota_demand::run::sent);
    std::size_t most = 0;
    for (auto i = runs.begin(); i != runs.end(); ++i) {
        if (i->sent < from)
            continue;
        std::size_t count = 0;
        for (auto j = i; j != runs.end() && j->sent <= i->sent + window; ++j)
            count += j->granted <= i->sent + window;
        most = std::max(most, count);
    }
    return most;
}

struct quota_fleet_options {
    std::size_t daemons = 20;
    std::size_t first = 20; ///< daemons that start at once
    unsigned seed = 1;
    bool new_fleet = true;
    double loss = 0.001;
    /// After its start, a daemon reads the list of daemons for this long.
    duration list_time = std::chrono::milliseconds(500);
    duration min_delay = std::chrono::microseconds(100);
    duration max_delay = std::chrono::milliseconds(8);
};

class quota_fleet {
public:
    using link_test = std::function<bool(std::size_t from, std::size_t to)>;

    quota_fleet(quota_fleet_options options, std::vector<quota_demand> demands)
        : demands(std::move(demands)), options_(options), random_(options.seed),
          nodes_(options.daemons) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].address = "10.0." + std::to_string(i / 250) + "." +
                                std::to_string(i % 250) + ":7";
            index_[nodes_[i].address] = i;
        }
        for (std::size_t i = 0; i < options_.first; ++i)
            start(i, options_.new_fleet);
        // Requests before the first loans would only measure the start.
        for (std::size_t a = 0; a < this->demands.size(); ++a) {
            this->demands[a].tokens = this->demands[a].reference_capacity();
            push({now_ + std::chrono::seconds(3), event_kind::arrival, a});
        }
    }

    void at(duration after, std::function<void()> action) {
        event out{time_point{} + after, event_kind::action};
        out.action = std::move(action);
        push(std::move(out));
    }
    void run_until(duration end) {
        while (!events_.empty() && events_.top().at <= time_point{} + end) {
            auto next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(std::move(next));
        }
    }

    // --- failures ---
    void cut(link_test test) { cut_ = std::move(test); }
    void heal() { cut_ = {}; }
    void kill(std::size_t i) {
        nodes_[i].service.reset();
        ++nodes_[i].life;
    }
    void start(std::size_t i, bool new_fleet = false) {
        auto& node = nodes_[i];
        listed_ += node.life == 0;
        ++node.life;
        node.heard.assign(nodes_.size(), never);
        node.started = now_;
        node.paused_until = {};
        quota_service_options options;
        options.address = node.address;
        // 2^20 numbers of requests for each process
        options.incarnation = ++incarnations_ << 20;
        options.processor_percent = 400;
        options.new_fleet = new_fleet;
        node.service =
            std::make_unique<quota_service>(options, callbacks(i), now_);
        node.service->set_active(true);
        push({now_ + uniform(tick_period), event_kind::tick, i, node.life});
        push({now_, event_kind::beat, i, node.life});
    }
    /// A stop that announces itself; the process answers until it is killed.
    void stop(std::size_t i) {
        nodes_[i].service->release(now_);
        ++nodes_[i].life_of_beats;
        for (auto& node : nodes_)
            node.heard[i] = never;
    }
    void pause(std::size_t i, duration length) {
        nodes_[i].paused_until = now_ + length;
    }
    /// The daemons in the order in which they are chosen as pools.
    std::vector<std::size_t> pool_order() const {
        std::vector<std::size_t> out(nodes_.size());
        std::iota(out.begin(), out.end(), std::size_t{0});
        std::ranges::sort(out, [&](std::size_t a, std::size_t b) {
            return is_better_relay({nodes_[a].address, 400},
                                   {nodes_[b].address, 400});
        });
        return out;
    }

    time_point now() const { return now_; }
    std::size_t size() const { return nodes_.size(); }

    std::vector<quota_demand> demands;
    double surge = 1;
    quota_fleet_options& network() { return options_; }

private:
    enum class event_kind { tick, beat, message, arrival, request, action };
    struct event {
        time_point at;
        event_kind kind{};
        std::size_t index = 0; ///< of the daemon or account
        std::uint64_t life = 0;
        std::shared_ptr<peer_message const> message{};
        std::size_t account = 0;
        time_point sent{};
        std::function<void()> action{};
        std::uint64_t order = 0;

        bool operator<(event const& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct node {
        std::string address;
        std::unique_ptr<quota_service> service;
        std::uint64_t life = 0;
        std::uint64_t life_of_beats = 0;
        time_point started{};
        time_point paused_until{};
        std::vector<time_point> heard;
    };

    static constexpr time_point never{std::chrono::hours(-1)};
    static constexpr duration tick_period = std::chrono::milliseconds(50);
    static constexpr duration beat_period = std::chrono::seconds(1);
    static constexpr duration peer_timeout = std::chrono::seconds(4);
    static constexpr std::size_t callers = 40; ///< of an account

    void push(event next) {
        next.order = ++order_;
        events_.push(std::move(next));
    }
    duration uniform(duration below) {
        return duration(std::uniform_int_distribution<duration::rep>(
            0, below.count())(random_));
    }
    bool chance(double probability) {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }
    bool is_cut(std::size_t from, std::size_t to) const {
        return cut_ && cut_(from, to);
    }

    quota_callbacks callbacks(std::size_t i) {
        quota_callbacks out;
        out.send = [this, i](peer_message const& message,
                             std::string const& address) {
            auto const to = index_.at(address);
            if (is_cut(i, to) || chance(options_.loss))
                return;
            auto const delay = options_.min_delay +
                               uniform(options_.max_delay - options_.min_delay);
            event next{now_ + delay, event_kind::message, to};
            next.message = std::make_shared<peer_message const>(message);
            push(std::move(next));
        };
        out.candidates = [this, i](time_point now) {
            std::vector<relay_candidate> live;
            for (std::size_t j = 0; j < nodes_.size(); ++j)
                if (j != i && now - nodes_[i].heard[j] < peer_timeout)
                    live.push_back({nodes_[j].address, 400});
            return live;
        };
        out.quota_of =
            [this](account_id const& id) -> std::optional<limits::quota> {
            for (auto const& one : demands)
                if (one.id == id)
                    return one.limit;
            return std::nullopt;
        };
        return out;
    }

    void handle(event next) {
        switch (next.kind) {
        case event_kind::action:
            return next.action();
        case event_kind::arrival:
            return arrive(next.index);
        case event_kind::beat:
            return beat(next);
        default:
            break;
        }
        auto& node = nodes_[next.index];
        bool const stale =
            next.kind == event_kind::tick && next.life != node.life;
        if (!node.service || stale)
            return;
        if (now_ < node.paused_until) {
            next.at = node.paused_until;
            return push(std::move(next));
        }
        if (next.kind == event_kind::tick)
            tick(next.index);
        else if (next.kind == event_kind::request)
            request(next);
        else
            deliver(*node.service, *next.message);
    }
    void tick(std::size_t i) {
        auto& node = nodes_[i];
        bool const listed = now_ - node.started >= options_.list_time;
        if (listed)
            node.service->on_fleet_size(listed_);
        node.service->tick(now_);
        push({now_ + tick_period, event_kind::tick, i, node.life});
    }
    void beat(event const& next) {
        auto& from = nodes_[next.index];
        if (!from.service || next.life != from.life)
            return;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            auto& to = nodes_[i];
            if (i == next.index || !to.service || is_cut(next.index, i) ||
                now_ < from.paused_until)
                continue;
            to.heard[next.index] = now_;
            to.service->on_heard(from.address, now_);
        }
        push({now_ + beat_period - uniform(beat_period / 10), event_kind::beat,
              next.index, next.life});
    }
    void deliver(quota_service& to, peer_message const& message) {
        if (auto const* one = std::get_if<quota_request_message>(&message))
            to.handle(*one, now_);
        if (auto const* one = std::get_if<quota_grant_message>(&message))
            to.handle(*one, now_);
        if (auto const* one = std::get_if<quota_release_message>(&message))
            to.handle(*one, now_);
    }

    // Callers of an account are spread by hash; the first ones send most.
    void arrive(std::size_t a) {
        auto& demand = demands[a];
        auto const rate = demand.usual * (demand.surges ? surge : 1);
        push({now_ +
                  from_seconds(std::exponential_distribution<>(rate)(random_)),
              event_kind::arrival, a});
        if (!demand.sends(now_))
            return;
        ++demand.arrived;
        auto const draw = std::uniform_real_distribution<>(0, 1)(random_);
        auto const caller =
            static_cast<std::size_t>(draw * draw * double(callers));
        auto to =
            std::hash<std::string>{}(demand.id.value + std::to_string(caller)) %
            nodes_.size();
        while (!nodes_[to].service)
            to = (to + 1) % nodes_.size();
        event next{now_, event_kind::request, to};
        next.account = a;
        next.sent = now_;
        push(std::move(next));
    }
    void request(event const& next) {
        auto const a = next.account;
        auto const sent = next.sent;
        nodes_[next.index].service->acquire(
            demands[a].id, now_,
            [this, a, sent](quota_result result, duration) {
                auto& demand = demands[a];
                demand.settle(now_);
                if (result == quota_result::granted) {
                    demand.granted.push_back({sent, now_});
                    demand.tokens = std::max(demand.tokens - 1, 0.0);
                    return;
                }
                ++demand.refused;
                demand.refused_below += demand.tokens >= 1;
            });
    }

    quota_fleet_options options_;
    std::mt19937_64 random_;
    std::vector<node> nodes_;
    std::map<std::string, std::size_t> index_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::uint64_t incarnations_ = 0;
    std::size_t listed_ = 0; ///< daemons that have ever started
    time_point now_{};
    link_test cut_;
};

} // namespace yuccabeam::gateway
