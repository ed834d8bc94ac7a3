#include "yuccabeam/gateway/serving_gate.hpp"

namespace yuccabeam::gateway {

void serving_gate::on_running(time_point now) {
    if (running_at_ && now - *running_at_ >= options_.pause)
        closed_at_ = resumed_at_ = now;
    running_at_ = now;
}

bool serving_gate::open(time_point now, time_point confirmed_at) const {
    return !closed_at_ || confirmed_at >= *closed_at_ ||
           now - *closed_at_ >= options_.longest_hold;
}

} // namespace yuccabeam::gateway
