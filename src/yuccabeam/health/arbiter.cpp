#include "arbiter_implementation.hpp"

#include "evidence_log.hpp"
#include "grant_store.hpp"
#include "yuccabeam/health/budget.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::health {

namespace {

// An observer without a report for this long is assigned no trials. At one
// report per second while grants are held, up to three consecutive reports may
// be lost.
constexpr duration trial_report_timeout = std::chrono::seconds(4);
constexpr duration observer_expiry = std::chrono::seconds(60);

} // namespace

arbiter::implementation::implementation(daemon_id self,
                                        yuccabeam::incarnation incarnation,
                                        service_topology topology,
                                        health_options options,
                                        random_generator::result_type seed,
                                        time_point now)
    : self_(std::move(self)), incarnation_(incarnation),
      topology_(std::move(topology)), options_(options), started_(now),
      support_(options.grants), ejections_(topology_, options.grants, seed),
      all_(topology_.targets.size(), topology_.kinds.size(), options.detector),
      leaving_until_(topology_.targets.size(), distant_past),
      added_at_(topology_.targets.size(), distant_past),
      latencies_(topology_.kinds.size()) {}

observer_state*
arbiter::implementation::update_observer(evidence_report const& report,
                                         time_point now) {
    auto const [found, added] = observers_.try_emplace(report.observer);
    auto& from = found->second;
    if (added)
        from.number = next_observer_++;
    if (report.observer_incarnation < from.incarnation)
        return nullptr;
    if (report.observer_incarnation > from.incarnation) {
        from.incarnation = report.observer_incarnation;
        from.last_sequence = 0;
        from.evidence.clear();
    }
    from.last_evidence.resize(topology_.targets.size(), distant_past);
    if (report.sequence > from.last_sequence) {
        from.last_sequence = report.sequence;
        from.last_report = now;
        from.failure_domain = report.failure_domain;
        from.home_daemons = report.home_daemons;
        from.suspected_links = report.suspected_links;
    }
    return &from;
}

void arbiter::implementation::record_support(evidence_report const& report,
                                             time_point now) {
    if (!report.support || report.table_incarnation != incarnation_ ||
        report.table_sequence < first_table_ ||
        report.table_sequence - first_table_ >= tables_.size())
        return;
    support_.record(daemon_id{report.observer}, report.observer_incarnation,
                    tables_[report.table_sequence - first_table_], now);
}

void arbiter::implementation::record_leaving(evidence_report const& report,
                                             time_point now) {
    for (auto const& name : report.leaving)
        if (auto const target = target_index(topology_, name)) {
            // Observers repeat the leaving target in each report while the
            // drain signal lasts.
            leaving_until_[*target] = now + options_.reports.suspect_time;
            ejections_.cancel(*target);
        }
}

void arbiter::implementation::record_trials(evidence_report const& report,
                                            time_point now) {
    for (auto const& progress : report.trials) {
        auto const target = target_index(topology_, progress.target);
        if (!target || !ejections_.record_trial(
                           *target, daemon_id{report.observer}, progress, now))
            continue;
        ++counters_.readmissions;
        clear_scores(*target);
        auto const& domain = topology_.targets[*target].failure_domain;
        for (std::uint32_t i = 0; i < topology_.targets.size(); ++i)
            if (topology_.targets[i].failure_domain == domain)
                ejections_.clear_domain_lost(i);
    }
}

void arbiter::implementation::record_evidence(evidence_report const& report,
                                              observer_state& from,
                                              time_point now) {
    auto const age =
        static_cast<std::uint64_t>(to_seconds(options_.reports.evidence_age));
    for (auto const& delta :
         from.evidence.merge_report(report, topology_, age)) {
        from.last_evidence[delta.target] = now;
        add_latency(delta, now);
        if (is_ejected_for(delta.target, report.failure_domain))
            continue;
        all_.add(delta, from.number, now);
        detector_of(report.failure_domain).add(delta, from.number, now);
    }
}

void arbiter::implementation::add_latency(evidence_delta const& delta,
                                          time_point now) {
    auto const second = window_of(now);
    auto& ring = latencies_[delta.kind];
    auto& slot = ring[second % ring.size()];
    if (slot.second != second)
        slot = {second, {}};
    slot.sketch.add(delta.counts.latency);
}

duration arbiter::implementation::reference_median(std::size_t kind,
                                                   time_point now) const {
    latency_sketch sum;
    for (auto const& slot : latencies_[kind])
        if (slot.second + latencies_[kind].size() > window_of(now))
            sum.add(slot.sketch);
    return median(sum);
}

scope_detector&
arbiter::implementation::detector_of(std::string const& failure_domain) {
    return by_domain_
        .try_emplace(failure_domain, topology_.targets.size(),
                     topology_.kinds.size(), options_.detector)
        .first->second;
}

bool arbiter::implementation::is_ejected_for(
    std::uint32_t target, std::string const& failure_domain) const {
    auto const& record = ejections_.record_of(target);
    return record.is_ejected() &&
           (record.scope.empty() || record.scope == failure_domain);
}

arbiter::implementation::ejection_limits
arbiter::implementation::limits_at(time_point now) const {
    ejection_limits result;
    std::uint32_t capacity = 0;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i) {
        auto const& record = ejections_.record_of(i);
        auto const cold = record.phase == ejection_phase::returning ||
                          now - added_at_[i] < options_.grants.slow_start;
        auto const lost =
            record.is_ejected() && record.suppressed_by == "domain-lost";
        if (!cold && !lost && !is_leaving(i, now))
            capacity += topology_.targets[i].slots;
    }
    result.budget = ejection_budget(capacity, topology_.floor_slots);
    result.supporters = support_.effective_count(now);
    // Uses the largest reported number: with too few home daemons, the shares
    // of several arbiters could exceed the budget together.
    result.home_daemons =
        std::max(home_daemons_, support_.committed_count(now));
    for (auto const& [id, observer] : observers_)
        if (now - observer.last_report < observer_expiry)
            result.home_daemons =
                std::max(result.home_daemons, observer.home_daemons);
    if (now - started_ >= options_.grants.lease)
        result.limit = permitted_slots(result.budget, result.supporters,
                                       result.home_daemons);
    return result;
}

std::vector<trial_candidate>
arbiter::implementation::trial_candidates(time_point now) const {
    std::vector<trial_candidate> candidates;
    for (auto const& [id, observer] : observers_)
        if (now - observer.last_report < trial_report_timeout)
            candidates.push_back({daemon_id{id}, observer.failure_domain,
                                  observer.suspected_links});
    return candidates;
}

ejection_table arbiter::implementation::table(time_point now) const {
    ejection_table out;
    out.service = topology_.id.value;
    out.arbiter = self_.value;
    out.incarnation = incarnation_;
    auto const interval =
        options_.grants.trial_interval * std::max(1U, ejections_.trial_count());
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i) {
        auto const& record = ejections_.record_of(i);
        auto const& name = topology_.targets[i].id.value;
        auto const age =
            static_cast<std::uint32_t>(to_milliseconds(now - record.since));
        if (is_leaving(i, now))
            out.leaving.push_back(name);
        if (record.phase == ejection_phase::returning)
            out.returning.push_back({name, record.scope, age});
        if (!record.is_ejected())
            continue;
        auto const trial = record.phase == ejection_phase::trial;
        // Rounded up, because 0 means that trials may start.
        auto const hold =
            trial ? 0
                  : to_milliseconds(
                        std::max(record.hold_until - now, duration::zero())) +
                        1;
        out.grants.push_back(
            {name, record.scope, age, static_cast<std::uint32_t>(hold),
             trial ? record.trial_daemon.value : std::string(),
             trial ? record.trial_round : 0,
             static_cast<std::uint32_t>(to_milliseconds(interval)),
             record.relapses, record.suppressed_by, record.evidence});
    }
    for (std::size_t kind = 0; kind < topology_.kinds.size(); ++kind) {
        auto const value = reference_median(kind, now);
        if (value > duration::zero())
            out.references.push_back(
                {topology_.kinds[kind].value,
                 static_cast<std::uint32_t>(value /
                                            std::chrono::microseconds(1))});
    }
    auto const limits = limits_at(now);
    out.degraded = service_degraded(now);
    out.budget_slots = limits.limit;
    out.ejected_slots = ejections_.outstanding_slots(topology_, now);
    out.supporters = limits.supporters;
    out.home_daemons = limits.home_daemons;
    return out;
}

ejection_table arbiter::implementation::address(ejection_table common,
                                                std::string const& id,
                                                observer_state const& to,
                                                time_point now) {
    common.sequence = first_table_ + tables_.size();
    tables_.push_back(now);
    common.receiver = id;
    common.receiver_incarnation = to.incarnation;
    common.report_sequence = to.last_sequence;
    return common;
}

std::vector<ejection_table>
arbiter::implementation::receive(evidence_report const& report,
                                 time_point now) {
    if (report.service != topology_.id.value || report.arbiter != self_.value)
        return {};
    while (!tables_.empty() && now - tables_.front() > options_.grants.lease) {
        tables_.pop_front();
        ++first_table_;
    }
    auto* const from = update_observer(report, now);
    if (!from) {
        ++counters_.stale_reports;
        return {};
    }
    ++counters_.reports;
    std::erase_if(observers_, [&](auto const& item) {
        return now - item.second.last_report > observer_expiry;
    });
    record_support(report, now);
    record_leaving(report, now);
    record_trials(report, now);
    record_evidence(report, *from, now);
    auto must_push = false;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i)
        must_push = evaluate(i, now) || must_push;
    ejections_.advance(topology_, trial_candidates(now), now);
    must_push =
        ejections_.update_grants(topology_, limits_at(now).limit, now) ||
        must_push;
    counters_.relapses = ejections_.relapses();

    auto const common = table(now);
    std::vector<ejection_table> tables;
    tables.push_back(address(common, report.observer, *from, now));
    if (!must_push)
        return tables;
    for (auto const& [id, observer] : observers_)
        if (id != report.observer &&
            now - observer.last_report < options_.grants.grant_validity)
            tables.push_back(address(common, id, observer, now));
    return tables;
}

void arbiter::implementation::configure(service_topology topology,
                                        detector_options options,
                                        time_point now) {
    auto const before = std::exchange(topology_, std::move(topology));
    if (before == topology_ && options == options_.detector)
        return;
    options_.detector = options;
    auto const size = topology_.targets.size();
    std::vector<time_point> leaving(size, distant_past);
    std::vector<time_point> added(size, now);
    for (std::uint32_t i = 0; i < size; ++i)
        if (auto const old =
                target_index(before, topology_.targets[i].id.value)) {
            leaving[i] = leaving_until_[*old];
            added[i] = added_at_[*old];
        }
    leaving_until_ = std::move(leaving);
    added_at_ = std::move(added);
    ejections_.reconfigure(before, topology_);
    all_ = scope_detector(size, topology_.kinds.size(), options);
    by_domain_.clear();
    latencies_.assign(topology_.kinds.size(), {});
    for (auto& [id, observer] : observers_) {
        observer.evidence.clear();
        observer.last_evidence.assign(size, distant_past);
    }
}

arbiter::arbiter(daemon_id self, yuccabeam::incarnation incarnation,
                 service_topology topology, health_options options,
                 random_generator::result_type seed, time_point now)
    : implementation_(std::make_unique<implementation>(
          std::move(self), incarnation, std::move(topology), options, seed,
          now)) {}
arbiter::~arbiter() = default;
arbiter::arbiter(arbiter&&) noexcept = default;
arbiter& arbiter::operator=(arbiter&&) noexcept = default;

std::vector<ejection_table> arbiter::receive(evidence_report const& report,
                                             time_point now) {
    return implementation_->receive(report, now);
}

void arbiter::set_home_daemons(std::uint32_t count) {
    implementation_->home_daemons_ = count;
}

void arbiter::configure(service_topology topology, detector_options options,
                        time_point now) {
    implementation_->configure(std::move(topology), options, now);
}

ejection_table arbiter::table(time_point now) const {
    return implementation_->table(now);
}

arbiter_counters const& arbiter::counters() const {
    return implementation_->counters_;
}

} // namespace yuccabeam::health
