#pragma once

#include "yuccabeam/health/status.hpp"
#include "yuccabeam/routing/select.hpp"

namespace yuccabeam::routing {

/// Maps a health state to the state that target selection uses. A target in
/// slow start is healthy with a lower weight.
constexpr target_state selection_state(health::target_state state) {
    switch (state) {
    case health::target_state::healthy:
    case health::target_state::slow_start:
        return target_state::healthy;
    case health::target_state::suspect:
        return target_state::suspect;
    case health::target_state::trial:
        return target_state::trial;
    case health::target_state::leaving:
        return target_state::leaving;
    case health::target_state::ejected:
        break;
    }
    return target_state::ejected;
}

} // namespace yuccabeam::routing
