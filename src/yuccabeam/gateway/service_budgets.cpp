#include "yuccabeam/gateway/service_budgets.hpp"

#include <utility>

namespace yuccabeam::gateway {

service_budgets::service_budgets(placement::retry_budget_options options,
                                 daemon_id self,
                                 std::uint64_t first_request_number,
                                 time_point started,
                                 placement::initial_credit first)
    : options_(options), self_(std::move(self)),
      first_request_number_(first_request_number), started_(started),
      initial_credit_(first) {}

placement::fleet_budget& service_budgets::of(service_id const& id) {
    auto const [at, added] = budgets_.try_emplace(
        id, options_, self_, first_request_number_, started_, initial_credit_);
    if (added)
        at->second.own().on_fleet_size(fleet_size_, started_);
    return at->second;
}

void service_budgets::on_fleet_size(std::size_t daemons, time_point now) {
    fleet_size_ = daemons;
    for (auto& [service, budget] : budgets_)
        budget.own().on_fleet_size(daemons, now);
}

std::map<service_id, placement::budget_report>
service_budgets::reports(time_point now) const {
    std::map<service_id, placement::budget_report> out;
    for (auto const& [service, budget] : budgets_)
        out[service] = budget.report(now);
    return out;
}

std::map<service_id, double>
service_budgets::fleet_rates(std::size_t daemons, time_point now) const {
    std::map<service_id, double> out;
    for (auto const& [service, budget] : budgets_)
        out[service] = budget.fleet_requests(daemons, now) /
                       to_seconds(budget.own().window());
    return out;
}

std::vector<due_credit_request> service_budgets::due_requests(time_point now) {
    std::vector<due_credit_request> out;
    for (auto& [service, budget] : budgets_)
        if (auto due = budget.next_credit_request(now))
            out.push_back({service, std::move(*due)});
    return out;
}

} // namespace yuccabeam::gateway
