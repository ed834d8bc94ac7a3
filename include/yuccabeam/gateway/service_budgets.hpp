#pragma once

#include "yuccabeam/placement/fleet_budget.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace yuccabeam::gateway {

/// A request for retry credit that is due for a service.
struct due_credit_request {
    service_id service;
    placement::addressed_credit_request due;
};

/// This daemon's part of the fleet's retry budgets, one for each service.
class service_budgets {
public:
    /// `first_request_number` is the number of the first request for credit. It
    /// must differ between successive processes of a daemon.
    service_budgets(placement::retry_budget_options options, daemon_id self,
                    std::uint64_t first_request_number, time_point started,
                    placement::initial_credit first);

    /// Budget of a service, which is created on first use.
    placement::fleet_budget& of(service_id const& id);
    void on_fleet_size(std::size_t daemons, time_point now);
    std::map<service_id, placement::budget_report>
    reports(time_point now) const;
    /// Requests per second of a fleet of `daemons`, by service.
    std::map<service_id, double> fleet_rates(std::size_t daemons,
                                             time_point now) const;
    std::vector<due_credit_request> due_requests(time_point now);

private:
    placement::retry_budget_options options_;
    daemon_id self_;
    std::uint64_t first_request_number_;
    time_point started_;
    placement::initial_credit initial_credit_;
    std::size_t fleet_size_ = 1;
    std::map<service_id, placement::fleet_budget> budgets_;
};

} // namespace yuccabeam::gateway
