#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <optional>

namespace yuccabeam::gateway {

struct transfer_pace_options {
    /// Speed in bytes per second below which a transfer is slow. A link of 10
    /// Mbit/s whose callers leave a fifth of it is faster.
    double least_bytes_per_s = 128 << 10;
    /// Time over which the speed is measured.
    duration window = std::chrono::milliseconds(300);
    /// A longer pause between two measurements shows that this process was held
    /// up and not the transfer.
    duration longest_pause = std::chrono::milliseconds(150);
};

/// Tells whether a response that has begun to arrive is slow: its source or the
/// path to it then is the cause, and not the size of the response.
class transfer_pace {
public:
    explicit transfer_pace(transfer_pace_options options = {})
        : options_(options) {}

    /// `bytes` of the response have arrived so far.
    void on_bytes(std::uint64_t bytes, time_point now);
    /// Measures the speed. To be called every few tens of milliseconds.
    void measure(time_point now);

    bool begun() const { return window_start_.has_value(); }
    /// The speed was too low over a whole window.
    bool slow() const { return slow_; }
    std::uint64_t bytes() const { return bytes_; }

private:
    void start_window(time_point now);

    transfer_pace_options options_;
    std::uint64_t bytes_ = 0;
    std::optional<time_point> window_start_;
    std::uint64_t bytes_at_start_ = 0; ///< of the window
    time_point measured_at_{};
    bool slow_ = false;
};

} // namespace yuccabeam::gateway
