#pragma once

#include "yuccabeam/placement/target_table.hpp"
#include "yuccabeam/telemetry/event_log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// What a daemon does with a target, by what it believes of it.
enum class target_state : std::uint8_t {
    in_use,
    suspected,
    unreachable,
    leaving,
    replaced,
    vanished
};

target_state state_of(placement::target_snapshot const& belief);
std::string_view to_string(target_state value);

/// A share in whole percent.
std::string percent_text(double share);

/// What a choice or a notice rests on, for a log line: the target's risk, the
/// last evidence, who saw it, and its age at `now`.
telemetry::log_fields
risk_fields(double risk,
            std::optional<placement::target_evidence> const& evidence,
            time_point now);

/// What this daemon believes of a target and why, in sentences.
std::string describe_target(placement::target_snapshot const& belief,
                            time_point now);

} // namespace yuccabeam::gateway
