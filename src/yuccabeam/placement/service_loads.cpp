#include "yuccabeam/placement/service_loads.hpp"

#include <algorithm>

namespace yuccabeam::placement {

void service_loads::smoothed_mean::add(double one) {
    constexpr double most_values = 50;
    values = std::min(values + 1, most_values);
    value += (one - value) / values;
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

void service_loads::on_answer(service_id const& service, duration taken,
                              bool queued, std::size_t bytes) {
    auto& load = loads_[service];
    load.answer_bytes.add(static_cast<double>(bytes));
    // Time in a queue belongs to the queue, which is counted apart.
    if (!queued || load.service_seconds.values == 0)
        load.service_seconds.add(to_seconds(taken));
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

double service_loads::busy_slots(service_id const& service) const {
    auto const* load = find(service);
    return load ? load->fleet_rate * load->service_seconds.value : 0;
}

} // namespace yuccabeam::placement
