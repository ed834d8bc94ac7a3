#include "local_detector.hpp"

#include <algorithm>

namespace yuccabeam::health {

namespace {

// The median of fewer samples varies too much for a comparison; the arbiter's
// fleet-wide median is used instead.
constexpr std::uint32_t min_samples = 20;
// The first suspicion is short, so that the arbiter still receives evidence
// when a service has few observers.
constexpr duration initial_suspicion = std::chrono::seconds(1);
constexpr duration majority_duration = std::chrono::seconds(2);

struct totals {
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    std::uint32_t slow = 0;
    latency_sketch sketch;
};

} // namespace

local_detector::local_detector(service_topology const& topology,
                               detector_options detector,
                               report_options reports)
    : detector_(detector), reports_(reports), kinds_(topology.kinds.size()),
      suspicions_(topology.targets.size()),
      slow_thresholds_(topology.targets.size() * kinds_, duration::max()),
      references_(kinds_, duration::zero()),
      failure_steps_(kinds_, steps_for(detector, 0)),
      slow_steps_(kinds_, steps_for(detector, 0)) {}

void local_detector::add(observation const& seen, bool slow, time_point now) {
    auto& state = suspicions_[seen.target];
    auto const failed = is_failure(seen.outcome);
    auto const& failure = failure_steps_[seen.kind];
    auto const& slowness = slow_steps_[seen.kind];
    auto const cap = detector_.suspect_score * 2;
    state.failures = std::clamp(
        state.failures + (failed ? failure.bad : failure.good), 0.0, cap);
    if (seen.outcome == request_outcome::refused)
        // No process is listening: one refused connection is enough for
        // suspicion.
        state.failures = std::max(state.failures, detector_.suspect_score);
    if (!failed)
        state.slowness = std::clamp(
            state.slowness + (slow ? slowness.bad : slowness.good), 0.0, cap);
    if (failed && state.failures >= detector_.suspect_score)
        suspect(seen.target, state_reason::local_failures, now);
    else if (slow && state.slowness >= detector_.suspect_score)
        suspect(seen.target, state_reason::local_slowness, now);
}

void local_detector::suspect(std::uint32_t target, state_reason reason,
                             time_point now) {
    auto& state = suspicions_[target];
    if (state.until > now)
        return;
    if (now - state.until > reports_.suspect_time)
        state.consecutive_suspicions = 0;
    auto const length =
        std::min(reports_.suspect_time,
                 initial_suspicion *
                     (1U << std::min(state.consecutive_suspicions, 10U)));
    ++state.consecutive_suspicions;
    state.since = now;
    state.until = now + length;
    state.reason = reason;
    // The scores are reduced so that one more failure after the suspicion
    // renews it.
    state.failures = std::min(state.failures, detector_.suspect_score / 2);
    state.slowness = std::min(state.slowness, detector_.suspect_score / 2);
    update_majority(now);
}

void local_detector::update_majority(time_point now) {
    auto const bad = std::count_if(
        suspicions_.begin(), suspicions_.end(),
        [&](suspicion const& state) { return state.until > now; });
    if (static_cast<std::size_t>(bad) * 2 > suspicions_.size())
        majority_until_ = now + majority_duration;
}

void local_detector::refresh(evidence_log const& log,
                             std::vector<bool> const& cold, time_point now) {
    auto const targets = suspicions_.size();
    std::vector<totals> by_kind(kinds_);
    std::vector<latency_sketch> own(targets * kinds_);
    for (std::size_t i = 0; i < log.size(); ++i) {
        auto const& cell = log[i];
        auto& total = by_kind[cell.kind];
        total.requests += cell.counts.requests();
        total.failures += cell.counts.failures();
        total.slow += cell.counts.slow;
        total.sketch.add(cell.counts.latency);
        own[cell.target * kinds_ + cell.kind].add(cell.counts.latency);
    }
    for (std::size_t kind = 0; kind < kinds_; ++kind) {
        auto const& total = by_kind[kind];
        failure_steps_[kind] =
            steps_for(detector_, smoothed_rate(total.failures, total.requests,
                                               detector_.p0));
        slow_steps_[kind] = steps_for(
            detector_, smoothed_rate(total.slow, total.requests, detector_.p0));
        for (std::size_t target = 0; target < targets; ++target) {
            auto others = total.sketch;
            others.subtract(own[target * kinds_ + kind]);
            auto const reference = others.total() >= min_samples
                                       ? median(others)
                                       : references_[kind];
            slow_thresholds_[target * kinds_ + kind] =
                slow_threshold(detector_, reference, cold[target]);
        }
    }
    update_majority(now);
}

} // namespace yuccabeam::health
