#include "ejection_registry.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::health {

namespace {

// A trial daemon that reports no progress for this long is replaced: its own
// link may be faulty.
constexpr duration trial_progress_timeout = std::chrono::seconds(20);

} // namespace

ejection_registry::ejection_registry(service_topology const& topology,
                                     grant_options options,
                                     random_generator::result_type seed)
    : options_(options), random_(seed),
      // Rounds of different arbiters must differ. Otherwise an observer would
      // count good trials of an earlier arbiter's round for this one.
      next_round_(static_cast<std::uint32_t>(random_() % 0x40000000U) + 1),
      records_(topology.targets.size()) {}

void ejection_registry::start_hold_down(ejection_record& record,
                                        time_point now) {
    auto const doublings = std::min(record.relapses, 16U);
    auto const length = std::min(options_.max_hold_down,
                                 options_.hold_down * (1U << doublings));
    std::uniform_real_distribution<double> jitter(
        1 - options_.hold_down_jitter, 1 + options_.hold_down_jitter);
    record.phase = ejection_phase::held;
    record.hold_until =
        now + from_seconds(to_seconds(length) * jitter(random_));
    record.last_ejected = now;
    record.ejected_before = true;
    record.trial_daemon = {};
    record.good_trials = 0;
}

void ejection_registry::relapse(ejection_record& record, time_point now) {
    ++record.relapses;
    ++relapses_;
    start_hold_down(record, now);
}

void ejection_registry::eject(std::uint32_t target, std::string const& scope,
                              verdict_evidence evidence, time_point now) {
    auto& record = records_[target];
    record.severity = evidence.requests == 0
                          ? 1
                          : static_cast<double>(evidence.bad) /
                                static_cast<double>(evidence.requests);
    record.evidence = std::move(evidence);
    if (record.is_ejected()) {
        if (record.scope != scope)
            record.scope.clear();
        return;
    }
    record.scope = scope;
    record.since = now;
    record.suppressed_by.clear();
    if (record.ejected_before &&
        now - record.last_ejected < options_.relapse_window) {
        relapse(record, now);
    } else {
        record.relapses = 0;
        start_hold_down(record, now);
    }
}

void ejection_registry::mark_domain_lost(std::uint32_t target) {
    if (records_[target].is_ejected())
        records_[target].suppressed_by = "domain-lost";
}

void ejection_registry::clear_domain_lost(std::uint32_t target) {
    if (records_[target].suppressed_by == "domain-lost")
        records_[target].suppressed_by.clear();
}

void ejection_registry::cancel(std::uint32_t target) {
    auto& record = records_[target];
    record.phase = ejection_phase::none;
    record.granted = false;
    record.suppressed_by.clear();
}

bool ejection_registry::record_trial(std::uint32_t target,
                                     daemon_id const& observer,
                                     trial_progress const& progress,
                                     time_point now) {
    auto& record = records_[target];
    if (record.phase != ejection_phase::trial ||
        progress.round != record.trial_round || observer != record.trial_daemon)
        return false;
    if (progress.failed) {
        relapse(record, now);
        return false;
    }
    if (progress.good_in_row != record.good_trials)
        record.trial_progress_at = now;
    // A late report may carry an older count. The round ends with the first
    // report that shows enough good trials.
    record.good_trials = progress.good_in_row;
    if (record.good_trials < options_.good_trials)
        return false;
    record.phase = ejection_phase::returning;
    record.since = now;
    record.granted = false;
    record.suppressed_by.clear();
    return true;
}

void ejection_registry::set_trial_domain(std::uint32_t target,
                                         std::string domain) {
    records_[target].trial_domain = std::move(domain);
}

void ejection_registry::assign_trial(
    ejection_record& record, target_info const& target,
    std::vector<trial_candidate> const& candidates, time_point now) {
    std::vector<trial_candidate const*> eligible;
    for (auto const& candidate : candidates) {
        auto const& links = candidate.suspected_links;
        auto const link_suspected =
            std::find(links.begin(), links.end(),
                      target.failure_domain.value) != links.end();
        auto const in_scope =
            record.scope.empty() || record.scope == candidate.failure_domain;
        if (!link_suspected && in_scope)
            eligible.push_back(&candidate);
    }
    if (eligible.empty()) {
        record.trial_daemon = {};
        return;
    }
    auto const outside_trial_domain = [&](trial_candidate const* candidate) {
        return candidate->failure_domain != record.trial_domain;
    };
    if (!std::all_of(eligible.begin(), eligible.end(), outside_trial_domain))
        std::erase_if(eligible, outside_trial_domain);
    std::uniform_int_distribution<std::size_t> choice(0, eligible.size() - 1);
    record.trial_daemon = eligible[choice(random_)]->id;
    record.trial_round = next_round_++;
    record.good_trials = 0;
    record.trial_progress_at = now;
}

void ejection_registry::advance(service_topology const& topology,
                                std::vector<trial_candidate> const& candidates,
                                time_point now) {
    for (std::size_t i = 0; i < records_.size(); ++i) {
        auto& record = records_[i];
        if (record.phase == ejection_phase::held && now >= record.hold_until)
            record.phase = ejection_phase::trial;
        if (record.phase == ejection_phase::returning &&
            now - record.since >= options_.slow_start)
            record.phase = ejection_phase::none;
        if (record.phase != ejection_phase::trial)
            continue;
        auto const present =
            std::any_of(candidates.begin(), candidates.end(),
                        [&](trial_candidate const& candidate) {
                            return candidate.id == record.trial_daemon;
                        });
        if (!present || now - record.trial_progress_at > trial_progress_timeout)
            assign_trial(record, topology.targets[i], candidates, now);
    }
}

std::vector<std::uint32_t> ejection_registry::by_severity() const {
    std::vector<std::uint32_t> order;
    for (std::uint32_t i = 0; i < records_.size(); ++i)
        if (records_[i].is_ejected() &&
            records_[i].suppressed_by != "domain-lost")
            order.push_back(i);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::uint32_t a, std::uint32_t b) {
                         return records_[a].severity > records_[b].severity;
                     });
    return order;
}

bool ejection_registry::update_grants(service_topology const& topology,
                                      std::uint32_t limit, time_point now) {
    auto outstanding = outstanding_slots(topology, now);
    auto const over_limit = outstanding > limit;
    std::uint32_t renewed = 0;
    bool newly_granted = false;
    for (auto& record : records_) {
        // While outstanding grants exceed the permitted slots, a grant that was
        // once not renewed must not be renewed later: two alternating subsets
        // would together exceed the limit.
        if (!over_limit)
            record.renewal_stopped = false;
        if (!record.is_ejected() || record.suppressed_by == "domain-lost")
            record.granted = false;
    }
    // Outstanding grants come first: renewing them takes no additional slots.
    auto order = by_severity();
    auto const is_outstanding = [&](std::uint32_t i) {
        return records_[i].issued && records_[i].outstanding_until > now;
    };
    std::stable_partition(order.begin(), order.end(), is_outstanding);
    for (auto const i : order) {
        auto& record = records_[i];
        auto const slots = topology.targets[i].slots;
        auto const was_granted = record.granted;
        if (is_outstanding(i)) {
            record.granted = !record.renewal_stopped &&
                             (!over_limit || renewed + slots <= limit);
            if (record.granted)
                renewed += slots;
            else
                record.renewal_stopped = true;
        } else {
            record.granted = !over_limit && outstanding + slots <= limit;
            if (record.granted)
                outstanding += slots;
        }
        record.suppressed_by = record.granted ? "" : "budget";
        newly_granted = newly_granted || (record.granted && !was_granted);
        if (!record.granted)
            continue;
        record.issued = true;
        record.outstanding_until =
            now + options_.grant_validity + options_.margin;
    }
    return newly_granted;
}

std::uint32_t
ejection_registry::outstanding_slots(service_topology const& topology,
                                     time_point now) const {
    std::uint32_t slots = 0;
    for (std::size_t i = 0; i < records_.size(); ++i)
        if (records_[i].issued && records_[i].outstanding_until > now)
            slots += topology.targets[i].slots;
    return slots;
}

std::uint32_t ejection_registry::trial_count() const {
    return static_cast<std::uint32_t>(std::count_if(
        records_.begin(), records_.end(), [](ejection_record const& record) {
            return record.phase == ejection_phase::trial;
        }));
}

void ejection_registry::reconfigure(service_topology const& before,
                                    service_topology const& after) {
    std::vector<ejection_record> records(after.targets.size());
    for (std::size_t i = 0; i < after.targets.size(); ++i)
        if (auto const old = target_index(before, after.targets[i].id.value))
            records[i] = std::move(records_[*old]);
    records_ = std::move(records);
}

} // namespace yuccabeam::health
