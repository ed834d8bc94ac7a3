#pragma once

#include "yuccabeam/health/evidence.hpp"
#include "yuccabeam/health/messages.hpp"
#include "yuccabeam/health/topology.hpp"
#include "yuccabeam/values/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace yuccabeam::health {

/// New evidence in a report, beyond that of earlier reports.
struct evidence_delta {
    std::uint32_t target = 0;
    std::uint32_t kind = 0;
    window_counts counts;
    std::uint64_t age = 0; ///< windows between its own and the report's
};

/// Merges the reports of one observer. Duplicated, reordered or late reports
/// are not counted twice, because counters merge by maximum.
class observer_evidence {
public:
    /// New evidence in the report, oldest window first. Windows that are
    /// older than `age` windows before the newest one seen are expired.
    std::vector<evidence_delta> merge_report(evidence_report const& report,
                                             service_topology const& topology,
                                             std::uint64_t age);

    /// Discards all windows, after a restart of the observer or a change of
    /// indices.
    void clear();

private:
    /// Window, target, kind.
    using key = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;

    std::uint64_t newest_ = 0;
    std::map<key, window_counts> windows_;
};

} // namespace yuccabeam::health
