#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstddef>

namespace yuccabeam::placement {

/// What a daemon knows of the room at a service. Suspected targets count with
/// all their slots: a wrong suspicion must not make requests wait.
struct service_room {
    double slots = 0;        ///< of the usable targets; 0: unknown
    double in_flight = 0;    ///< requests of all daemons there
    double own = 0;          ///< those of this daemon
    std::size_t targets = 0; ///< usable ones
    std::size_t used = 0;    ///< of these, with requests in flight
    /// The loads of other daemons arrive by a relay and are older.
    bool relayed = false;
    /// This daemon's part of the service's requests, 0 to 1.
    double share = 1;
    duration service_time{}; ///< usual; 0: unknown
};

} // namespace yuccabeam::placement
