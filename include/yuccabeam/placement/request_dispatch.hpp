#pragma once

#include "yuccabeam/placement/outcome.hpp"
#include "yuccabeam/placement/retry_budget.hpp"
#include "yuccabeam/placement/target_table.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace yuccabeam::placement {

struct dispatch_options {
    /// Minimum time before the deadline to start an attempt.
    duration least_attempt_time = std::chrono::milliseconds(50);
    /// Share of the latency objective after which an idempotent request is
    /// hedged, counted from the start of the latest attempt: late enough that
    /// hedging stays rare, and, for the first attempt, early enough for the
    /// second response to arrive within the objective.
    double hedge_share = 0.6;
    /// Share of the latency objective after which an attempt is late: a missing
    /// response then counts as a doubt about the target if the service has
    /// spare capacity. This is checked at the deadline, and for a
    /// non-idempotent request already when it becomes late.
    double overdue_share = 1.25;
    /// The same as a multiple of the usual service time of non-idempotent
    /// requests, for the check before the deadline; the earlier of the two
    /// applies there.
    double overdue_factor = 3;
    /// An idempotent request waits in the daemon while the best target that
    /// isn't suspected is crowded: for this share of its latency objective, and
    /// no longer than its deadline allows at the usual service time.
    double wait_share = 0.35;
    /// Mean time between two looks at the targets, as a share of the longest
    /// wait: a request with little time looks as often as one with more.
    double look_share = 0.08;
    duration least_look_time = std::chrono::milliseconds(5);
};

/// The properties of a request that determine the choice of its targets.
struct dispatch_request {
    service_id service;
    bool idempotent = false;
    std::uint32_t max_attempts = 1;
    duration latency_objective{}; ///< 0: none
    time_point deadline{};
};

/// Dependencies of a dispatch; the references must outlive it.
struct dispatch_dependencies {
    target_table& table;
    retry_budget& budget;
    /// True if `budget` allows one more retry; a function so that the caller
    /// can count the refusals.
    std::function<bool(time_point)> may_retry;
};

/// One attempt at a target.
struct dispatch_attempt {
    target to;
    bool suspected = false; ///< when the target was chosen
    double risk = 0;        ///< failure probability when the target was chosen
    std::optional<target_evidence> evidence; ///< the last before the choice
    bool queued = false; ///< all slots of the target were in use
    /// The attempt may reuse an idle connection. A reset of a new connection is
    /// caused by the target, which makes the trial of a suspected target
    /// conclusive. A non-idempotent request must not use a connection that the
    /// target may be closing.
    bool may_reuse = false;
    time_point started{};
    bool running = true;
};

/// An event to publish to other components.
struct dispatch_update {
    std::optional<target_notice> notice; ///< to send to all other daemons
    /// A retry or a hedged attempt was charged to the retry budget; the credit
    /// is returned if nothing can be sent.
    bool repeated = false;
};

enum class dispatch_action : std::uint8_t {
    wait,    ///< nothing to do, also after `abandon` and after the end
    send,    ///< start the attempt with index `attempt`
    deliver, ///< return the response of `attempt`
    end      ///< return an error response of the daemon with `reason`
};

/// Whether the request could be retried when an attempt ended.
struct retry_assessment {
    unmet_conditions missing;
    double credit = 0; ///< of this daemon for the service, in retries
    other_targets others;
};

/// The action after an event, and the updates to publish.
struct dispatch_step {
    dispatch_action action = dispatch_action::wait;
    std::size_t attempt = 0;
    std::string_view reason;
    std::vector<dispatch_update> updates;
    /// In-flight requests of this daemon at targets, to send to the daemons of
    /// its failure domain.
    std::vector<target_activity> activity;
    /// Decision on the attempt that has just ended; `fail` in steps without
    /// one. With `try_other` there is no retry while another attempt is
    /// running, unless this attempt failed to connect.
    next_step decision = next_step::fail;
    /// The conditions on which `decision` is based.
    retry_assessment retry;
};

/// State machine for the attempts of one request: chooses targets, decides on
/// retries and hedging, and determines the final result.
///
/// The event functions take the time of the event and return the next step;
/// they perform no I/O. After `deliver` or `end` further events are ignored.
class request_dispatch {
public:
    request_dispatch(dispatch_request request,
                     dispatch_dependencies dependencies,
                     dispatch_options options = {});

    dispatch_step start(time_point now);
    dispatch_step on_attempt_end(std::size_t attempt, attempt_outcome outcome,
                                 time_point now, std::size_t answer_bytes = 0);
    /// Called at the time of `next_check`: looks at the targets again if the
    /// request waits for a slot. Otherwise hedges an idempotent request if the
    /// attempts left, the retry budget, the spare capacity and the targets
    /// allow it; for any other request, records that the target is overdue if
    /// the service has spare capacity.
    dispatch_step on_check(time_point now);
    dispatch_step on_deadline(time_point now);
    /// The attempt of a `send` step is not sent, as the request may not run any
    /// more. A running attempt or an earlier response still decides the
    /// result; otherwise the request ends with `reason`.
    dispatch_step withdraw(std::size_t attempt, std::string_view reason,
                           time_point now);
    /// Cancels all running attempts without any evidence about their targets.
    dispatch_step abandon(time_point now);

    /// Time at which `on_check` is due; empty if no check is pending.
    std::optional<time_point> next_check() const { return next_check_; }
    /// True if the attempt has taken at least `overdue_share` of the latency
    /// objective; always true without an objective.
    bool was_late(std::size_t attempt, time_point now) const;
    /// True if an attempt that ended, or that was running at the deadline, may
    /// have executed the request; cancelled attempts are not included.
    bool may_have_run() const { return ran_; }
    bool ended() const { return ended_; }
    /// True while the request waits for a slot of a crowded target.
    bool waiting() const { return waiting_; }
    /// True if a target responded successfully.
    bool succeeded() const { return succeeded_; }
    std::uint32_t attempts_sent() const { return sent_; }
    std::size_t running() const;
    std::vector<dispatch_attempt> const& attempts() const { return attempts_; }

private:
    choice_request next_choice(time_point now) const;
    void cancel_running(time_point now, dispatch_step& step);
    void add_activity(target_id const& id, dispatch_step& step);
    bool enough_time(time_point now) const;
    dispatch_step try_next(time_point now, dispatch_step step);
    bool waits_for_slot(choice const& chosen, time_point now) const;
    dispatch_step wait_for_slot(time_point now, dispatch_step step);
    dispatch_step send(choice const& chosen, time_point now,
                       dispatch_step step);
    dispatch_step end(std::string_view reason, time_point now,
                      dispatch_step step);
    dispatch_step deliver(std::size_t attempt, time_point now,
                          dispatch_step step);
    dispatch_step hedge(time_point now);
    std::optional<target_notice> record_end(dispatch_attempt const& done,
                                            attempt_outcome outcome,
                                            time_point now,
                                            std::size_t answer_bytes);
    attempt_facts facts_of(attempt_outcome outcome, other_targets const& others,
                           time_point now) const;
    void schedule_check(time_point now);
    duration time_to_check() const;

    dispatch_request request_;
    dispatch_dependencies dependencies_;
    dispatch_options options_;
    time_point objective_end_{};
    std::vector<dispatch_attempt> attempts_;
    std::vector<target_id> tried_;
    std::vector<target_id> retryable_targets_;
    /// The last attempt that was charged to the retry budget.
    std::optional<std::size_t> retry_attempt_;
    bool retry_charged_ = false; ///< a retry that is not sent yet
    std::uint32_t sent_ = 0; ///< attempts, without those that failed to connect
    bool ran_ = false;
    bool ended_ = false;
    bool checked_ = false;
    bool waiting_ = false; ///< for a slot; `next_check_` is the next look
    bool looked_ = false;  ///< at the targets, at least once
    time_point wait_end_{};
    duration look_interval_{}; ///< mean
    bool succeeded_ = false;
    std::optional<time_point> next_check_;
    /// Attempt whose error response is delivered if a later attempt fails
    /// without a retry; not used at the deadline or if a retry finds no
    /// target.
    std::optional<std::size_t> fallback_;
};

} // namespace yuccabeam::placement
