#pragma once

#include "yuccabeam/placement/target_table.hpp"
#include "yuccabeam/telemetry/event_log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// State of a target in a daemon's target selection.
enum class target_state : std::uint8_t {
    in_use,
    suspected,
    unreachable,
    leaving,
    replaced,
    vanished
};

target_state state_of(placement::target_snapshot const& snapshot);
std::string_view to_string(target_state value);

/// `share` (0 to 1) in whole percent, without the sign.
std::string percent_text(double share);

/// Log fields that explain a choice or a notice: the target's failure
/// probability, the last evidence, whether this daemon or a peer observed it,
/// and its age at `now`.
telemetry::log_fields
risk_fields(double risk,
            std::optional<placement::target_evidence> const& evidence,
            time_point now);

/// Describes a target's state, failure probability and last evidence in
/// sentences for operators.
std::string describe_target(placement::target_snapshot const& snapshot,
                            time_point now);

} // namespace yuccabeam::gateway
