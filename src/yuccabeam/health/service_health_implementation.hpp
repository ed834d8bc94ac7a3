#pragma once

#include "evidence_log.hpp"
#include "grant_store.hpp"
#include "local_detector.hpp"
#include "yuccabeam/health/service_health.hpp"
#include "yuccabeam/health/support.hpp"

#include <map>
#include <string>
#include <vector>

namespace yuccabeam::health {

/// Progress of a trial that this daemon runs.
struct trial_state {
    std::uint32_t round = 0;
    std::uint32_t good = 0;
    std::uint32_t slow = 0;
    bool failed = false;
    bool in_flight = false;
    time_point sent_at{};
    time_point next_at{};
};

/// Suspicion of this daemon's own link to one failure domain.
struct link_state {
    failure_domain_id id;
    time_point bad_since = distant_past;
    bool bad = false;
    time_point suspect_until = distant_past;
};

class service_health::implementation {
public:
    implementation(observer_identity self, service_topology topology,
                   health_options options, time_point now);

    target_status status(std::uint32_t target, time_point now) const;
    void observe(observation const& seen, time_point now);
    bool try_start_trial(std::uint32_t target, time_point now);
    std::optional<std::uint32_t> target_to_probe(time_point now) const;
    void choose_arbiter(daemon_id const& arbiter, std::uint32_t home_daemons);
    time_point report_due() const;
    std::optional<evidence_report> report(time_point now);
    bool apply(ejection_table const& table, time_point now);
    void mark_leaving(std::uint32_t target, time_point now);
    void clear_leaving(std::uint32_t target, time_point now);
    void configure(service_topology topology, detector_options options,
                   time_point now);
    explanation explain(std::uint32_t target, time_point now) const;
    bool degraded(time_point now) const;
    std::uint32_t healthy_slots(time_point now) const;

private:
    friend class service_health;

    bool is_leaving(std::uint32_t target, time_point now) const;
    bool is_ejected(std::uint32_t target, time_point now) const;
    bool runs_trial(std::uint32_t target, time_point now) const;
    bool is_cold(std::uint32_t target, time_point now) const;
    time_point slow_start_of(std::uint32_t target) const;
    target_status suspect_status(std::uint32_t target, time_point now) const;
    void observe_trial(observation const& seen, time_point now);
    void refresh(time_point now);
    void evaluate_links(time_point now);
    bool failures_unconfirmed(link_state const& link, time_point now) const;
    void check_floor(time_point now);
    void add_windows(evidence_report& report, time_point now);
    bool is_unsent(evidence_cell const& cell, time_point now) const;
    void index_links();
    void report_no_later_than(time_point due);
    std::string rule_of(target_status const& status,
                        granted_state const& granted) const;

    service_topology topology_;
    local_detector local_;
    observer_identity self_;
    health_options options_;
    evidence_log log_;
    grant_store grants_;
    support_lease support_;
    std::vector<trial_state> trials_;
    std::vector<time_point> leaving_until_; ///< from drain signals and the VM
                                            ///< list seen by this daemon
    std::vector<time_point> leaving_since_;
    std::vector<time_point> added_at_; ///< start of admission
    std::vector<link_state> links_;
    std::vector<std::uint32_t> link_of_; ///< by target
    daemon_id arbiter_;
    std::uint32_t home_daemons_ = 0;
    std::uint64_t sequence_ = 0;
    time_point last_report_{};
    time_point next_report_{};
    time_point next_refresh_{};
};

} // namespace yuccabeam::health
