#pragma once

#include "yuccabeam/values/ids.hpp"

#include <map>

namespace yuccabeam::placement {

struct trial_allowance_options {
    /// Trials earned by each request.
    double share = 0.1;
    /// Trials that a daemon can save up for each service, so that many targets
    /// which failed at the same time are tried soon.
    double burst = 2;
};

/// Limits the requests of each service that a daemon sends to suspected targets
/// as trials without a retry, each of which may fail its caller.
class trial_allowance {
public:
    explicit trial_allowance(trial_allowance_options options)
        : options_(options) {}

    void on_request(service_id const& service);
    bool allows(service_id const& service) const;
    void on_trial(service_id const& service);

private:
    trial_allowance_options options_;
    std::map<service_id, double> used_; ///< trials not yet earned back
};

} // namespace yuccabeam::placement
