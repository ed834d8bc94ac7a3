// Goodput of the admission queue under overload, in virtual time.
//
// One account sends half of the requests, 19 others share the rest. Service
// times are lognormal around the median that the queue knows. A run that
// ends after its deadline is wasted. Prints one JSON line per load and order:
//   overload_bench [seed]
#include "yuccabeam/limits/admission_queue.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace {

using namespace yuccabeam;
using namespace std::chrono_literals;

constexpr std::size_t slots = 42; // 7 targets with 6 slots
constexpr std::size_t accounts = 20;
constexpr duration median_service = 20ms;
constexpr duration time_allowed = 500ms;
constexpr duration simulated = 60s;
constexpr double spread = 0.5; // sigma of the lognormal service time

struct waiting {
    time_point deadline;
    bool flooder = false;
};

struct totals {
    std::size_t offered = 0;
    std::size_t good = 0;
    std::size_t late = 0;
    std::size_t dropped = 0;
    std::size_t quiet_offered = 0;
    std::size_t quiet_good = 0;
    std::size_t longest_queue = 0;
};

class simulation {
public:
    simulation(std::uint64_t seed, double load, bool newest_first)
        : random_(seed), load_(load), queue_(options(newest_first)) {}

    totals run() {
        time_point const end = time_point{} + simulated;
        auto arrival = time_point{};
        while (arrival < end) {
            arrival += next_gap();
            finish_until(arrival);
            arrive(arrival);
            dispatch(arrival);
        }
        return totals_;
    }

private:
    static limits::queue_options options(bool newest_first) {
        limits::queue_options out;
        if (!newest_first)
            out.overload_after = simulated * 2;
        return out;
    }

    duration next_gap() {
        // Mean of the lognormal service time: median x exp(sigma^2 / 2).
        double const mean =
            to_seconds(median_service) * std::exp(spread * spread / 2);
        double const rate = load_ * static_cast<double>(slots) / mean;
        return from_seconds(std::exponential_distribution<>(rate)(random_));
    }

    duration service_time() {
        return from_seconds(
            to_seconds(median_service) *
            std::lognormal_distribution<>(0.0, spread)(random_));
    }

    void arrive(time_point now) {
        bool const flooder = random_() % 2 == 0;
        limits::queue_entry entry;
        entry.id = next_id_++;
        entry.account.value =
            std::to_string(flooder ? 0 : 1 + random_() % (accounts - 1));
        entry.priority = priority::interactive;
        entry.deadline = now + time_allowed;
        entry.service_time = median_service;
        waiting_.emplace(entry.id, waiting{entry.deadline, flooder});
        ++totals_.offered;
        totals_.quiet_offered += !flooder;
        act(queue_.push(entry, now), now);
        totals_.longest_queue = std::max(totals_.longest_queue, queue_.size());
    }

    void dispatch(time_point now) {
        act(queue_.take(slots - busy_.size(), now), now);
    }

    void act(std::vector<limits::queue_action> const& actions, time_point now) {
        for (auto const& action : actions) {
            auto const id =
                std::visit([](auto const& a) { return a.id; }, action);
            auto const entry = waiting_.extract(id).mapped();
            if (std::holds_alternative<limits::drop_entry>(action)) {
                ++totals_.dropped;
                continue;
            }
            auto const end = now + service_time();
            busy_.push(end);
            bool const good = end <= entry.deadline;
            ++(good ? totals_.good : totals_.late);
            totals_.quiet_good += good && !entry.flooder;
        }
    }

    void finish_until(time_point now) {
        while (!busy_.empty() && busy_.top() <= now) {
            auto const at = busy_.top();
            busy_.pop();
            dispatch(at);
        }
    }

    std::mt19937_64 random_;
    double load_;
    limits::admission_queue queue_;
    limits::entry_id next_id_ = 0;
    std::unordered_map<limits::entry_id, waiting> waiting_;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>>
        busy_;
    totals totals_;
};

double share(std::size_t part, std::size_t whole) {
    return static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

int main(int argc, char** argv) {
    std::uint64_t const seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    for (double const load : {0.9, 1.2, 2.0, 4.0})
        for (bool const newest_first : {false, true}) {
            auto const result = simulation(seed, load, newest_first).run();
            nlohmann::json const line = {
                {"seed", seed},
                {"load", load},
                {"newest_first", newest_first},
                {"offered", result.offered},
                {"good", share(result.good, result.offered)},
                {"run_but_late", share(result.late, result.good + result.late)},
                {"dropped", share(result.dropped, result.offered)},
                {"quiet_accounts_good",
                 share(result.quiet_good, result.quiet_offered)},
                {"longest_queue", result.longest_queue}};
            std::cout << line.dump() << "\n";
        }
}
