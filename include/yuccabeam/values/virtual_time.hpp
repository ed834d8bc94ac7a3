#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace yuccabeam {

/// Simulated clock and timer queue for tests and benchmarks.
class virtual_time {
public:
    explicit virtual_time(time_point start = {}) : now_(start) {}

    time_point const& now() const { return now_; }

    /// Schedules `run` to be called after `delay`.
    void after(duration delay, std::function<void()> run) {
        events_.push({now_ + delay, next_sequence_++, std::move(run)});
    }

    /// Runs all events due before `end`, ordered by due time and then by
    /// insertion, and advances the clock to `end`.
    void run_until(time_point end) {
        while (!events_.empty() && events_.top().due < end) {
            auto const event = events_.top();
            events_.pop();
            now_ = event.due;
            event.run();
        }
        now_ = end;
    }

private:
    struct event {
        time_point due;
        std::uint64_t sequence;
        std::function<void()> run;

        bool operator<(event const& other) const {
            return std::pair(due, sequence) >
                   std::pair(other.due, other.sequence);
        }
    };

    time_point now_;
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<event> events_;
};

} // namespace yuccabeam
