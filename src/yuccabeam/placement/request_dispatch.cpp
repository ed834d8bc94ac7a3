#include "yuccabeam/placement/request_dispatch.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::placement {

namespace {

duration scaled(duration whole, double share) {
    return from_seconds(to_seconds(whole) * share);
}

} // namespace

request_dispatch::request_dispatch(dispatch_request request,
                                   dispatch_dependencies dependencies,
                                   dispatch_options options)
    : request_(std::move(request)), dependencies_(std::move(dependencies)),
      options_(options) {}

std::size_t request_dispatch::running() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(attempts_, &dispatch_attempt::running));
}

bool request_dispatch::was_late(std::size_t attempt, time_point now) const {
    return now - attempts_[attempt].started >=
           scaled(request_.latency_objective, options_.overdue_share);
}

choice_request request_dispatch::next_choice(time_point now) const {
    choice_request out;
    out.service = request_.service;
    out.idempotent = request_.idempotent;
    out.retryable = request_.idempotent && sent_ + 1 < request_.max_attempts &&
                    dependencies_.may_retry(now);
    out.time_left = request_.deadline - now;
    out.objective_left = request_.latency_objective.count() == 0
                             ? out.time_left
                             : objective_end_ - now;
    out.exclude = tried_;
    out.retryable_targets = retryable_targets_;
    return out;
}

void request_dispatch::add_activity(target_id const& id, dispatch_step& step) {
    if (auto const activity = dependencies_.table.activity(id))
        step.activity.push_back(*activity);
}

bool request_dispatch::enough_time(time_point now) const {
    return request_.deadline - now >= options_.least_attempt_time;
}

dispatch_step request_dispatch::start(time_point now) {
    objective_end_ = now + request_.latency_objective;
    auto const whole = request_.latency_objective.count() == 0
                           ? request_.deadline - now
                           : request_.latency_objective;
    wait_end_ =
        std::min(now + scaled(whole, options_.wait_share),
                 request_.deadline - dependencies_.table.loads().service_time(
                                         request_.service));
    look_interval_ = std::max(scaled(wait_end_ - now, options_.look_share),
                              options_.least_look_time);
    dependencies_.budget.on_request(now);
    return try_next(now, {});
}

dispatch_step request_dispatch::try_next(time_point now, dispatch_step step) {
    if (!enough_time(now))
        return end("deadline", now, std::move(step));
    auto wanted = next_choice(now);
    wanted.repeated_look = std::exchange(looked_, true);
    auto chosen = dependencies_.table.choose(wanted, now);
    if (chosen && waits_for_slot(*chosen, now))
        return wait_for_slot(now, std::move(step));
    if (chosen && chosen->crowded && request_.idempotent) {
        wanted.avoid_crowded = true;
        wanted.repeated_look = true;
        chosen = dependencies_.table.choose(wanted, now);
        if (!chosen)
            return end("target_full", now, std::move(step));
    }
    if (!chosen)
        return end(tried_.empty() ? "no_target" : "no_other_target", now,
                   std::move(step));
    return send(*chosen, now, std::move(step));
}

bool request_dispatch::waits_for_slot(choice const& chosen,
                                      time_point now) const {
    return request_.idempotent && now < wait_end_ &&
           (chosen.crowded || chosen.passed_crowded);
}

dispatch_step request_dispatch::wait_for_slot(time_point now,
                                              dispatch_step step) {
    waiting_ = true;
    next_check_ = now + dependencies_.table.jittered(look_interval_);
    step.action = dispatch_action::wait;
    return step;
}

dispatch_step request_dispatch::send(choice const& chosen, time_point now,
                                     dispatch_step step) {
    if (chosen.notice)
        step.updates.push_back({chosen.notice, false});
    dispatch_attempt attempt;
    attempt.to = chosen.target.target;
    attempt.suspected = chosen.suspected;
    attempt.risk = chosen.risk;
    attempt.evidence = chosen.evidence;
    attempt.queued = chosen.queued;
    attempt.may_reuse =
        request_.idempotent && !attempt.suspected && !chosen.already_tried;
    attempt.started = now;
    step.action = dispatch_action::send;
    step.attempt = attempts_.size();
    waiting_ = false;
    tried_.push_back(attempt.to.id);
    std::erase(retryable_targets_, attempt.to.id);
    dependencies_.table.on_start(attempt.to.id, now);
    add_activity(attempt.to.id, step);
    attempts_.push_back(std::move(attempt));
    if (std::exchange(retry_charged_, false))
        retry_attempt_ = step.attempt;
    ++sent_;
    schedule_check(now);
    return step;
}

void request_dispatch::schedule_check(time_point now) {
    if (request_.latency_objective.count() == 0 || checked_)
        return;
    next_check_ = now + time_to_check();
}

duration request_dispatch::time_to_check() const {
    if (request_.idempotent)
        return scaled(request_.latency_objective, options_.hedge_share);
    auto const latest =
        scaled(request_.latency_objective, options_.overdue_share);
    auto const usual = dependencies_.table.loads().non_idempotent_service_time(
        request_.service);
    if (!usual)
        return latest;
    return std::min(latest, scaled(*usual, options_.overdue_factor));
}

dispatch_step request_dispatch::end(std::string_view reason, time_point now,
                                    dispatch_step step) {
    cancel_running(now, step);
    step.action = dispatch_action::end;
    step.reason = reason;
    return step;
}

dispatch_step request_dispatch::deliver(std::size_t attempt, time_point now,
                                        dispatch_step step) {
    cancel_running(now, step);
    step.action = dispatch_action::deliver;
    step.attempt = attempt;
    return step;
}

void request_dispatch::cancel_running(time_point now, dispatch_step& step) {
    ended_ = true;
    next_check_.reset();
    if (std::exchange(retry_charged_, false))
        dependencies_.budget.on_unsent_retry(now);
    for (auto& attempt : attempts_) {
        if (!std::exchange(attempt.running, false))
            continue;
        dependencies_.table.on_cancel(attempt.to.id);
        add_activity(attempt.to.id, step);
    }
}

dispatch_step request_dispatch::abandon(time_point now) {
    dispatch_step step;
    cancel_running(now, step);
    return step;
}

dispatch_step request_dispatch::withdraw(std::size_t attempt,
                                         std::string_view reason,
                                         time_point now) {
    dispatch_step step;
    auto& unsent = attempts_[attempt];
    if (ended_ || !std::exchange(unsent.running, false))
        return step;
    dependencies_.table.on_cancel(unsent.to.id);
    add_activity(unsent.to.id, step);
    --sent_;
    if (retry_attempt_ == attempt)
        dependencies_.budget.on_unsent_retry(now);
    if (running() > 0)
        return step;
    if (fallback_)
        return deliver(*fallback_, now, std::move(step));
    return end(reason, now, std::move(step));
}

dispatch_step request_dispatch::on_attempt_end(std::size_t attempt,
                                               attempt_outcome outcome,
                                               time_point now,
                                               std::size_t answer_bytes) {
    dispatch_step step;
    if (ended_ || !attempts_[attempt].running)
        return step;
    attempts_[attempt].running = false;
    auto const notice =
        record_end(attempts_[attempt], outcome, now, answer_bytes);
    add_activity(attempts_[attempt].to.id, step);
    auto const left = dependencies_.table.others(next_choice(now), now);
    auto const facts = facts_of(outcome, left, now);
    step.decision = after_attempt(facts, ran_);
    step.retry = {unmet_retry_conditions(facts),
                  dependencies_.budget.credit(now), left};
    // A running attempt may still succeed, so there is no retry meanwhile. The
    // exception is a hedged attempt that failed to connect: it is replaced, as
    // the first attempt is slow.
    bool const connected = outcome != attempt_outcome::connect_failed;
    bool const others_running = running() > 0;
    bool const retry_now =
        step.decision == next_step::try_other && !(others_running && connected);
    // A retry that failed to connect is already charged to the budget, and so
    // is one that waits for a slot.
    bool const charge_retry = retry_now && connected && !retry_charged_;
    if (charge_retry)
        dependencies_.budget.on_retry(now);
    bool const unsent = !connected && retry_attempt_ == attempt;
    if (unsent && !retry_now)
        dependencies_.budget.on_unsent_retry(now);
    retry_charged_ = retry_charged_ || charge_retry || (unsent && retry_now);
    if (notice || charge_retry)
        step.updates.push_back({notice, charge_retry});

    if (outcome == attempt_outcome::success) {
        succeeded_ = true;
        return deliver(attempt, now, std::move(step));
    }
    if (outcome == attempt_outcome::target_error)
        fallback_ = attempt;
    if (retry_now)
        return try_next(now, std::move(step));
    if (others_running)
        return step;
    if (fallback_)
        return deliver(*fallback_, now, std::move(step));
    return end(to_string(outcome), now, std::move(step));
}

std::optional<target_notice>
request_dispatch::record_end(dispatch_attempt const& done,
                             attempt_outcome outcome, time_point now,
                             std::size_t answer_bytes) {
    auto notice =
        dependencies_.table.on_end(done.to.id, outcome, done.started, now);
    if (outcome == attempt_outcome::success)
        dependencies_.table.loads().on_answer(
            request_.service, {now - done.started, done.queued,
                               request_.idempotent, answer_bytes});
    if (outcome == attempt_outcome::connect_failed)
        --sent_;
    else
        ran_ = ran_ || placement::may_have_run(outcome);
    if (request_.idempotent && may_retry_same_target(outcome))
        retryable_targets_.push_back(done.to.id);
    return notice;
}

attempt_facts request_dispatch::facts_of(attempt_outcome outcome,
                                         other_targets const& others,
                                         time_point now) const {
    attempt_facts facts;
    facts.outcome = outcome;
    facts.idempotent = request_.idempotent;
    facts.attempts_sent = sent_;
    facts.max_attempts = request_.max_attempts;
    facts.time_left = enough_time(now);
    facts.budget_left = dependencies_.may_retry(now);
    facts.target_left = others.untried + others.retryable > 0;
    return facts;
}

// An idempotent request is hedged, and the first response is used. For other
// requests only a doubt about the target is recorded.
dispatch_step request_dispatch::on_check(time_point now) {
    next_check_.reset();
    if (!ended_ && std::exchange(waiting_, false))
        return try_next(now, {});
    if (ended_ || checked_ || running() == 0)
        return {};
    checked_ = true;
    if (request_.idempotent)
        return hedge(now);
    dispatch_step step;
    auto const current =
        std::ranges::find_if(attempts_, &dispatch_attempt::running);
    if (auto const notice = dependencies_.table.on_overdue(current->to.id, now))
        step.updates.push_back({notice, false});
    return step;
}

dispatch_step request_dispatch::hedge(time_point now) {
    if (sent_ >= request_.max_attempts ||
        !dependencies_.table.has_spare_capacity(request_.service, now) ||
        !dependencies_.may_retry(now))
        return {};
    auto const second = dependencies_.table.choose(next_choice(now), now);
    if (!second || second->suspected || second->crowded)
        return {};
    dependencies_.budget.on_retry(now);
    retry_charged_ = true;
    dispatch_step step;
    step.updates.push_back({std::nullopt, true});
    return send(*second, now, std::move(step));
}

dispatch_step request_dispatch::on_deadline(time_point now) {
    dispatch_step step;
    if (ended_)
        return step;
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
        auto& attempt = attempts_[i];
        if (!std::exchange(attempt.running, false))
            continue;
        ran_ = true;
        auto const outcome = was_late(i, now) ? attempt_outcome::timed_out
                                              : attempt_outcome::expired;
        if (auto const notice = dependencies_.table.on_end(
                attempt.to.id, outcome, attempt.started, now))
            step.updates.push_back({notice, false});
        add_activity(attempt.to.id, step);
    }
    return end("deadline", now, std::move(step));
}

} // namespace yuccabeam::placement
