#include "yuccabeam/placement/service_loads.hpp"

#include <algorithm>

namespace yuccabeam::placement {

namespace {

// The mean of fewer responses may be far too low, as some requests need hardly
// any work, and healthy targets would then seem overdue.
constexpr double min_samples = 8;

} // namespace

void service_loads::smoothed_mean::add(double sample) {
    constexpr double max_weight = 50;
    values = std::min(values + 1, max_weight);
    value += (sample - value) / values;
}

service_loads::load const*
service_loads::find(service_id const& service) const {
    auto const found = loads_.find(service);
    return found == loads_.end() ? nullptr : &found->second;
}

void service_loads::set_fleet_rate(service_id const& service,
                                   double per_second) {
    loads_[service].fleet_rate = per_second;
}

void service_loads::on_answer(service_id const& service,
                              successful_answer const& answer) {
    auto& load = loads_[service];
    load.answer_bytes.add(static_cast<double>(answer.bytes));
    // Queueing time is not part of the service time; it is accounted for
    // separately.
    if (answer.queued && load.service_seconds.values > 0)
        return;
    double const seconds = to_seconds(answer.taken);
    load.service_seconds.add(seconds);
    if (!answer.idempotent)
        load.non_idempotent_seconds.add(seconds);
}

std::optional<duration>
service_loads::non_idempotent_service_time(service_id const& service) const {
    auto const* load = find(service);
    if (!load || load->non_idempotent_seconds.values < min_samples)
        return std::nullopt;
    return from_seconds(load->non_idempotent_seconds.value);
}

duration service_loads::service_time(service_id const& service) const {
    auto const* load = find(service);
    return load ? from_seconds(load->service_seconds.value) : duration{};
}

double service_loads::answer_mb(service_id const& service) const {
    constexpr double bytes_per_mb = 1e6;
    auto const* load = find(service);
    return load ? load->answer_bytes.value / bytes_per_mb : 0;
}

double service_loads::fleet_rate(service_id const& service) const {
    auto const* load = find(service);
    return load ? load->fleet_rate : 0;
}

double service_loads::busy_slots(service_id const& service) const {
    auto const* load = find(service);
    return load ? load->fleet_rate * load->service_seconds.value : 0;
}

} // namespace yuccabeam::placement
