#include "service_health_implementation.hpp"

#include <cstdio>

namespace yuccabeam::health {

namespace {

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3g", value);
    return text;
}

std::string change_in_words(next_change next, grant const& last,
                            health_options const& options) {
    switch (next) {
    case next_change::none:
        return "nothing pending";
    case next_change::good_requests:
        return "ends by itself without further bad requests";
    case next_change::arbiter_verdict:
        return "the arbiter's next table";
    case next_change::hold_end:
        return "trials start after the hold-down, at most " +
               number(last.hold_ms / 1000.0) + " s";
    case next_change::trials:
        return std::to_string(options.grants.good_trials) +
               " good trials in a row" +
               (last.trial_daemon.empty() ? std::string()
                                          : " by " + last.trial_daemon);
    case next_change::slow_start_end:
        return "full weight " + number(to_seconds(options.grants.slow_start)) +
               " s after its return";
    case next_change::end_of_leaving:
        return "no sign of leaving for " +
               number(to_seconds(options.reports.leaving_time)) + " s";
    }
    return {};
}

} // namespace

std::string
service_health::implementation::rule_of(target_status const& status,
                                        granted_state const& granted) const {
    auto const& detector = options_.detector;
    auto const rates =
        "rate " + number(detector.p1) + " against " + number(detector.p0);
    switch (status.reason) {
    case state_reason::none:
        return {};
    case state_reason::local_failures:
        return "local failures: score at least " +
               number(detector.suspect_score) + ", " + rates;
    case state_reason::local_slowness:
        return "local slowness: above " + number(detector.slow_multiple) +
               " times the other targets' median, " + rates;
    case state_reason::own_link:
        return "more than half of the failure domain's targets look bad from "
               "here only";
    case state_reason::granted:
    case state_reason::grant_lapsed:
    case state_reason::budget:
    case state_reason::domain_lost:
    case state_reason::local_floor: {
        auto const& seen = granted.last.evidence;
        auto text = seen.rule +
                    " in fleet evidence: " + std::to_string(seen.bad) + " of " +
                    std::to_string(seen.requests) + " requests, score " +
                    number(seen.score_milli / 1000.0) + " of " +
                    number(seen.threshold_milli / 1000.0) + ", " + rates;
        if (status.reason == state_reason::budget)
            text += "; not ejected: the ejection budget is used up";
        if (status.reason == state_reason::domain_lost)
            text += "; not ejected: its whole failure domain looks bad";
        if (status.reason == state_reason::local_floor)
            text += "; not ejected here: below the floor of " +
                    std::to_string(topology_.floor_slots) + " slots";
        if (status.reason == state_reason::grant_lapsed)
            text += "; the ejection's grant expired without renewal";
        return text;
    }
    case state_reason::returned:
        return "slow start after good trials";
    case state_reason::added:
        return "slow start of a target new in the register or back from "
               "leaving";
    case state_reason::drain_signal:
        return "drain signal, VM list or a peer's report";
    }
    return {};
}

explanation service_health::implementation::explain(std::uint32_t target,
                                                    time_point now) const {
    explanation out;
    auto const& granted = grants_.of(target);
    out.target = topology_.targets[target].id;
    out.status = status(target, now);
    out.arbiter = arbiter_;
    auto const by_arbiter = granted.valid_until > now ||
                            granted.suppressed_until > now ||
                            out.status.reason == state_reason::grant_lapsed;
    if (by_arbiter) {
        out.arbiter = grants_.arbiter_name(granted.arbiter);
        out.scope = granted.last.scope;
        out.fleet_evidence = granted.last.evidence;
        out.hold_ms = granted.last.hold_ms;
        out.relapses = granted.last.relapses;
        out.trial_daemon = granted.last.trial_daemon;
    }
    out.rule = rule_of(out.status, granted);
    out.change = change_in_words(out.status.next, granted.last, options_);
    for (std::size_t i = 0; i < log_.size(); ++i) {
        auto const& cell = log_[i];
        if (cell.target != target)
            continue;
        out.local_requests += cell.counts.requests();
        out.local_failures += cell.counts.failures();
        out.local_slow += cell.counts.slow;
    }
    auto const& own = local_.of(target);
    out.local_score = std::max(own.failures, own.slowness);
    if (!topology_.kinds.empty()) {
        auto const after = local_.slow_after(target, 0);
        out.slow_after = after == duration::max() ? duration::zero() : after;
    }
    out.service_degraded = degraded(now);
    auto const& table = grants_.last_table();
    out.budget_slots = table.budget_slots;
    out.ejected_slots = table.ejected_slots;
    out.supporters = table.supporters;
    out.home_daemons = table.home_daemons;
    return out;
}

} // namespace yuccabeam::health
