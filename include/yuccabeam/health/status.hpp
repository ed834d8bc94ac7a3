#pragma once

#include "yuccabeam/health/messages.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccabeam::health {

enum class target_state {
    healthy,
    suspect,    ///< used only if no other target has a free slot
    ejected,    ///< no requests
    trial,      ///< ejected, but this daemon may send trial requests
    slow_start, ///< use by `weight`
    leaving     ///< no new work
};

enum class state_reason {
    none,
    local_failures, ///< this daemon saw failures
    local_slowness, ///< this daemon saw slow responses
    own_link,       ///< this daemon suspects its link to the failure domain
    budget,         ///< bad, but the ejection budget is used up
    domain_lost,    ///< bad together with its whole failure domain
    local_floor,    ///< granted, but this daemon's floor check forbids the
                    ///< ejection
    grant_lapsed,   ///< the arbiter's grant expired without
                    ///< renewal or was withdrawn, whether or not this
                    ///< daemon had accepted it
    granted,        ///< ejected by the arbiter
    returned,       ///< re-admitted after trials
    added,          ///< new in the register, or back from draining
    drain_signal    ///< drain signal, VM list, or a peer's report
};

/// Event that ends the current state.
enum class next_change {
    none,
    good_requests,   ///< the suspicion expires after a fixed time; good
                     ///< requests prevent its renewal
    arbiter_verdict, ///< the arbiter's next table
    hold_end,        ///< the hold-down ends, then trials start
    trials,          ///< `grant_options::good_trials` good trials in a
                     ///< row
    slow_start_end,  ///< the weight reaches 1
    end_of_leaving ///< the register or VM list shows the target in service, or
                   ///< drain signals cease
};

std::string_view to_string(target_state value);
std::string_view to_string(state_reason value);
std::string_view to_string(next_change value);

/// State of a target for the request path.
struct target_status {
    target_state state = target_state::healthy;
    double weight = 1; ///< 0 to 1
    state_reason reason = state_reason::none;
    time_point since{};
    next_change next = next_change::none;

    bool operator==(target_status const&) const = default;
};

/// State of a target with the evidence and rules behind it, for operators.
struct explanation {
    target_id target;
    target_status status;
    daemon_id arbiter;  ///< that granted the ejection, or receives the reports
    std::string scope;  ///< failure domain, or empty for all observers
    std::string rule;   ///< in words, with its numbers
    std::string change; ///< in words: what would change the state
    verdict_evidence fleet_evidence;  ///< of the arbiter, if it decided
    std::uint32_t local_requests = 0; ///< in this daemon's evidence log,
                                      ///< about the last 10 s
    std::uint32_t local_failures = 0;
    std::uint32_t local_slow = 0;
    double local_score = 0;
    duration slow_after{}; ///< slow threshold of the first kind; 0: unknown
    std::uint32_t hold_ms = 0;
    std::uint32_t relapses = 0;
    std::string trial_daemon;
    bool service_degraded = false;
    std::uint32_t budget_slots = 0; ///< that the arbiter may eject
    std::uint32_t ejected_slots = 0;
    std::uint32_t supporters = 0;
    std::uint32_t home_daemons = 0;

    bool operator==(explanation const&) const = default;
};

} // namespace yuccabeam::health
