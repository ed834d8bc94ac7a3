#pragma once

#include "ejection_registry.hpp"
#include "evidence_merge.hpp"
#include "scope_detector.hpp"
#include "yuccabeam/health/arbiter.hpp"
#include "yuccabeam/health/support.hpp"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace yuccabeam::health {

/// Arbiter's record of one observer.
struct observer_state {
    std::uint32_t number = 0; ///< in `observer_bad_requests`
    yuccabeam::incarnation incarnation = 0;
    std::string failure_domain;
    std::uint64_t last_sequence = 0;
    time_point last_report{};
    std::uint32_t home_daemons = 0;
    std::vector<std::string> suspected_links;
    observer_evidence evidence;
    std::vector<time_point> last_evidence; ///< by target
};

class arbiter::implementation {
public:
    implementation(daemon_id self, yuccabeam::incarnation incarnation,
                   service_topology topology, health_options options,
                   random_generator::result_type seed, time_point now);

    std::vector<ejection_table> receive(evidence_report const& report,
                                        time_point now);
    void configure(service_topology topology, detector_options options,
                   time_point now);
    ejection_table table(time_point now) const;

private:
    friend class arbiter;

    struct ejection_limits {
        std::uint32_t budget = 0;
        std::uint32_t limit = 0;
        std::uint32_t supporters = 0;
        std::uint32_t home_daemons = 0;
    };

    observer_state* update_observer(evidence_report const& report,
                                    time_point now);
    void record_support(evidence_report const& report, time_point now);
    void record_leaving(evidence_report const& report, time_point now);
    void record_trials(evidence_report const& report, time_point now);
    void record_evidence(evidence_report const& report, observer_state& from,
                         time_point now);
    scope_detector& detector_of(std::string const& failure_domain);
    scope_detector const* find_detector(std::string const& scope) const;
    bool is_ejected_for(std::uint32_t target,
                        std::string const& failure_domain) const;
    bool evaluate(std::uint32_t target, time_point now);
    bool evaluate_in_scope(std::uint32_t target, scope_detector& detector,
                           std::string const& scope, time_point now);
    std::string scope_of(std::uint32_t target, test_id id,
                         std::string const& crossed_domain,
                         time_point now) const;
    /// Failure domain whose observers have the highest score for the target, or
    /// empty.
    std::string worst_domain(std::uint32_t target, test_id id,
                             std::string const& crossed_domain) const;
    bool majority_looks_bad(std::string const& scope, test_id id,
                            time_point now) const;
    bool service_degraded(time_point now) const;
    bool is_domain_lost(failure_domain_id const& id, time_point now) const;
    verdict_evidence evidence_of(cusum const& test, test_id id) const;
    void clear_scores(std::uint32_t target);
    std::uint32_t observers_of(std::uint32_t target, std::string const& scope,
                               time_point now) const;
    bool is_leaving(std::uint32_t target, time_point now) const {
        return leaving_until_[target] > now;
    }
    ejection_limits limits_at(time_point now) const;
    std::vector<trial_candidate> trial_candidates(time_point now) const;
    ejection_table address(ejection_table common, std::string const& id,
                           observer_state const& to, time_point now);
    duration reference_median(std::size_t kind, time_point now) const;
    void add_latency(evidence_delta const& delta, time_point now);

    daemon_id self_;
    yuccabeam::incarnation incarnation_;
    service_topology topology_;
    health_options options_;
    time_point started_;
    supporter_tracker support_;
    ejection_registry ejections_;
    scope_detector all_;
    std::map<std::string, scope_detector> by_domain_; ///< of the observers
    std::map<std::string, observer_state> observers_;
    std::uint32_t next_observer_ = 0;
    std::uint32_t home_daemons_ = 0;
    arbiter_counters counters_;
    std::vector<time_point> leaving_until_;
    std::vector<time_point> added_at_;
    /// Times at which the latest tables were computed; the first has sequence
    /// `first_table_`.
    std::deque<time_point> tables_;
    std::uint64_t first_table_ = 1;
    /// Latencies by kind and second of the last 10 s.
    struct dated_sketch {
        std::uint64_t second = 0;
        latency_sketch sketch;
    };
    std::vector<std::array<dated_sketch, 10>> latencies_;
};

} // namespace yuccabeam::health
