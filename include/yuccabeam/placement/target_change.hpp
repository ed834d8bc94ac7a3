#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace yuccabeam::placement {

/// What a daemon knows of the time at which the entries missing in a list were
/// removed.
struct removal_evidence {
    /// The entries existed at this time; by default until the list arrived.
    std::optional<time_point> listed_until = std::nullopt;
    /// End of the last known period in which the store answered no daemon for
    /// so long that entries of live targets may have expired.
    std::optional<time_point> store_returned_at = std::nullopt;

    bool operator==(removal_evidence const&) const = default;
};

enum class target_change_kind : std::uint8_t {
    joined, ///< a new target, a new incarnation or a changed registration
    leaving,
    vanished, ///< its entry was removed
    expired,  ///< its entry has probably expired in an outage of the store
    returned
};

std::string_view to_string(target_change_kind value);

/// A difference between two successive lists of targets.
struct target_change {
    target_id target;
    service_id service;
    target_change_kind kind = target_change_kind::joined;
    /// End of the use of a target whose entry is gone.
    std::optional<time_point> usable_until = std::nullopt;
};

} // namespace yuccabeam::placement
