#pragma once

#include "yuccabeam/values/time.hpp"

#include <ctime>

namespace yuccabeam::adapters {

/// Time since boot, including time in which the VM was suspended.
inline time_point boot_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace yuccabeam::adapters
