#include "yuccabeam/placement/fleet_budget.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::placement {

namespace {

// Daemons of other failure domains report every three seconds, and one report
// may be lost.
constexpr duration report_age = std::chrono::seconds(7);

} // namespace

fleet_budget::fleet_budget(retry_budget_options options, daemon_id self,
                           std::uint64_t first_number, time_point started,
                           initial_credit first)
    : options_(options), own_(options, started, first),
      last_asked_(std::move(self)), next_number_(first_number) {}

budget_report fleet_budget::report(time_point now) const {
    return {own_.requests(now), own_.spare_credit(now)};
}

void fleet_budget::on_report(daemon_id const& peer, budget_report report,
                             time_point now) {
    reports_[peer] = {report, now};
    if (now < next_cleanup_)
        return;
    next_cleanup_ = now + report_age;
    std::erase_if(reports_, [&](auto const& item) {
        return now - item.second.received_at >= report_age;
    });
}

double fleet_budget::fleet_requests(std::size_t daemons, time_point now) const {
    double sum = own_.requests(now);
    std::size_t counted = 1;
    for (auto const& [peer, entry] : reports_) {
        if (now - entry.received_at >= report_age)
            continue;
        sum += entry.report.requests;
        ++counted;
    }
    return sum * static_cast<double>(std::max(daemons, counted)) /
           static_cast<double>(counted);
}

// Round-robin that starts at the daemon's own id, so that daemons that lack
// credit at the same time send their requests to different peers.
std::optional<daemon_id> fleet_budget::next_grantor(time_point now) const {
    auto at = reports_.upper_bound(last_asked_);
    for (std::size_t i = 0; i < reports_.size(); ++i, ++at) {
        if (at == reports_.end())
            at = reports_.begin();
        if (at->second.report.spare_credit > 0 &&
            now - at->second.received_at < report_age)
            return at->first;
    }
    return std::nullopt;
}

std::optional<addressed_credit_request>
fleet_budget::next_credit_request(time_point now) {
    if (pending_ && now - pending_->requested_at < options_.transfer_time)
        return std::nullopt;
    double const amount = own_.missing_credit(now);
    if (amount <= 0)
        return std::nullopt;
    auto const grantor = next_grantor(now);
    if (!grantor)
        return std::nullopt;
    last_asked_ = *grantor;
    // The grant or the next report updates the spare credit.
    reports_[*grantor].report.spare_credit = 0;
    pending_ = {{*grantor, {next_number_++, amount}}, now};
    return pending_->sent;
}

credit_grant fleet_budget::on_credit_request(credit_request const& request,
                                             time_point now) {
    double const amount = own_.grant(request.amount, now);
    return {request.number, amount, own_.spare_credit(now)};
}

void fleet_budget::on_grant(credit_grant const& grant, time_point now) {
    if (!pending_ || grant.number != pending_->sent.request.number)
        return;
    auto const answered = *std::exchange(pending_, std::nullopt);
    auto const grantor = reports_.find(answered.sent.grantor);
    if (grantor != reports_.end())
        grantor->second.report.spare_credit = grant.spare_credit;
    own_.on_grant(grant.amount, answered.requested_at, now);
}

} // namespace yuccabeam::placement
