#pragma once

#include "yuccabeam/health/messages.hpp"
#include "yuccabeam/health/options.hpp"
#include "yuccabeam/health/topology.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace yuccabeam::health {

/// Generator for jitter, for the number of the first trial round and for random
/// choices between equivalent candidates.
using random_generator = std::mt19937_64;

/// Counters of an arbiter.
struct arbiter_counters {
    std::uint64_t reports = 0;
    std::uint64_t stale_reports = 0;
    std::uint64_t ejections = 0;
    std::uint64_t relapses = 0;
    std::uint64_t readmissions = 0;
    std::uint64_t suppressed = 0; ///< evaluations that withheld an ejection
                                  ///< because most targets looked bad; repeats
                                  ///< are counted

    bool operator==(arbiter_counters const&) const = default;
};

/// Decides the ejections of one service from all observers' evidence.
///
/// Create one when this daemon becomes the service's arbiter and destroy it
/// when another daemon takes over. Each arbiter object of a daemon needs a
/// higher incarnation than the previous one: receivers reject tables of older
/// incarnations.
///
/// @code
/// arbiter service_arbiter(self, incarnation, topology, options, seed, now);
/// for (auto const& table : service_arbiter.receive(report, now)) send(table);
/// @endcode
class arbiter {
public:
    arbiter(daemon_id self, yuccabeam::incarnation incarnation,
            service_topology topology, health_options options,
            random_generator::result_type seed, time_point now);
    ~arbiter();
    arbiter(arbiter&&) noexcept;
    arbiter& operator=(arbiter&&) noexcept;

    /// Merges a report. Returns nothing if it is for another service or arbiter
    /// or from an older incarnation of its sender. Otherwise returns the table
    /// for its sender, and tables for the other observers when an ejection
    /// should reach them before their next report.
    std::vector<ejection_table> receive(evidence_report const& report,
                                        time_point now);

    /// Number of the service's home daemons (`routing::home_daemons`) in this
    /// daemon's view.
    void set_home_daemons(std::uint32_t count);
    void configure(service_topology topology, detector_options options,
                   time_point now);

    /// The current table as sent to observers, without its receiver; for
    /// explanations.
    ejection_table table(time_point now) const;
    arbiter_counters const& counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace yuccabeam::health
