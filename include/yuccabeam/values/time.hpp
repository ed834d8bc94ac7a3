#pragma once

#include <chrono>
#include <cstdint>

namespace yuccabeam {

using duration = std::chrono::nanoseconds;

/// Monotonic clock that counts time since boot, including suspended time.
///
/// With a clock that stops while a VM is suspended, an expired lease would
/// still appear valid after the VM resumes. The clock has no `now()`: the
/// decision code receives the time with each event, and `adapters/clock.hpp`
/// reads the clock.
struct boot_clock {
    using duration = yuccabeam::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;
};

using time_point = boot_clock::time_point;

/// Duration in seconds as a floating point number.
constexpr double to_seconds(duration d) {
    return std::chrono::duration<double>(d).count();
}

/// Duration in whole milliseconds, truncated toward zero.
constexpr std::int64_t to_milliseconds(duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// Duration from a floating point number of seconds.
constexpr duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace yuccabeam
