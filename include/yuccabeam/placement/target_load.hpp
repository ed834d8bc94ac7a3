#pragma once

#include "yuccabeam/values/ids.hpp"

#include <cstdint>

namespace yuccabeam::placement {

/// In-flight requests at a target, of a group of daemons, in the compact form
/// in which relays collect and distribute them.
struct target_load {
    std::uint64_t key = 0; ///< `load_key` of the target
    std::uint32_t in_flight = 0;
    bool started = false; ///< a request was sent since the previous report

    bool operator==(target_load const&) const = default;
};

/// Hash of a target's id and incarnation, the same at all daemons.
std::uint64_t load_key(target_id const& id, std::int64_t started_ms);

} // namespace yuccabeam::placement
