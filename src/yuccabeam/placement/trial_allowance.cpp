#include "yuccabeam/placement/trial_allowance.hpp"

#include <algorithm>

namespace yuccabeam::placement {

void trial_allowance::on_request(service_id const& service) {
    if (auto const found = used_.find(service); found != used_.end())
        found->second = std::max(0.0, found->second - options_.share);
}

bool trial_allowance::allows(service_id const& service) const {
    auto const found = used_.find(service);
    double const used = found == used_.end() ? 0 : found->second;
    return used + 1 <= options_.burst;
}

void trial_allowance::on_trial(service_id const& service) {
    used_[service] += 1;
}

} // namespace yuccabeam::placement
