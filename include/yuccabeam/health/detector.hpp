#pragma once

#include "yuccabeam/health/evidence.hpp"
#include "yuccabeam/health/options.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <vector>

namespace yuccabeam::health {

/// Log likelihood ratios of one good and one bad request, for failure rate
/// p1 against p0.
struct likelihood_steps {
    double good = 0; ///< negative
    double bad = 0;  ///< positive

    bool operator==(likelihood_steps const&) const = default;
};

/// Steps for the configured rates when the service's other targets currently
/// fail at `others_rate` (the local detector passes the rate of all targets,
/// including the tested one): p0 follows that rate with a margin, between its
/// configured value and an upper bound, and p1 is kept at a minimum ratio to
/// p0.
likelihood_steps steps_for(detector_options const& options, double others_rate);

/// Steps while most other targets fail as well: bad requests are then no
/// evidence against a single target, while good requests still lower its score.
likelihood_steps service_fault_steps(detector_options const& options);

/// Rate of bad requests from which `service_fault_steps` apply, compared with
/// the median rate of the other targets.
double service_fault_rate();

/// Decision threshold. A CUSUM of log likelihood ratios with threshold h has
/// a mean time between false alarms of at least e^h observations (Lorden
/// 1971, "Procedures for reacting to a change in distribution").
double threshold_of(detector_options const& options);

/// Rate of bad requests, shrunk towards `prior` while there are few requests.
double smoothed_rate(std::uint32_t bad, std::uint32_t requests, double prior);

/// Bad requests of one observer within the excursion.
struct observer_bad_requests {
    std::uint32_t observer = 0;
    std::uint32_t bad = 0;

    bool operator==(observer_bad_requests const&) const = default;
};

/// One-sided CUSUM (Page 1954, "Continuous inspection schemes") with the
/// evidence of its current excursion above zero.
struct cusum {
    double score = 0;
    std::uint32_t requests = 0;
    std::uint32_t bad = 0;
    std::uint32_t connection_faults = 0; ///< refused or reset, within `bad`
    std::uint64_t callers = 0;           ///< bitmap
    /// `evidence_batch::seen` of the excursion's first batch with bad requests.
    time_point started{};
    /// When the score last rose to a quarter of the `cap` passed to `add`.
    /// `detector_options::min_slow_span` is counted from this time.
    time_point raised_at{};
    time_point last{};
    std::vector<observer_bad_requests> observers;

    bool operator==(cusum const&) const = default;
};

/// A batch of new observations from one observer.
struct evidence_batch {
    std::uint32_t observer = 0;
    std::uint32_t good = 0;
    std::uint32_t bad = 0;
    std::uint32_t connection_faults = 0;
    std::uint64_t callers = 0;
    time_point seen{}; ///< time of receipt minus the age of the window
};

/// Adds a batch. Good requests from before the excursion are ignored: observers
/// without failures report rarely, and their late evidence would hide a fault
/// that has started since. The order within a batch is unknown, so its sum is
/// added before the score is clamped at zero, which doesn't overestimate the
/// score below `cap`. The score is capped at `cap`, so that a long fault does
/// not delay recovery; in a batch that reaches the cap, bad requests above it
/// still offset good ones.
void add(cusum& test, evidence_batch const& batch, likelihood_steps steps,
         double cap, time_point now);

/// Whether the bad requests come from enough callers and observers. `observers`
/// is the number of observers that currently send requests to the target.
bool is_widespread(cusum const& test, detector_options const& options,
                   std::uint32_t observers);

/// Lower bound of the number of distinct callers in the bitmap.
std::uint32_t distinct_callers(std::uint64_t bitmap);

/// Latency above which an ok response is slow; the maximum duration when
/// `median` is zero, that is, unknown.
duration slow_threshold(detector_options const& options, duration median,
                        bool cold);

} // namespace yuccabeam::health
