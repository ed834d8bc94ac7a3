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

/// Steps for the rule's rates when the service's other targets currently
/// fail at `others_rate`: p0 is raised to that rate, and p1 stays apart.
likelihood_steps steps_for(detector_options const& options, double others_rate);

/// Steps while most other targets fail as well: bad requests say nothing
/// about one target then, and good ones still count for it.
likelihood_steps service_fault_steps(detector_options const& options);

/// Rate above which `service_fault_steps` apply when most others reach it.
double service_fault_rate();

/// Decision threshold. A CUSUM of log likelihood ratios with threshold h has
/// a mean time between false alarms of at least e^h observations (Lorden
/// 1971, "Procedures for reacting to a change in distribution").
double threshold_of(detector_options const& options);

/// Rate of bad requests, pulled towards `prior` while there are few.
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
    /// End of the window with the excursion's first bad request.
    time_point started{};
    /// When the score last rose above a quarter of its cap.
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
    time_point seen{}; ///< end of the window in which they were seen
};

/// Adds a batch. Good requests from before the excursion are left out:
/// observers without failures report seldom, and their late news would hide
/// a fault that has begun since. The order within a batch is unknown; its sum
/// is added before the score is cut off at zero, which never raises it too far.
/// The score is capped at `cap`, so that a long fault does not delay recovery.
void add(cusum& test, evidence_batch const& batch, likelihood_steps steps,
         double cap, time_point now);

/// Whether failures span enough callers and observers. `observers` is the
/// number of observers that see the target at present.
bool is_widespread(cusum const& test, detector_options const& options,
                   std::uint32_t observers);

/// Distinct failing callers, at least.
std::uint32_t distinct_callers(std::uint64_t bitmap);

/// Latency above which an ok answer is slow; the largest duration when
/// `median` is zero.
duration slow_threshold(detector_options const& options, duration median,
                        bool cold);

} // namespace yuccabeam::health
