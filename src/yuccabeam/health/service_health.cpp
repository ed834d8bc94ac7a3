#include "service_health_implementation.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::health {

service_health::implementation::implementation(observer_identity self,
                                               service_topology topology,
                                               health_options options,
                                               time_point now)
    : topology_(std::move(topology)),
      local_(topology_, options.detector, options.reports),
      self_(std::move(self)), options_(options),
      log_(topology_.targets.size(), topology_.kinds.size()),
      grants_(self_, topology_, options.grants, options.reports),
      support_(options.grants.lease, now), trials_(topology_.targets.size()),
      leaving_until_(topology_.targets.size(), distant_past),
      leaving_since_(topology_.targets.size(), distant_past),
      added_at_(topology_.targets.size(), distant_past),
      last_report_(distant_past), next_report_(now), next_refresh_(now) {
    index_links();
}

void service_health::implementation::index_links() {
    link_of_.clear();
    for (auto const& target : topology_.targets) {
        auto found = std::find_if(links_.begin(), links_.end(),
                                  [&](link_state const& link) {
                                      return link.id == target.failure_domain;
                                  });
        if (found == links_.end())
            found = links_.insert(
                links_.end(),
                {target.failure_domain, distant_past, false, distant_past});
        link_of_.push_back(static_cast<std::uint32_t>(found - links_.begin()));
    }
}

bool service_health::implementation::is_leaving(std::uint32_t target,
                                                time_point now) const {
    return leaving_until_[target] > now ||
           grants_.of(target).leaving_until > now;
}

bool service_health::implementation::is_ejected(std::uint32_t target,
                                                time_point now) const {
    auto const& granted = grants_.of(target);
    return granted.valid_until > now && granted.accepted &&
           granted.applies_to_self;
}

time_point
service_health::implementation::slow_start_of(std::uint32_t target) const {
    return std::max(grants_.of(target).returned_at, added_at_[target]);
}

bool service_health::implementation::is_cold(std::uint32_t target,
                                             time_point now) const {
    auto const start = slow_start_of(target);
    return now - start < options_.detector.cold_time;
}

target_status service_health::implementation::status(std::uint32_t target,
                                                     time_point now) const {
    auto const& granted = grants_.of(target);
    if (is_leaving(target, now))
        return {target_state::leaving, 0, state_reason::drain_signal,
                leaving_until_[target] > now ? leaving_since_[target]
                                             : granted.leaving_since,
                next_change::end_of_leaving};
    // A target whose ejection is suppressed stays suspect while it is on trial:
    // if its trial daemon stopped using it, it would reduce the capacity
    // without a grant.
    if (is_ejected(target, now) && runs_trial(target, now))
        return {target_state::trial, 0, state_reason::granted, granted.since,
                next_change::trials};
    if (is_ejected(target, now))
        return {target_state::ejected, 0, state_reason::granted, granted.since,
                granted.last.hold_ms > 0 ? next_change::hold_end
                                         : next_change::trials};
    auto suspected = suspect_status(target, now);
    auto const start = slow_start_of(target);
    auto const ramp = options_.grants.slow_start;
    if (now - start >= ramp)
        return suspected;
    auto const first = options_.grants.initial_weight;
    auto const share = to_seconds(now - start) / to_seconds(ramp);
    suspected.weight = first + (1 - first) * std::clamp(share, 0.0, 1.0);
    if (suspected.state == target_state::suspect)
        return suspected;
    return {target_state::slow_start, suspected.weight,
            added_at_[target] == start ? state_reason::added
                                       : state_reason::returned,
            start, next_change::slow_start_end};
}

target_status
service_health::implementation::suspect_status(std::uint32_t target,
                                               time_point now) const {
    auto const& granted = grants_.of(target);
    auto const suspect = [](state_reason reason, time_point since,
                            next_change next) {
        return target_status{target_state::suspect, 1, reason, since, next};
    };
    if (granted.valid_until > now && granted.applies_to_self)
        return suspect(state_reason::local_floor, granted.since,
                       next_change::arbiter_verdict);
    if (granted.suppressed_until > now && granted.applies_to_self)
        return suspect(granted.domain_lost ? state_reason::domain_lost
                                           : state_reason::budget,
                       granted.since, next_change::trials);
    auto const& link = links_[link_of_[target]];
    if (link.suspect_until > now)
        return suspect(state_reason::own_link, link.bad_since,
                       next_change::good_requests);
    if (local_.is_suspect(target, now)) {
        auto const& own = local_.of(target);
        return suspect(own.reason, own.since, next_change::good_requests);
    }
    auto const lapsed = granted.valid_until;
    if (granted.applies_to_self && now - lapsed < options_.reports.suspect_time)
        return suspect(state_reason::grant_lapsed, lapsed,
                       next_change::arbiter_verdict);
    return {};
}

void service_health::implementation::observe(observation const& seen,
                                             time_point now) {
    if (seen.target >= topology_.targets.size() ||
        seen.kind >= topology_.kinds.size())
        return;
    if (seen.trial) {
        observe_trial(seen, now);
        return;
    }
    // If the ejection is suppressed, ordinary requests serve as trials, at most
    // one per interval.
    if (!is_ejected(seen.target, now) && runs_trial(seen.target, now) &&
        now >= trials_[seen.target].next_at) {
        trials_[seen.target].next_at =
            now + std::chrono::milliseconds(
                      grants_.of(seen.target).last.trial_interval_ms);
        observe_trial(seen, now);
    }
    if (seen.outcome == request_outcome::shed ||
        seen.outcome == request_outcome::caller_error ||
        seen.outcome == request_outcome::cancelled)
        return;
    auto const slow = seen.outcome == request_outcome::overdue ||
                      (seen.outcome == request_outcome::ok &&
                       !seen.overdue_reported && local_.is_slow(seen));
    if (!seen.overdue_reported || seen.outcome != request_outcome::ok)
        local_.add(seen, slow, now);
    if (links_[link_of_[seen.target]].suspect_until > now)
        return;
    auto& cell = log_.at(seen.target, seen.kind, window_of(now));
    count(cell.counts, seen, slow);
    cell.dirty = true;
    if (slow || is_failure(seen.outcome))
        report_no_later_than(
            std::max(now, last_report_ + options_.reports.after_failure));
}

void service_health::implementation::choose_arbiter(
    daemon_id const& arbiter, std::uint32_t home_daemons) {
    home_daemons_ = home_daemons;
    if (arbiter_ == arbiter)
        return;
    arbiter_ = arbiter;
    next_report_ = distant_past;
}

void service_health::implementation::report_no_later_than(time_point due) {
    next_report_ = std::min(next_report_, due);
}

time_point service_health::implementation::report_due() const {
    return arbiter_.empty() ? next_refresh_
                            : std::min(next_report_, next_refresh_);
}

bool service_health::implementation::apply(ejection_table const& table,
                                           time_point now) {
    std::vector<time_point> returned;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i)
        returned.push_back(grants_.of(i).returned_at);
    if (!grants_.apply(table, topology_, now))
        return false;
    for (auto const& reference : table.references)
        if (auto const kind = kind_index(topology_, reference.kind))
            local_.set_reference(
                *kind, std::chrono::microseconds(reference.median_us));
    for (std::uint32_t i = 0; i < trials_.size(); ++i) {
        auto const& last = grants_.of(i).last;
        if (last.trial_daemon == self_.id.value &&
            last.trial_round != trials_[i].round) {
            trials_[i] = {};
            trials_[i].round = last.trial_round;
            trials_[i].next_at = now;
        }
    }
    for (std::uint32_t i = 0; i < returned.size(); ++i)
        if (grants_.of(i).returned_at != returned[i])
            local_.clear(i);
    check_floor(now);
    if (grants_.holds_grants(now))
        report_no_later_than(last_report_ + options_.reports.with_grants);
    return true;
}

void service_health::implementation::check_floor(time_point now) {
    std::vector<bool> counted(topology_.targets.size());
    for (std::uint32_t i = 0; i < counted.size(); ++i) {
        auto const start = slow_start_of(i);
        auto const warm = now - start >= options_.grants.slow_start;
        auto const& granted = grants_.of(i);
        counted[i] = warm && !is_leaving(i, now) &&
                     !(granted.domain_lost && granted.suppressed_until > now);
    }
    grants_.check_floor(topology_, counted, now);
}

void service_health::implementation::mark_leaving(std::uint32_t target,
                                                  time_point now) {
    if (target >= leaving_until_.size())
        return;
    auto const known = is_leaving(target, now);
    if (leaving_until_[target] <= now)
        leaving_since_[target] = now;
    leaving_until_[target] = now + options_.reports.leaving_time;
    if (known)
        return;
    check_floor(now);
    report_no_later_than(
        std::max(now, last_report_ + options_.reports.after_failure));
}

void service_health::implementation::clear_leaving(std::uint32_t target,
                                                   time_point now) {
    if (target >= leaving_until_.size() || leaving_until_[target] <= now)
        return;
    leaving_until_[target] = now;
    // The target returns with a new process, so its caches are cold.
    added_at_[target] = now;
    check_floor(now);
}

void service_health::implementation::configure(service_topology topology,
                                               detector_options options,
                                               time_point now) {
    auto const before = std::exchange(topology_, std::move(topology));
    if (before == topology_ && options == options_.detector)
        return;
    options_.detector = options;
    auto const size = topology_.targets.size();
    local_detector local(topology_, options, options_.reports);
    std::vector<trial_state> trials(size);
    std::vector<time_point> leaving(size, distant_past);
    std::vector<time_point> leaving_since(size, distant_past);
    std::vector<time_point> added(size, now);
    for (std::uint32_t i = 0; i < size; ++i) {
        auto const old = target_index(before, topology_.targets[i].id.value);
        if (!old)
            continue;
        local.copy(i, local_.of(*old));
        trials[i] = trials_[*old];
        leaving[i] = leaving_until_[*old];
        leaving_since[i] = leaving_since_[*old];
        added[i] = added_at_[*old];
    }
    local_ = std::move(local);
    trials_ = std::move(trials);
    leaving_until_ = std::move(leaving);
    leaving_since_ = std::move(leaving_since);
    added_at_ = std::move(added);
    grants_.reconfigure(before, topology_);
    log_ = evidence_log(size, topology_.kinds.size());
    index_links();
    next_refresh_ = now;
    check_floor(now);
}

bool service_health::implementation::degraded(time_point now) const {
    auto const& table = grants_.last_table();
    auto const fresh =
        table.sequence != 0 &&
        now - grants_.last_answered_at() < options_.grants.grant_validity;
    return local_.majority_suspect(now) || (fresh && table.degraded);
}

std::uint32_t
service_health::implementation::healthy_slots(time_point now) const {
    std::uint32_t slots = 0;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i) {
        auto const& granted = grants_.of(i);
        auto const ejected = granted.valid_until > now && granted.accepted;
        auto const lost = granted.domain_lost && granted.suppressed_until > now;
        if (!ejected && !lost && !is_leaving(i, now))
            slots += topology_.targets[i].slots;
    }
    return slots;
}

service_health::service_health(observer_identity self,
                               service_topology topology,
                               health_options options, time_point now)
    : implementation_(std::make_unique<implementation>(
          std::move(self), std::move(topology), options, now)) {}
service_health::~service_health() = default;
service_health::service_health(service_health&&) noexcept = default;
service_health& service_health::operator=(service_health&&) noexcept = default;

target_status service_health::status(std::uint32_t target,
                                     time_point now) const {
    return implementation_->status(target, now);
}

void service_health::observe(observation const& seen, time_point now) {
    implementation_->observe(seen, now);
}

duration service_health::slow_after(std::uint32_t target,
                                    std::uint32_t kind) const {
    return implementation_->local_.slow_after(target, kind);
}

bool service_health::try_start_trial(std::uint32_t target, time_point now) {
    return implementation_->try_start_trial(target, now);
}

std::optional<std::uint32_t>
service_health::target_to_probe(time_point now) const {
    return implementation_->target_to_probe(now);
}

void service_health::choose_arbiter(daemon_id const& arbiter,
                                    std::uint32_t home_daemons) {
    implementation_->choose_arbiter(arbiter, home_daemons);
}

time_point service_health::report_due() const {
    return implementation_->report_due();
}

std::optional<evidence_report> service_health::report(time_point now) {
    return implementation_->report(now);
}

bool service_health::apply(ejection_table const& table, time_point now) {
    return implementation_->apply(table, now);
}

void service_health::mark_leaving(std::uint32_t target, time_point now) {
    implementation_->mark_leaving(target, now);
}

void service_health::clear_leaving(std::uint32_t target, time_point now) {
    implementation_->clear_leaving(target, now);
}

void service_health::configure(service_topology topology,
                               detector_options options, time_point now) {
    implementation_->configure(std::move(topology), options, now);
}

service_topology const& service_health::topology() const {
    return implementation_->topology_;
}

explanation service_health::explain(std::uint32_t target,
                                    time_point now) const {
    return implementation_->explain(target, now);
}

bool service_health::degraded(time_point now) const {
    return implementation_->degraded(now);
}

std::uint32_t service_health::healthy_slots(time_point now) const {
    return implementation_->healthy_slots(now);
}

} // namespace yuccabeam::health
