#pragma once

#include "yuccabeam/placement/target_book.hpp"
#include "yuccabeam/telemetry/event_log.hpp"

#include <optional>
#include <string>

namespace yuccabeam::gateway {

/// A share in whole percent.
std::string percent_text(double share);

/// What a choice or a notice rests on, for a log line: the target's risk, the
/// last evidence, who saw it, and its age at `now`.
telemetry::log_fields
belief_fields(double risk,
              std::optional<placement::target_evidence> const& evidence,
              time_point now);

/// What this daemon believes of a target and why, in sentences.
std::string sentences_of(placement::target_belief const& belief,
                         time_point now);

} // namespace yuccabeam::gateway
