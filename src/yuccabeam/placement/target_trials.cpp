// Trials of a target table: requests that find out whether a target works.
#include "yuccabeam/placement/target_table.hpp"

namespace yuccabeam::placement {

bool target_table::is_suspected(double risk) const {
    return risk > options_.estimate.suspicion;
}

bool target_table::too_few_used(std::vector<candidate> const& all,
                                time_point now) const {
    std::size_t expected = 0;
    std::size_t used = 0;
    for (auto const& [entry, risk] : all) {
        bool const failed_now =
            entry->evidence && entry->evidence->kind == notice_kind::failed &&
            now - entry->evidence->at < options_.failure_recovery;
        if (failed_now || !knows_all_requests(*entry, now))
            continue;
        ++expected;
        used += now - entry->last_request < options_.max_idle;
    }
    return static_cast<double>(used) <
           options_.min_share_used * static_cast<double>(expected);
}

bool target_table::likely_failing(candidate const& at) const {
    auto const& evidence = at.entry->evidence;
    return evidence && (evidence->kind == notice_kind::failed ||
                        (evidence->kind == notice_kind::doubted &&
                         at.risk > options_.likely_failing));
}

bool target_table::trial_due(candidate const& at, choice_request const& wanted,
                             duration max_idle_failing, time_point now) const {
    auto const& entry = *at.entry;
    bool const suspect = is_suspected(at.risk);
    // Most early trials fail, so the request must still have its retry. The
    // daemons of a large failure domain try its targets themselves, as the
    // others learn of a trial only after it was repeated.
    if (wanted.retryable && suspect && now >= entry.next_trial &&
        knows_all_requests(entry, now))
        return true;
    auto const max_idle =
        likely_failing(at) ? max_idle_failing : options_.max_idle;
    if (entry.vanished_at || now - entry.last_request < max_idle)
        return false;
    return suspect || likely_failing(at) ? trials_.allows(wanted.service)
                                         : knows_all_requests(entry, now);
}

// A failure domain whose daemons are silent leaves its targets to the others.
bool target_table::knows_all_requests(record const& entry,
                                      time_point now) const {
    auto const& domain = entry.info.target.failure_domain;
    if (domain == own_domain_)
        return true;
    auto const heard = domain_reports_.find(domain);
    return heard == domain_reports_.end() || heard->second.complete ||
           now - heard->second.received_at >= options_.activity_memory;
}

// Trials are announced by datagrams. Until these arrive, every request of the
// fleet would try the same target, and most of them would fail, so each takes
// the trial only with a probability that falls with the fleet's request rate.
bool target_table::sample_trial(service_id const& service) {
    double const requests =
        loads_.fleet_rate(service) * to_seconds(options_.trial_mean_delay);
    return std::uniform_real_distribution<double>(0, 1)(random_) * requests < 1;
}

} // namespace yuccabeam::placement
