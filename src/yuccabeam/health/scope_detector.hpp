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

/// Requests and bad requests of one second.
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
    /// Takes out what `part` contributed.
    void remove(rate_ring part);
    tally const& sum() const { return sum_; }
    /// Sum over the last 2 s, as seen in this second.
    tally recent(std::uint64_t second) const;
    tally recent() const { return recent(head_); }

private:
    std::array<tally, 10> seconds_{};
    tally sum_;
    std::uint64_t head_ = 0;
};

/// Share of slow requests over the last few thousand. Latency with a heavy
/// tail has such a share without any fault; the sums over seconds are too
/// small to know it at a low request rate.
class baseline_slow_rate {
public:
    void add(tally const& value);
    /// At least `lowest`.
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

/// Which of a target's tests.
struct test_id {
    bool slowness = false;
    /// Kind, or nothing for the test over all kinds.
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
    /// Looks bad in a test over all kinds.
    bool looks_bad(std::uint32_t target) const;
    /// The test that crossed the threshold with enough spread, worst first.
    std::optional<test_id> crossed_test(std::uint32_t target,
                                        std::uint32_t observers) const;
    /// Whether requests to the target have gone well in the last 2 s.
    bool looks_good(std::uint32_t target, time_point now) const;
    /// Whether the target fails at half of p1 or more, whatever the others
    /// do.
    bool is_failing(std::uint32_t target) const;
    double threshold() const { return threshold_; }

    /// Forgets a target's scores.
    void clear(std::uint32_t target);
    /// Halves a test's score: fresh evidence is needed to cross again.
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
