#pragma once

#include "evidence_log.hpp"
#include "yuccabeam/health/detector.hpp"
#include "yuccabeam/health/options.hpp"
#include "yuccabeam/health/status.hpp"
#include "yuccabeam/health/topology.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace yuccabeam::health {

/// Local suspicion of one target.
struct suspicion {
    double failures = 0; ///< CUSUM scores
    double slowness = 0;
    std::uint32_t consecutive_suspicions =
        0; ///< suspicions in close succession
    time_point since{};
    time_point until{};
    state_reason reason = state_reason::none;
};

/// Detects suspect targets from this daemon's own evidence only.
class local_detector {
public:
    local_detector(service_topology const& topology, detector_options detector,
                   report_options reports);

    /// Adds an outcome; constant time, or linear in the number of targets when
    /// a suspicion starts. `slow` as in `count`.
    void add(observation const& seen, bool slow, time_point now);

    bool is_slow(observation const& seen) const {
        return seen.latency > slow_after(seen.target, seen.kind);
    }
    duration slow_after(std::uint32_t target, std::uint32_t kind) const {
        return slow_thresholds_[target * kinds_ + kind];
    }

    /// Recomputes slow thresholds and background rates from the log; called
    /// once per second.
    void refresh(evidence_log const& log, std::vector<bool> const& cold,
                 time_point now);

    /// Sets the arbiter's median of a kind, used while this daemon has too few
    /// samples.
    void set_reference(std::uint32_t kind, duration median) {
        references_[kind] = median;
    }

    /// Whether the target is suspect by local evidence. While more than half of
    /// the targets are, the service as a whole is at fault, and no target is
    /// reported as suspect.
    bool is_suspect(std::uint32_t target, time_point now) const {
        return suspicions_[target].until > now && majority_until_ <= now;
    }
    /// Whether the target is suspect or was recently and its score has not
    /// recovered; ignores the state of the other targets.
    bool looks_bad(std::uint32_t target, time_point now) const {
        auto const& state = suspicions_[target];
        return state.until > now ||
               (now - state.until < reports_.suspect_time &&
                std::max(state.failures, state.slowness) >=
                    detector_.suspect_score / 2);
    }
    bool majority_suspect(time_point now) const {
        return majority_until_ > now;
    }
    suspicion const& of(std::uint32_t target) const {
        return suspicions_[target];
    }
    /// Resets a target's suspicion, after its re-admission.
    void clear(std::uint32_t target) { suspicions_[target] = {}; }
    void copy(std::uint32_t target, suspicion const& value) {
        suspicions_[target] = value;
    }

private:
    void suspect(std::uint32_t target, state_reason reason, time_point now);
    void update_majority(time_point now);

    detector_options detector_;
    report_options reports_;
    std::size_t kinds_;
    std::vector<suspicion> suspicions_;
    std::vector<duration> slow_thresholds_;
    std::vector<duration> references_;
    std::vector<likelihood_steps> failure_steps_; ///< by kind
    std::vector<likelihood_steps> slow_steps_;    ///< by kind
    time_point majority_until_{};
};

} // namespace yuccabeam::health
