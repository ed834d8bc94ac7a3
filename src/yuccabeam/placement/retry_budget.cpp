#include "yuccabeam/placement/retry_budget.hpp"

#include <algorithm>

namespace yuccabeam::placement {

namespace {

// Smaller amounts do not justify a message.
constexpr double min_grant = 0.1;
// Tolerance for rounding errors in sums of fractions.
constexpr double rounding = 1e-9;

} // namespace

retry_budget::retry_budget(retry_budget_options options, time_point started,
                           initial_credit first)
    : options_(options), earns_from_(first == initial_credit::full
                                         ? started
                                         : started + options.transfer_time),
      balance_(first == initial_credit::full ? options.fleet_slack : 0),
      balance_at_(earns_from_) {}

void retry_budget::on_fleet_size(std::size_t daemons, time_point now) {
    if (daemons < fleet_size_ && now - fleet_size_at_ < options_.size_memory)
        return;
    if (fleet_size_ != 0)
        settle(now);
    fleet_size_ = daemons;
    fleet_size_at_ = now;
}

// --- limits ------------------------------------------------------------------

double retry_budget::share() const {
    if (fleet_size_ == 0)
        return 0;
    double const whole =
        options_.fleet_slack / static_cast<double>(fleet_size_);
    double const reserved = whole / (1 + options_.reserve);
    // Less than one retry would allow none, so a part of the reserve yields.
    return whole >= 1 ? std::max(reserved, 1.0) : reserved;
}

// In a small fleet the shares are large: half of a share is the bucket
// capacity, and the other half is refilled in each window.
double retry_budget::capacity() const {
    return std::min(share(), std::max(share() / 2, options_.capacity));
}

double retry_budget::refill_per_s() const {
    return (share() - capacity()) / to_seconds(options_.window);
}

double retry_budget::available_capacity(time_point now) const {
    if (now < earns_from_)
        return 0;
    double in_transit = 0;
    for (auto const& transfer : granted_)
        if (transfer.until > now)
            in_transit += transfer.amount;
    return std::max(0.0, capacity() - in_transit);
}

double retry_budget::credit(time_point now) const {
    double const refilled =
        refill_per_s() * std::max(0.0, to_seconds(now - balance_at_));
    return std::min(balance_ + refilled, available_capacity(now));
}

// Credit above the limit is lost immediately and does not return when the limit
// rises.
void retry_budget::settle(time_point now) {
    std::erase_if(granted_,
                  [&](auto const& transfer) { return transfer.until <= now; });
    balance_ = credit(now);
    balance_at_ = std::max(balance_at_, now);
}

void retry_budget::earn(double amount, time_point now) {
    settle(now);
    balance_ += amount;
    settle(now);
}

// --- requests ----------------------------------------------------------------

double retry_budget::requests(time_point now) const {
    auto const oldest = now - options_.window;
    return static_cast<double>(requests_.end() -
                               std::ranges::lower_bound(requests_, oldest));
}

void retry_budget::on_request(time_point now) {
    while (!requests_.empty() && requests_.front() < now - options_.window)
        requests_.pop_front();
    requests_.push_back(now);
    earn(options_.ratio, now);
}

bool retry_budget::allows(time_point now) const {
    return credit(now) >= 1 - rounding;
}

void retry_budget::on_retry(time_point now) {
    settle(now);
    balance_ = std::max(0.0, balance_ - 1);
}

void retry_budget::on_unsent_retry(time_point now) {
    earn(1, now);
}

// --- transfers ---------------------------------------------------------------

double retry_budget::spare_credit(time_point now) const {
    double const spare = credit(now) - 1;
    return spare < min_grant ? 0 : spare;
}

double retry_budget::grant(double wanted, time_point now) {
    double const amount = std::min(wanted, spare_credit(now));
    if (amount <= 0)
        return 0;
    settle(now);
    balance_ -= amount;
    granted_.push_back({amount, now + options_.transfer_time});
    return amount;
}

double retry_budget::missing_credit(time_point now) const {
    double const missing = 1 - credit(now);
    return missing < rounding ? 0 : missing;
}

void retry_budget::on_grant(double amount, time_point requested_at,
                            time_point now) {
    if (now < requested_at + options_.transfer_time)
        earn(amount, now);
}

} // namespace yuccabeam::placement
