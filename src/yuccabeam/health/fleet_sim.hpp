#pragma once

// Virtual-time fleet for the tests: daemons with service_health, one arbiter,
// a delayed link, and targets with a fault model.
#include "yuccabeam/health/arbiter.hpp"
#include "yuccabeam/health/service_health.hpp"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace yuccabeam::health::test {

inline service_topology make_topology(std::uint32_t targets,
                                      std::uint32_t floor_slots,
                                      std::uint32_t domains = 3) {
    service_topology topology;
    topology.id = {"ledger"};
    topology.floor_slots = floor_slots;
    for (std::uint32_t i = 0; i < targets; ++i)
        topology.targets.push_back(
            {{std::string("t") + static_cast<char>('a' + i)},
             {"z" + std::to_string(i % domains)},
             6});
    topology.kinds = {{"deposit"}, {"transfer"}};
    return topology;
}

struct answer {
    request_outcome outcome = request_outcome::ok;
    duration latency = std::chrono::milliseconds(10);
};

/// Answer of a target to a daemon's request.
using fault_model =
    std::function<answer(std::uint32_t target, std::uint32_t daemon,
                         time_point now, std::mt19937_64& random)>;

class fleet {
public:
    fleet(std::uint32_t daemons, service_topology topology,
          health_options options, fault_model model, std::uint64_t seed)
        : topology_(std::move(topology)), options_(options),
          model_(std::move(model)), random_(seed),
          service_arbiter(daemon_id{"d0"}, 1, topology_, options, seed, now) {
        last_sent.assign(topology_.targets.size(), time_point{});
        for (std::uint32_t i = 0; i < daemons; ++i) {
            daemons_.emplace_back(
                observer_identity{{"d" + std::to_string(i)},
                                  1,
                                  {"z" + std::to_string(i % 3)}},
                topology_, options_, now);
            daemons_.back().choose_arbiter({"d0"}, daemons);
        }
        service_arbiter.set_home_daemons(daemons);
    }

    /// Requests per second of one daemon to the whole service.
    double rate = 12;
    time_point now{std::chrono::seconds(100)};
    std::vector<time_point> last_sent; ///< by target, trials left out
    std::uint32_t lowest_capacity = 1000000;

    service_health& daemon(std::size_t i) { return daemons_[i]; }

    void run(duration length) {
        auto const end = now + length;
        while (now < end) {
            now += step;
            deliver();
            for (std::uint32_t i = 0; i < daemons_.size(); ++i)
                tick(i);
        }
    }

private:
    static constexpr duration step = std::chrono::milliseconds(5);
    static constexpr duration delay = std::chrono::milliseconds(3);

    void deliver() {
        while (!events_.empty() && events_.begin()->first <= now) {
            auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

    void tick(std::uint32_t i) {
        auto& health = daemons_[i];
        std::poisson_distribution<int> arrivals(rate * to_seconds(step));
        for (auto n = arrivals(random_); n > 0; --n)
            request(i);
        if (auto const target = health.target_to_probe(now);
            target && health.try_start_trial(*target, now))
            send(i, *target, true);
        if (now >= health.report_due())
            if (auto report = health.report(now))
                events_.emplace(now + delay, [this, r = std::move(*report)] {
                    for (auto& table : service_arbiter.receive(r, now))
                        events_.emplace(now + delay, [this, t = table] {
                            daemons_[std::stoul(t.receiver.substr(1))].apply(
                                t, now);
                        });
                });
        lowest_capacity = std::min(lowest_capacity, health.healthy_slots(now));
    }

    void request(std::uint32_t i) {
        std::vector<double> first(topology_.targets.size());
        std::vector<double> last(first.size());
        for (std::uint32_t t = 0; t < first.size(); ++t) {
            auto const status = daemons_[i].status(t, now);
            if (status.state == target_state::trial &&
                daemons_[i].try_start_trial(t, now)) {
                send(i, t, true);
                return;
            }
            if (status.state == target_state::suspect)
                last[t] = status.weight;
            else
                first[t] = status.weight;
        }
        auto const& weights =
            std::any_of(first.begin(), first.end(),
                        [](double weight) { return weight > 0; })
                ? first
                : last;
        std::discrete_distribution<std::uint32_t> choice(weights.begin(),
                                                         weights.end());
        send(i, choice(random_), false);
    }

    void send(std::uint32_t i, std::uint32_t target, bool trial) {
        auto const got = model_(target, i, now, random_);
        if (!trial)
            last_sent[target] = now;
        observation seen{target, static_cast<std::uint32_t>(random_() % 2),
                         got.outcome, got.latency, random_() % 40};
        seen.trial = trial;
        events_.emplace(now + got.latency,
                        [this, i, seen] { daemons_[i].observe(seen, now); });
    }

    service_topology topology_;
    health_options options_;
    fault_model model_;
    std::mt19937_64 random_;
    std::vector<service_health> daemons_;
    std::multimap<time_point, std::function<void()>> events_;

public:
    arbiter service_arbiter;
};

} // namespace yuccabeam::health::test
