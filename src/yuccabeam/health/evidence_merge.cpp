#include "evidence_merge.hpp"

#include <algorithm>

namespace yuccabeam::health {

std::vector<evidence_delta>
observer_evidence::merge_report(evidence_report const& report,
                                service_topology const& topology,
                                std::uint64_t age) {
    newest_ = std::max(newest_, report.window);
    auto const oldest = newest_ > age ? newest_ - age : 0;
    windows_.erase(windows_.begin(), windows_.lower_bound({oldest, 0, 0}));
    std::map<key, evidence_delta> deltas;
    for (auto const& item : report.windows) {
        if (item.target >= report.targets.size() ||
            item.kind >= report.kinds.size() || item.age > report.window)
            continue;
        auto const window = report.window - item.age;
        auto const target = target_index(topology, report.targets[item.target]);
        auto const kind = kind_index(topology, report.kinds[item.kind]);
        if (window < oldest || !target || !kind)
            continue;
        key const position{window, *target, *kind};
        auto& known = windows_[position];
        auto const merged = merge(known, to_counts(item));
        auto const added = difference(merged, known);
        known = merged;
        if (added.requests() > 0 || added.latency.total() > 0)
            deltas[position] = {*target, *kind, added, item.age};
    }
    std::vector<evidence_delta> ordered;
    ordered.reserve(deltas.size());
    for (auto& [position, delta] : deltas)
        ordered.push_back(delta);
    return ordered;
}

void observer_evidence::clear() {
    newest_ = 0;
    windows_.clear();
}

} // namespace yuccabeam::health
