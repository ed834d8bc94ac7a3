#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace yuccabeam::placement {

/// A good answer, as far as it tells of the service's requests.
struct successful_answer {
    duration taken{};
    bool queued = false;     ///< it had to wait for a slot
    bool idempotent = false; ///< the request may be repeated
    std::size_t bytes = 0;
};

/// What is learnt of each service's requests: their rate over the fleet, the
/// usual time to an answer, and its size.
class service_loads {
public:
    void set_fleet_rate(service_id const& service, double per_second);
    void on_answer(service_id const& service, successful_answer const& answer);

    /// Requests per second over the whole fleet; 0: unknown.
    double fleet_rate(service_id const& service) const;
    /// Usual time to an answer that waits for no slot; 0: unknown.
    duration service_time(service_id const& service) const;
    /// The same for non-idempotent requests, which may have more work than the
    /// others; empty until enough of them are known.
    std::optional<duration>
    non_idempotent_service_time(service_id const& service) const;
    /// Usual size of an answer, in MB; 0: unknown.
    double answer_mb(service_id const& service) const;
    /// Slots that the service's requests take up over the whole fleet.
    double busy_slots(service_id const& service) const;

private:
    /// Mean of the last values; the first ones count alike.
    struct smoothed_mean {
        double value = 0;
        double values = 0;

        void add(double one);
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
