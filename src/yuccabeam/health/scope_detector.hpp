#pragma once

#include "evidence_merge.hpp"
#include "yuccabeam/health/detector.hpp"
#include "yuccabeam/health/options.hpp"
#include "yuccabeam/health/topology.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace yuccabeam::health {

/// Requests and bad requests of one second, or of a sum over several.
struct tally {
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    std::uint32_t slow = 0;

    void add(tally const& other);
    void subtract(tally const& other);
};

/// Sums over the last 10 s and the last 2 s.
class rate_ring {
public:
    void add(tally const& value, std::uint64_t second);
    void advance(std::uint64_t second);
    /// Subtracts the counts that `part` contributed.
    void remove(rate_ring part);
    tally const& sum() const { return sum_; }
    /// Sum over the last 2 s before the end of `second`.
    tally recent(std::uint64_t second) const;
    tally recent() const { return recent(head_); }

private:
    std::array<tally, 10> seconds_{};
    tally sum_;
    std::uint64_t head_ = 0;
};

/// Share of slow requests among the last few thousand. Heavy-tailed latency
/// causes such a share without any fault; at a low request rate, the sums over
/// seconds are too small to estimate it.
class baseline_slow_rate {
public:
    void add(tally const& value);
    /// The share of slow requests; `lowest` if the share is smaller or too few
    /// requests have been counted to estimate it.
    double rate(double lowest) const;

private:
    double requests_ = 0;
    double slow_ = 0;
};

/// The tests of one target for the observers of one scope.
struct target_tests {
    cusum failures; ///< over all kinds
    cusum slowness; ///< over all kinds
    std::vector<cusum> failures_by_kind;
    std::vector<cusum> slowness_by_kind;
    std::vector<rate_ring> rates; ///< by kind

    explicit target_tests(std::size_t kinds)
        : failures_by_kind(kinds), slowness_by_kind(kinds), rates(kinds) {}
};

/// Selects one of a target's tests.
struct test_id {
    bool slowness = false;
    /// Kind; empty for the test over all kinds.
    std::optional<std::uint32_t> kind;

    bool operator==(test_id const&) const = default;
};

/// The tests of all targets for the observers of one scope.
class scope_detector {
public:
    scope_detector(std::size_t targets, std::size_t kinds,
                   detector_options options);

    void add(evidence_delta const& delta, std::uint32_t observer,
             time_point now);

    cusum const& test(std::uint32_t target, test_id id) const;
    bool looks_bad(std::uint32_t target, test_id id) const;
    /// Whether the target looks bad in a test over all kinds.
    bool looks_bad(std::uint32_t target) const;
    /// The first test above the threshold whose bad requests are widespread.
    /// Failures are checked before slowness, and the test over all kinds before
    /// those of single kinds.
    std::optional<test_id> test_above_threshold(std::uint32_t target,
                                                std::uint32_t observers) const;
    /// Whether the target has had enough good requests in the last 2 s and
    /// doesn't look bad.
    bool looks_good(std::uint32_t target, time_point now) const;
    /// Whether the target's failure rate is at least half of p1, regardless of
    /// the other targets.
    bool is_failing(std::uint32_t target) const;
    double threshold() const { return threshold_; }

    /// Resets a target's tests and removes its requests from the totals.
    void clear(std::uint32_t target);
    /// Halves a test's score, so that new evidence is needed to cross the
    /// threshold again.
    void halve_score(std::uint32_t target, test_id id);

private:
    double others_rate(std::uint32_t target, std::uint32_t kind,
                       bool slowness) const;
    /// Median over the other targets of their rates in the last 2 s.
    double others_median(std::uint32_t target, std::uint32_t kind,
                         bool slowness, std::uint64_t second) const;
    likelihood_steps steps(std::uint32_t target, std::uint32_t kind,
                           bool slowness, std::uint64_t second) const;
    bool is_bad(cusum const& test, std::uint32_t observers) const;

    detector_options options_;
    double threshold_;
    std::vector<target_tests> targets_;
    std::vector<rate_ring> totals_;                       ///< by kind
    std::vector<baseline_slow_rate> baseline_slow_rates_; ///< by kind
};

} // namespace yuccabeam::health
