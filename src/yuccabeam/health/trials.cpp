// The re-admission trials that this daemon runs.
#include "service_health_implementation.hpp"

namespace yuccabeam::health {

namespace {

constexpr std::uint32_t slow_trials_to_fail = 3;

} // namespace

bool service_health::implementation::runs_trial(std::uint32_t target,
                                                time_point now) const {
    auto const& granted = grants_.of(target);
    return (granted.valid_until > now || granted.suppressed_until > now) &&
           granted.last.hold_ms == 0 &&
           granted.last.trial_daemon == self_.id.value &&
           !trials_[target].failed;
}

void service_health::implementation::observe_trial(observation const& seen,
                                                   time_point now) {
    auto& trial = trials_[seen.target];
    trial.in_flight = false;
    auto const slow =
        seen.outcome == request_outcome::overdue ||
        (seen.outcome == request_outcome::ok && local_.is_slow(seen));
    // Response times of healthy targets are heavy-tailed: one slow trial only
    // resets the count of consecutive good trials.
    if (is_failure(seen.outcome) ||
        (slow && ++trial.slow >= slow_trials_to_fail))
        trial.failed = true;
    else if (slow)
        trial.good = 0;
    else if (seen.outcome == request_outcome::ok)
        ++trial.good;
    else
        return; // shed, caller_error or cancelled: neither good nor bad
    report_no_later_than(
        std::max(now, last_report_ + options_.reports.after_failure));
}

bool service_health::implementation::try_start_trial(std::uint32_t target,
                                                     time_point now) {
    if (status(target, now).state != target_state::trial)
        return false;
    for (auto& trial : trials_) {
        if (trial.in_flight &&
            now - trial.sent_at >= options_.grants.trial_timeout)
            trial.in_flight = false;
        if (trial.in_flight)
            return false;
    }
    auto& trial = trials_[target];
    if (trial.good >= options_.grants.good_trials || now < trial.next_at)
        return false;
    trial.in_flight = true;
    trial.sent_at = now;
    trial.next_at = now + std::chrono::milliseconds(
                              grants_.of(target).last.trial_interval_ms);
    return true;
}

std::optional<std::uint32_t>
service_health::implementation::target_to_probe(time_point now) const {
    for (auto const& trial : trials_)
        if (trial.in_flight &&
            now - trial.sent_at < options_.grants.trial_timeout)
            return std::nullopt;
    for (std::uint32_t i = 0; i < trials_.size(); ++i)
        if (runs_trial(i, now) &&
            trials_[i].good < options_.grants.good_trials &&
            now - trials_[i].next_at >= options_.grants.probe_after)
            return i;
    return std::nullopt;
}

} // namespace yuccabeam::health
