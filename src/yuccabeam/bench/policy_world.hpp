#pragma once

#include "yuccabeam/health/evidence.hpp"
#include "yuccabeam/values/rules.hpp"
#include "yuccabeam/values/time.hpp"

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Virtual-time fakes for the comparison of policies: one service's targets,
/// its callers, and the links between the daemons. No sockets, no threads.
namespace yuccabeam::bench {

using health::request_outcome;

struct service_shape {
    std::string name;
    std::uint32_t targets = 0;
    duration median{};           ///< of the service time
    double idempotent_share = 1; ///< of the requests
    duration deadline{};
};

struct deployment_shape {
    std::string name;
    std::uint32_t daemons = 36;
    std::uint32_t domains = 3;
    duration link{}; ///< one way, between failure domains
    ejection_policy policy = ejection_policy::detect_fast;
    std::vector<service_shape> services;
};

enum class fault_kind { none, refuse, errors, slow, mute, one_way };

struct target_fault {
    fault_kind kind = fault_kind::none;
    double share = 1;
    double slow_factor = 1;
    std::optional<std::uint32_t> only_domain; ///< of the sending daemon
};

struct fake_target {
    std::uint32_t domain = 0;
    target_fault fault;
    bool draining = false; ///< answers carry the drain signal
    bool listed = true;    ///< in the VM list, which may lag
    std::optional<time_point> cold_since;
    std::vector<time_point> slot_free;
};

struct call {
    std::uint32_t daemon = 0;
    time_point arrived{};
    time_point deadline{};
    std::uint64_t caller = 0;
    std::uint32_t attempts = 0;
    std::uint32_t executions = 0;
    std::uint32_t repeats = 0; ///< by the caller, after failures
    bool idempotent = true;
    bool probe = false; ///< health endpoint; not a caller's request
    bool may_have_run = false;
    std::vector<std::uint32_t> tried; ///< targets
};

struct attempt {
    std::uint64_t call = 0;
    std::uint32_t daemon = 0;
    std::uint32_t target = 0;
    time_point sent{};
    bool trial = false;
    bool overdue_seen = false;
    bool drain_signal = false;
    request_outcome outcome = request_outcome::ok;
};

/// Objects by growing id; the oldest are dropped once released.
template <class T>
class id_ring {
public:
    std::uint64_t add(T value) {
        items_.push_back(std::move(value));
        return first_ + items_.size() - 1;
    }
    T* find(std::uint64_t id) {
        if (id < first_ || !items_[id - first_])
            return nullptr;
        return &*items_[id - first_];
    }
    void release(std::uint64_t id) {
        items_[id - first_].reset();
        for (; !items_.empty() && !items_.front(); ++first_)
            items_.pop_front();
    }

private:
    std::deque<std::optional<T>> items_;
    std::uint64_t first_ = 0;
};

/// Histogram with buckets of 2%, so that pooled runs stay small in memory.
struct latency_histogram {
    std::map<int, std::uint64_t> counts;

    void add(double ms) {
        ++counts[static_cast<int>(std::log(std::max(ms, 0.01)) / 0.02)];
    }
    double quantile(double q) const;
};

/// What one run measures, from the first fault on.
struct measurement {
    std::vector<double> detection_s; ///< to the last request during the fault
    std::vector<double> quiet_s;     ///< to the first 2 s without requests
    std::uint64_t calls = 0, successes = 0, attempts = 0;
    std::uint64_t at_faulty = 0; ///< attempts at faulty targets, no trials
    std::uint64_t during_fault = 0;
    std::uint64_t false_ejections = 0, duplicates = 0, floor_violations = 0;
    double target_days = 0;
    std::uint32_t lowest_slots = 0, floor_slots = 0;
    double recovery_s = 0;
    latency_histogram latency;
};

struct world_options {
    deployment_shape deployment;
    service_shape service;
    std::uint64_t seed = 1;
    double load = 0.45;        ///< share of the service's capacity
    double floor_share = 0.6;  ///< of the service's slots
    double error_rate = 0.001; ///< of healthy targets
    double sigma = 0.5;        ///< of the log-normal service time
    double message_loss = 0.02;
    duration sample_period = std::chrono::milliseconds(100);
    bool callers_repeat = false; ///< up to 3 times after a failure

    std::uint32_t floor_slots() const;
};

/// Event loop, targets, callers and links of one run.
class world {
public:
    using action = std::function<void()>;

    explicit world(world_options options);

    void at(time_point when, action run);
    void run_until(time_point end);
    time_point now() const { return now_; }

    /// Interface of the policies.
    void send(std::uint32_t daemon, std::uint64_t call_id, std::uint32_t target,
              bool trial);
    void answer(std::uint64_t call_id, bool success);
    void message(std::uint32_t from, std::uint32_t to, action deliver);
    std::uint64_t add_probe(std::uint32_t daemon);
    call& call_of(std::uint64_t id) { return *calls_.find(id); }
    attempt* find_attempt(std::uint64_t id) { return attempts_.find(id); }
    std::uint32_t domain_of(std::uint32_t daemon) const;
    bool alive(std::uint32_t daemon) const;

    /// Interface of the scenarios.
    void start_measuring();
    void set_fault(std::uint32_t target, target_fault fault);
    void drain(std::uint32_t target, bool draining);
    /// The end of the fault or overload, from which recovery counts.
    void end_disturbance() { recovered_from_ = now_; }
    void lose_domain(std::uint32_t domain);
    void list(std::uint32_t target, bool listed);
    void repeat_vm_list();
    void start_sampling();
    measurement finish();

    world_options options;
    std::vector<fake_target> targets;
    double rate_factor = 1;
    std::mt19937_64 random;

    /// Set by the run: the policies of all daemons.
    std::function<void(std::uint32_t daemon, std::uint64_t call_id)> submit;
    std::function<void(std::uint64_t attempt_id)> sent;
    std::function<void(attempt const&)> ended;
    std::function<bool(std::uint32_t daemon, std::uint32_t target)> ejects;
    std::function<void(std::uint32_t target, bool leaving)> vm_list;
    std::function<void()> membership_changed;

private:
    struct event {
        time_point when;
        std::uint64_t sequence;
        action run;
        bool operator<(event const& other) const {
            return std::pair(other.when, other.sequence) <
                   std::pair(when, sequence);
        }
    };

    void arrive(std::uint64_t attempt_id);
    void respond(std::uint64_t attempt_id, time_point when,
                 request_outcome outcome);
    void next_call();
    void add_call(std::uint32_t repeats);
    void sample();
    bool is_faulty(std::uint32_t target, std::uint32_t daemon) const;
    duration delay(std::uint32_t a, std::uint32_t b);
    double uniform();

    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    time_point now_{};
    id_ring<call> calls_;
    id_ring<attempt> attempts_;
    std::optional<std::uint32_t> lost_domain_;
    bool measuring_ = false;
    time_point measured_from_{};
    time_point recovered_from_{};
    std::map<std::uint32_t, time_point> fault_start_;
    std::map<std::uint32_t, time_point> last_at_faulty_;
    std::map<std::uint32_t, time_point> quiet_from_;
    std::vector<time_point> healthy_since_;
    std::vector<bool> was_ejected_;
    bool below_floor_ = false;
    std::vector<std::uint32_t> good_in_second_, calls_in_second_;
    measurement result_;
};

} // namespace yuccabeam::bench
