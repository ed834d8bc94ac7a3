#include "yuccabeam/gateway/transfer_pace.hpp"

namespace yuccabeam::gateway {

void transfer_pace::on_bytes(std::uint64_t bytes, time_point now) {
    bytes_ = bytes;
    if (!window_start_) {
        window_start_ = now;
        measured_at_ = now;
    }
}

void transfer_pace::start_window(time_point now) {
    window_start_ = now;
    bytes_at_start_ = bytes_;
}

void transfer_pace::measure(time_point now) {
    if (!begun() || slow_)
        return;
    bool const held_up = now - measured_at_ > options_.longest_pause;
    measured_at_ = now;
    if (held_up) {
        start_window(now);
        return;
    }
    auto const elapsed = now - *window_start_;
    if (elapsed < options_.window)
        return;
    slow_ = static_cast<double>(bytes_ - bytes_at_start_) <
            options_.least_bytes_per_s * to_seconds(elapsed);
    start_window(now);
}

} // namespace yuccabeam::gateway
