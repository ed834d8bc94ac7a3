#pragma once

#include "yuccabeam/health/arbiter.hpp"
#include "yuccabeam/health/messages.hpp"
#include "yuccabeam/health/options.hpp"
#include "yuccabeam/health/topology.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccabeam::health {

enum class ejection_phase {
    none,
    held,     ///< hold-down
    trial,    ///< trial requests decide on re-admission
    returning ///< slow start
};

/// One target's ejection, from the verdict to the end of its slow start.
struct ejection_record {
    ejection_phase phase = ejection_phase::none;
    std::string scope;
    verdict_evidence evidence;
    double severity = 0; ///< share of bad requests; decides who is granted when
                         ///< the budget is short
    time_point since{};  ///< start of the ejection, or of the slow start
    time_point hold_until{};
    std::uint32_t relapses = 0;
    bool ejected_before = false;
    time_point last_ejected{};
    /// Failure domain whose observers had the highest score for the target. A
    /// trial from another domain may succeed while they still see failures.
    std::string trial_domain;
    daemon_id trial_daemon;
    std::uint32_t trial_round = 0;
    std::uint32_t good_trials = 0;
    time_point trial_progress_at{};
    std::string suppressed_by; ///< as in `grant`
    bool granted = false;
    /// Not renewed since the permitted slots fell below the outstanding ones;
    /// see `update_grants`.
    bool renewal_stopped = false;
    /// A grant was issued; receivers may hold it until `outstanding_until`.
    bool issued = false;
    time_point outstanding_until{};

    bool is_ejected() const {
        return phase == ejection_phase::held || phase == ejection_phase::trial;
    }
};

/// A daemon that may run trials.
struct trial_candidate {
    daemon_id id;
    std::string failure_domain;
    std::vector<std::string> suspected_links;
};

/// Life cycle of all ejections of one service at its arbiter.
class ejection_registry {
public:
    ejection_registry(service_topology const& topology, grant_options options,
                      random_generator::result_type seed);

    /// Ejects a target. If it is already ejected for another scope, the
    /// ejection is extended to all observers.
    void eject(std::uint32_t target, std::string const& scope,
               verdict_evidence evidence, time_point now);
    /// Prefers daemons of this failure domain for the target's trials.
    void set_trial_domain(std::uint32_t target, std::string domain);
    /// Suppresses the ejection of a target because its whole failure domain is
    /// lost.
    void mark_domain_lost(std::uint32_t target);
    /// Lifts that suppression after a target of the failure domain was
    /// re-admitted.
    void clear_domain_lost(std::uint32_t target);
    /// Cancels the ejection of a leaving target.
    void cancel(std::uint32_t target);
    /// Records trial progress. Returns true when the target is re-admitted.
    bool record_trial(std::uint32_t target, daemon_id const& observer,
                      trial_progress const& progress, time_point now);
    /// Ends hold-downs and slow starts, and assigns trial daemons.
    void advance(service_topology const& topology,
                 std::vector<trial_candidate> const& candidates,
                 time_point now);
    /// Decides which ejections are granted in tables computed now. Returns true
    /// if a grant is new.
    bool update_grants(service_topology const& topology, std::uint32_t limit,
                       time_point now);

    /// Slots for which receivers may hold grants.
    std::uint32_t outstanding_slots(service_topology const& topology,
                                    time_point now) const;
    ejection_record const& record_of(std::uint32_t target) const {
        return records_[target];
    }
    std::uint32_t trial_count() const;
    std::uint64_t relapses() const { return relapses_; }

    void reconfigure(service_topology const& before,
                     service_topology const& after);

private:
    void start_hold_down(ejection_record& record, time_point now);
    void relapse(ejection_record& record, time_point now);
    void assign_trial(ejection_record& record, target_info const& target,
                      std::vector<trial_candidate> const& candidates,
                      time_point now);
    std::vector<std::uint32_t> by_severity() const;

    grant_options options_;
    random_generator random_;
    std::uint32_t next_round_;
    std::uint64_t relapses_ = 0;
    std::vector<ejection_record> records_;
};

} // namespace yuccabeam::health
