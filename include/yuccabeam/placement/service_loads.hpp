#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace yuccabeam::placement {

/// The measured properties of a successful response.
struct successful_answer {
    duration taken{};
    bool queued = false;     ///< the request waited for a slot
    bool idempotent = false; ///< the request may be repeated
    std::size_t bytes = 0;
};

/// Statistics of the requests of each service: their rate over the fleet, the
/// mean service time and the mean response size.
class service_loads {
public:
    void set_fleet_rate(service_id const& service, double per_second);
    void on_answer(service_id const& service, successful_answer const& answer);

    /// Requests per second over the whole fleet; 0: unknown.
    double fleet_rate(service_id const& service) const;
    /// Mean time to a response, of requests that did not wait for a slot; only
    /// the first sample may include a wait. 0: unknown.
    duration service_time(service_id const& service) const;
    /// The same for non-idempotent requests, which may need more work than the
    /// others; empty until there are enough samples.
    std::optional<duration>
    non_idempotent_service_time(service_id const& service) const;
    /// Mean response size in MB; 0: unknown.
    double answer_mb(service_id const& service) const;
    /// Mean number of slots that the service's requests occupy over the whole
    /// fleet.
    double busy_slots(service_id const& service) const;

private:
    /// Exponential moving average; while there are few values it is their plain
    /// mean.
    struct smoothed_mean {
        double value = 0;
        double values = 0;

        void add(double sample);
    };

    struct load {
        double fleet_rate = 0; ///< requests per second
        smoothed_mean service_seconds;
        smoothed_mean non_idempotent_seconds;
        smoothed_mean answer_bytes;
    };

    load const* find(service_id const& service) const;

    std::map<service_id, load> loads_;
};

} // namespace yuccabeam::placement
