#pragma once

#include "yuccabeam/health/arbiter.hpp"
#include "yuccabeam/health/service_health.hpp"
#include "yuccabeam/limits/admission_queue.hpp"
#include "yuccabeam/limits/concurrency_limit.hpp"
#include "yuccabeam/retry/retry_budget.hpp"
#include "yuccabeam/routing/select.hpp"
#include "yuccabeam/values/snapshot.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace yuccabeam::daemon {

/// One target in this daemon. Attempts hold it while configurations change;
/// the pool's lock guards it.
struct target_record {
    yuccabeam::target target;
    /// Index in the service's topology; empty once the register dropped it.
    std::optional<std::uint32_t> index;
    std::uint32_t in_flight = 0;
    limits::concurrency_limit limit{1};
};

/// One request to one target; `service_pool::release` ends it.
struct attempt {
    std::shared_ptr<target_record> record;
    target_id target;
    std::string address;
    route_id kind;
    std::uint64_t caller = 0; ///< hash of the account
    time_point started;
    bool trial = false;
    bool head_arrived = false;
    bool overdue_reported = false;
};

using attempt_ptr = std::shared_ptr<attempt>;

/// How an attempt ended.
struct attempt_end {
    health::request_outcome outcome = health::request_outcome::ok;
    duration until_head{}; ///< to the head of the answer, or to the failure
    bool drain_signal = false;
};

enum class refusal { no_target, queue_full, cannot_finish };

/// A request that waits for a target. Called outside the pool's lock.
class waiting_request {
public:
    virtual ~waiting_request() = default;
    virtual void dispatched(attempt_ptr started) = 0;
    virtual void refused(refusal reason) = 0;
};

/// What the pool has to know about a request.
struct pool_request {
    route_id kind;
    account_id account;
    std::uint32_t weight = 1;
    yuccabeam::priority priority = priority::normal;
    time_point deadline;
    bool idempotent = false;
    std::vector<std::shared_ptr<target_record>> tried; ///< empty at first
};

/// What a decision on a further attempt depends on.
struct retry_conditions {
    bool budget_available = false;
    bool overloaded = false;
    bool other_target_available = false;
};

/// A message between a service's observers and its arbiter.
using health_message =
    std::variant<health::evidence_report, health::ejection_table>;

struct pool_status {
    service_id service;
    std::uint32_t floor_slots = 0;
    std::uint32_t capacity_slots = 0;
    std::uint32_t healthy_slots = 0;
    std::uint32_t in_flight = 0;
    std::size_t queued = 0;
    bool degraded = false;
    bool overloaded = false;
    daemon_id arbiter;
};

/// Targets of one service: a shard of the daemon's state with its own lock.
///
/// Wires the decisions on health, selection, limits and retries together.
/// No callback runs and no message is sent under the lock.
class service_pool {
public:
    service_pool(health::observer_identity self, snapshot const& configuration,
                 service_id id, std::uint64_t seed, time_point now);

    /// Takes a new configuration; targets that stay keep their state.
    void configure(snapshot const& configuration, time_point now);

    /// Takes the service's live home daemons in rendezvous order; the first
    /// one is the arbiter. `known` counts the home daemons that the VM list
    /// or the membership knows, live or not; 0 while the VM list is unknown,
    /// which permits no ejection.
    void set_home_daemons(std::vector<daemon_id> const& homes,
                          std::uint32_t known, time_point now);

    /// Chooses a target, now or later; `request` hears of it once.
    void acquire(pool_request wanted, std::shared_ptr<waiting_request> request,
                 time_point now);

    /// Notes that the head of the answer arrived.
    void head_arrived(attempt& started);

    void release(attempt& ended, attempt_end const& end, time_point now);

    retry_conditions
    conditions(std::vector<std::shared_ptr<target_record>> const& tried,
               time_point now);
    bool take_retry();

    /// Usual time to the head of an answer at this service; zero at first.
    duration usual_latency() const;

    /// Runs what is due; call it every few tens of milliseconds.
    std::vector<health_message> tick(time_point now);

    /// A target whose re-admission waits for traffic; probe it and call
    /// `release`.
    attempt_ptr take_probe(time_point now);

    std::vector<health_message> receive(health::evidence_report const& report,
                                        time_point now);
    void receive(health::ejection_table const& table, time_point now);

    void mark_leaving(target_id const& id, time_point now);

    pool_status status(time_point now) const;
    std::vector<health::explanation> explain(time_point now) const;

    service_id const& id() const { return id_; }

private:
    struct waiting {
        pool_request wanted;
        std::shared_ptr<waiting_request> request;
    };
    struct notification {
        std::shared_ptr<waiting_request> request;
        std::variant<attempt_ptr, refusal> what;
    };
    using notifications = std::vector<notification>;

    void rebuild_records(snapshot const& configuration);
    void refresh_candidates(time_point now);
    std::vector<std::uint32_t> excluded(pool_request const& wanted) const;
    std::variant<attempt_ptr, routing::select_status>
    try_start(pool_request const& wanted, time_point now);
    attempt_ptr start_at(std::uint32_t index, pool_request const& wanted,
                         bool trial, time_point now);
    void enqueue(waiting entry, time_point now, notifications& out);
    void handle(std::vector<limits::queue_action> const& actions,
                time_point now, notifications& out);
    void pump(time_point now, notifications& out);
    std::size_t free_slots() const;
    void report_overdue(time_point now);
    std::vector<health_message> judge(health::evidence_report const& report,
                                      time_point now);
    static void notify(notifications const& out);

    health::observer_identity self_;
    service_id id_;
    mutable std::mutex mutex_;
    health::service_health health_;
    std::optional<health::arbiter> arbiter_;
    std::uint64_t arbiters_started_ = 0;
    daemon_id arbiter_id_;
    std::uint32_t home_daemons_ = 0;
    std::vector<std::shared_ptr<target_record>> records_;
    std::map<failure_domain_id, std::uint32_t> domain_numbers_;
    std::vector<routing::candidate> candidates_; ///< reused for each request
    limits::admission_queue queue_;
    std::unordered_map<limits::entry_id, waiting> waiting_;
    limits::entry_id next_entry_ = 1;
    retry::retry_budget budget_;
    std::multimap<time_point, std::weak_ptr<attempt>> overdue_;
    duration usual_latency_{};
    std::mt19937_64 random_;
    health::health_options options_;
};

} // namespace yuccabeam::daemon
