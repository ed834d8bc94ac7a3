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
    /// With less time than this an attempt can't end well.
    duration least_attempt_time = std::chrono::milliseconds(50);
    /// Share of the latency objective after which an idempotent request goes
    /// to a second target: late enough to stay rare, and early enough for the
    /// second answer to come within the objective.
    double hedge_share = 0.6;
    /// Share after which a target that has not answered is put in doubt.
    double overdue_share = 1.25;
    /// The same in multiples of the service's usual time to an answer, where
    /// that is sooner.
    double overdue_factor = 3;
};

/// One request, as far as the choice of its targets depends on it.
struct dispatch_request {
    service_id service;
    bool idempotent = false;
    std::uint32_t max_attempts = 1;
    duration latency_objective{}; ///< 0: none
    time_point deadline{};
};

/// What a dispatch uses beyond the request; everything outlives the dispatch.
struct dispatch_dependencies {
    target_table& table;
    retry_budget& budget;
    /// True when the budget allows one more repeat at the service.
    std::function<bool(time_point)> may_retry;
};

/// One attempt at a target.
struct dispatch_attempt {
    target to;
    bool suspected = false;                  ///< when it was chosen
    double risk = 0;                         ///< then
    std::optional<target_evidence> evidence; ///< the last before that
    bool queued = false; ///< behind as many requests as it has slots
    /// A kept connection may be used. A reset of a new one is the target's
    /// doing, so that a test of a suspected target has a clear outcome; a
    /// non-idempotent request must not meet a connection that closes unseen.
    bool may_reuse = false;
    time_point started{};
    bool running = true;
};

/// What others have to know.
struct dispatch_update {
    std::optional<target_notice> notice; ///< for all other daemons
    bool repeated = false;               ///< the request goes to another target
};

enum class dispatch_action : std::uint8_t {
    wait,    ///< for what runs
    send,    ///< start `attempt`
    deliver, ///< the answer of `attempt` is the request's answer
    end      ///< answer with the daemon's own, for `reason`
};

/// What was known of a request's way on when an attempt ended.
struct retry_assessment {
    unmet_conditions missing;
    double credit = 0; ///< of this daemon for the service, in repeats
    other_targets others;
};

/// What to do after an event, and what to tell.
struct dispatch_step {
    dispatch_action action = dispatch_action::wait;
    std::size_t attempt = 0;
    std::string_view reason;
    std::vector<dispatch_update> updates;
    /// Requests of this daemon at targets, which the daemons of its failure
    /// domain have to know.
    std::vector<target_activity> activity;
    /// Decision on the attempt that has just ended.
    next_step decision = next_step::fail;
    /// What the decision rests on.
    retry_assessment retry;
};

/// The way of one request over its targets: which gets it, what follows the
/// end of an attempt, when a second one gets it, and how the request ends.
///
/// Commands take the time of their event and return the next step; nothing
/// else happens. After `deliver` or `end` the dispatch takes no more events.
class request_dispatch {
public:
    request_dispatch(dispatch_request request, dispatch_dependencies parts,
                     dispatch_options options = {});

    dispatch_step start(time_point now);
    dispatch_step on_attempt_end(std::size_t attempt, attempt_outcome outcome,
                                 time_point now, std::size_t answer_bytes = 0);
    /// The time of `next_check` has come.
    dispatch_step on_check(time_point now);
    dispatch_step on_deadline(time_point now);
    /// Gives up all running attempts; they say nothing about their targets.
    dispatch_step abandon();

    /// When `on_check` is due; empty when it is not any more.
    std::optional<time_point> next_check() const { return next_check_; }
    /// Whether an attempt's time is long enough to blame its target.
    bool was_late(std::size_t attempt, time_point now) const;
    /// Some attempt may have run the request.
    bool may_have_run() const { return ran_; }
    bool ended() const { return ended_; }
    /// Ended with a good answer of a target.
    bool succeeded() const { return succeeded_; }
    std::uint32_t attempts_sent() const { return sent_; }
    std::size_t running() const;
    std::vector<dispatch_attempt> const& attempts() const { return attempts_; }

private:
    choice_request next_choice(time_point now) const;
    void cancel_running(dispatch_step& step);
    void add_activity(target_id const& id, dispatch_step& step);
    bool enough_time(time_point now) const;
    dispatch_step try_next(time_point now, dispatch_step step);
    dispatch_step send(choice const& chosen, time_point now,
                       dispatch_step step);
    dispatch_step send_retry(time_point now, dispatch_step step);
    dispatch_step end(std::string_view reason, dispatch_step step);
    dispatch_step deliver(std::size_t attempt, dispatch_step step);
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
    dispatch_dependencies parts_;
    dispatch_options options_;
    time_point objective_end_{};
    std::vector<dispatch_attempt> attempts_;
    std::vector<target_id> tried_;
    std::vector<target_id>
        retryable_targets_; ///< tried, and may be asked again
    /// Attempt that was paid from the budget last.
    std::optional<std::size_t> retry_attempt_;
    std::uint32_t sent_ = 0; ///< attempts that reached their target
    bool ran_ = false;
    bool ended_ = false;
    bool checked_ = false;
    bool succeeded_ = false;
    std::optional<time_point> next_check_;
    /// Attempt whose failure is delivered when nothing better comes.
    std::optional<std::size_t> fallback_;
};

} // namespace yuccabeam::placement
