#pragma once

#include "yuccabeam/placement/service_admission.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace yuccabeam::placement {

using namespace std::chrono_literals;

inline constexpr time_point start{100s};
inline constexpr std::size_t targets = 8;
inline constexpr std::uint32_t slots_each = 5;
inline constexpr double slots = targets * slots_each;
inline constexpr double mean_work_s = 0.1;
/// Requests per second that all targets can serve.
inline constexpr double capacity = targets * slots_each / mean_work_s;

/// Callers of one kind, and a period in which they send.
struct caller_kind {
    std::string name;
    std::string account;
    priority level = priority::normal;
    double rate = 0; ///< requests per second over the fleet
    duration objective = 500ms;
    duration time_left = 2s; ///< to the deadline
    double work = 1;         ///< as a multiple of the mean
    duration from = 0s;
    duration to = 10s;
};

struct world_options {
    std::size_t daemons = 4;
    duration load_age = 50ms; ///< of the other daemons' requests in flight
    bool loads_arrive = true;
    bool relayed = false;
    bool admission = true;
    std::uint64_t seed = 7;
    duration end = 25s;
};

struct kind_result {
    std::size_t sent = 0;
    std::size_t served = 0;  ///< within the objective
    std::size_t refused = 0; ///< as not run
    std::size_t late = 0;
    /// Of requests that arrived after the first 11 s.
    std::size_t sent_after = 0;
    std::size_t served_after = 0;
    duration longest{}; ///< to any answer
    double share() const {
        return sent == 0
                   ? 1
                   : static_cast<double>(served) / static_cast<double>(sent);
    }
};

inline constexpr time_point after_load = start + 11s;

struct world_result {
    std::map<std::string, kind_result> kinds;
    std::size_t queued = 0;        ///< requests that had to wait
    std::size_t left_in_queue = 0; ///< at the end
    bool short_at_end = false;
    /// Targets that got requests in the last 2 s, while requests were queued.
    std::size_t least_targets_used = targets;
    std::size_t waits_with_room = 0; ///< looks that left requests queued
                                     ///< although 0.7 of the slots were free
};

/// One service in virtual time: several daemons that learn of one another's
/// requests late, targets with slots and queues of their own, and callers of
/// some kinds.
class world {
public:
    world(std::vector<caller_kind> kinds, world_options options)
        : kinds_(std::move(kinds)), options_(options), random_(options.seed),
          daemons_(options.daemons),
          own_(options.daemons, std::vector<int>(targets, 0)) {}

    world_result run() {
        for (std::size_t kind = 0; kind < kinds_.size(); ++kind)
            schedule_arrival(kind, start + kinds_[kind].from);
        for (std::size_t daemon = 0; daemon < options_.daemons; ++daemon)
            schedule(start + 1ms * daemon, event_kind::look, daemon);
        schedule(start, event_kind::report, 0);
        while (!events_.empty() && events_.top().at < start + options_.end) {
            auto const event = events_.top();
            events_.pop();
            now_ = event.at;
            handle(event);
        }
        for (auto const& daemon : daemons_) {
            result_.left_in_queue += daemon.queued();
            result_.short_at_end |= daemon.short_of_room();
        }
        return result_;
    }

private:
    enum class event_kind { arrival, end, look, report };

    struct event {
        time_point at;
        std::uint64_t number = 0;
        event_kind kind = event_kind::arrival;
        std::size_t index = 0;
        bool operator>(event const& other) const {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    struct request {
        std::size_t kind = 0;
        std::size_t daemon = 0;
        std::size_t target = 0;
        time_point arrived;
    };

    struct target_state {
        std::size_t busy = 0;
        std::deque<std::size_t> queue;
        time_point sent_at{}; ///< the last request
    };

    void schedule(time_point at, event_kind kind, std::size_t index) {
        events_.push({at, next_event_++, kind, index});
    }

    void schedule_arrival(std::size_t kind, time_point after) {
        std::exponential_distribution<double> gap(kinds_[kind].rate);
        auto const at = after + from_seconds(gap(random_));
        if (at < start + kinds_[kind].to)
            schedule(at, event_kind::arrival, kind);
    }

    void handle(event const& event) {
        switch (event.kind) {
        case event_kind::arrival:
            arrive(event.index);
            schedule_arrival(event.index, now_);
            break;
        case event_kind::end:
            end(event.index);
            break;
        case event_kind::look:
            look(event.index);
            schedule(now_ + 10ms, event_kind::look, event.index);
            break;
        case event_kind::report:
            reported_ = own_;
            schedule(now_ + options_.load_age, event_kind::report, 0);
            break;
        }
    }

    int load(std::size_t daemon, std::size_t target) const {
        int out = own_[daemon][target];
        for (std::size_t other = 0; other < own_.size(); ++other)
            if (other != daemon && options_.loads_arrive && !reported_.empty())
                out += reported_[other][target];
        return out;
    }

    service_room room(std::size_t daemon) const {
        service_room out;
        out.slots = targets * slots_each;
        out.targets = targets;
        out.relayed = options_.relayed;
        out.share = 1.0 / static_cast<double>(options_.daemons);
        out.service_time = from_seconds(mean_seconds_);
        for (std::size_t target = 0; target < targets; ++target) {
            auto const at = load(daemon, target);
            out.in_flight += at;
            out.own += own_[daemon][target];
            out.used += at > 0;
        }
        return out;
    }

    void arrive(std::size_t kind) {
        auto const& from = kinds_[kind];
        auto const id = requests_.size();
        std::size_t const daemon = random_() % options_.daemons;
        requests_.push_back({kind, daemon, 0, now_});
        auto& counted = result_.kinds[from.name];
        ++counted.sent;
        counted.sent_after += now_ >= after_load;
        if (!options_.admission) {
            send(id);
            return;
        }
        limits::queue_entry entry{
            id,         {from.account},        1,
            from.level, now_ + from.time_left, from_seconds(mean_work_s)};
        auto const before = daemons_[daemon].queued();
        apply(daemons_[daemon].arrive(entry, room(daemon), now_));
        result_.queued += daemons_[daemon].queued() > before;
    }

    void look(std::size_t daemon) {
        if (daemons_[daemon].queued() > 0 || daemons_[daemon].short_of_room())
            apply(daemons_[daemon].look(room(daemon), now_));
        std::size_t in_flight = 0;
        std::size_t used = 0;
        for (auto const& target : state_) {
            in_flight += target.busy + target.queue.size();
            used += now_ - target.sent_at < 2s;
        }
        if (daemons_[daemon].queued() == 0)
            return;
        result_.least_targets_used = std::min(result_.least_targets_used, used);
        result_.waits_with_room += static_cast<double>(in_flight) < 0.3 * slots;
    }

    void apply(std::vector<limits::queue_action> const& actions) {
        for (auto const& action : actions) {
            if (auto const* run = std::get_if<limits::dispatch_entry>(&action))
                send(run->id);
            else
                refuse(std::get<limits::drop_entry>(action).id);
        }
    }

    void refuse(std::size_t id) {
        auto& counted = result_.kinds[kinds_[requests_[id].kind].name];
        ++counted.refused;
        counted.longest =
            std::max<duration>(counted.longest, now_ - requests_[id].arrived);
    }

    void send(std::size_t id) {
        auto& request = requests_[id];
        std::size_t const one = random_() % targets;
        std::size_t const two = random_() % targets;
        request.target =
            load(request.daemon, one) <= load(request.daemon, two) ? one : two;
        ++own_[request.daemon][request.target];
        auto& target = state_[request.target];
        target.sent_at = now_;
        if (target.busy < slots_each)
            begin(target, id);
        else
            target.queue.push_back(id);
    }

    void begin(target_state& target, std::size_t id) {
        ++target.busy;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        schedule(
            now_ + from_seconds(mean_work_s * kinds_[requests_[id].kind].work *
                                spread(random_)),
            event_kind::end, id);
    }

    // A target drops requests from its queue whose callers have given up.
    void end(std::size_t id) {
        auto const& request = requests_[id];
        auto& target = state_[request.target];
        --target.busy;
        --own_[request.daemon][request.target];
        count_answer(request);
        while (!target.queue.empty() && target.busy < slots_each) {
            auto const next = target.queue.front();
            target.queue.pop_front();
            auto const& waiting = requests_[next];
            if (now_ - waiting.arrived > kinds_[waiting.kind].time_left) {
                --own_[waiting.daemon][waiting.target];
                count_answer(waiting);
            } else {
                begin(target, next);
            }
        }
        if (options_.admission)
            apply(daemons_[request.daemon].look(room(request.daemon), now_));
    }

    void count_answer(request const& done) {
        auto const& kind = kinds_[done.kind];
        auto& counted = result_.kinds[kind.name];
        auto const taken = now_ - done.arrived;
        bool const served = taken <= kind.objective;
        counted.served += served;
        counted.late += !served;
        counted.served_after += served && done.arrived >= after_load;
        counted.longest = std::max<duration>(counted.longest, taken);
    }

    std::vector<caller_kind> kinds_;
    world_options options_;
    std::mt19937_64 random_;
    std::vector<service_admission> daemons_;
    std::vector<std::vector<int>> own_; ///< by daemon and target
    std::vector<std::vector<int>> reported_;
    std::vector<target_state> state_{targets};
    std::vector<request> requests_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t next_event_ = 0;
    time_point now_ = start;
    double mean_seconds_ = mean_work_s; ///< moving average of the work
    world_result result_;
};

inline world_result serve(std::vector<caller_kind> const& kinds,
                          world_options options = {}) {
    return world(kinds, options).run();
}

inline world_result without_admission(std::vector<caller_kind> const& kinds,
                                      world_options options = {}) {
    options.admission = false;
    return serve(kinds, options);
}

} // namespace yuccabeam::placement
