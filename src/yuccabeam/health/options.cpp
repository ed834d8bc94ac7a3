#include "yuccabeam/health/options.hpp"

namespace yuccabeam::health {

detector_options options_for(ejection_policy policy) {
    detector_options options;
    if (policy == ejection_policy::eject_carefully)
        return options;
    options.p0 = 0.02;
    options.false_alarm_interval = std::chrono::hours(24 * 30);
    options.min_slow_span = std::chrono::seconds(1);
    return options;
}

} // namespace yuccabeam::health
