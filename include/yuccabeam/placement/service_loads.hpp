#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <map>

namespace yuccabeam::placement {

/// What is learnt of each service's requests: their rate over the fleet, the
/// usual time to an answer, and its size.
class service_loads {
public:
    void set_fleet_rate(service_id const& service, double per_second);
    /// A good answer: the time that it took, whether it had to wait for a
    /// slot, and its size.
    void on_answer(service_id const& service, duration taken, bool queued,
                   std::size_t bytes);

    /// Usual time to an answer that waits for no slot; 0: unknown.
    duration service_time(service_id const& service) const;
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
        smoothed_mean answer_bytes;
    };

    load const* find(service_id const& service) const;

    std::map<service_id, load> loads_;
};

} // namespace yuccabeam::placement
