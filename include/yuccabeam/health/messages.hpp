#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Messages between a service's observers (the daemons that send requests to
/// its targets) and its arbiter. Plain aggregates; the codec is elsewhere.
namespace yuccabeam::health {

/// Counts of one (target, kind) in one window of 1 s at one observer.
///
/// Counters only grow while the window is open, so a receiver merges two
/// copies by taking the maximum of each counter and the OR of each bitmap.
/// Exception: a new configuration discards the observer's counts, and those of
/// the open window restart at zero.
struct evidence_window {
    std::uint32_t target = 0; ///< index into `evidence_report::targets`
    std::uint32_t kind = 0;   ///< index into `evidence_report::kinds`
    /// `evidence_report::window` minus the number of this window of 1 s; 0: the
    /// same window.
    std::uint32_t age = 0;
    std::uint32_t ok = 0; ///< complete responses within the slow threshold
    /// Complete responses above the slow threshold, or in-flight requests that
    /// have exceeded it.
    std::uint32_t slow = 0;
    std::uint32_t refused = 0;
    std::uint32_t reset = 0;
    std::uint32_t timeout = 0;
    std::uint32_t server_error = 0;
    std::uint32_t short_answer = 0;
    std::uint64_t failing_callers = 0; ///< bitmap of hashed callers
    std::uint64_t slow_callers = 0;    ///< bitmap of hashed callers
    /// Counts for each latency bucket, without trailing zeros; see
    /// `latency_bucket`.
    std::vector<std::uint32_t> latency;

    auto operator<=>(evidence_window const&) const = default;
};

/// Progress of a re-admission trial at the daemon that runs it.
struct trial_progress {
    std::string target;
    std::uint32_t round = 0; ///< copied from the grant
    std::uint32_t good_in_row = 0;
    bool failed = false;

    auto operator<=>(trial_progress const&) const = default;
};

/// Sent by an observer to the service's arbiter.
struct evidence_report {
    std::string service;
    std::string arbiter;  ///< daemon that the report is addressed to
    std::string observer; ///< sending daemon
    std::uint64_t observer_incarnation = 0;
    std::string failure_domain; ///< of the observer
    std::uint64_t sequence = 0; ///< grows with each report of an incarnation
    /// Observer's window of 1 s (whole seconds of its boot clock) at sending.
    std::uint64_t window = 0;
    /// The sender supports the arbiter for one lease from the time of sending.
    bool support = false;
    /// Newest table that the sender has received from this arbiter (0: none).
    /// It proves to the arbiter that the report was sent after that table.
    std::uint64_t table_incarnation = 0;
    std::uint64_t table_sequence = 0;
    /// Number of the service's home daemons in the sender's view.
    std::uint32_t home_daemons = 0;
    /// Failure domains whose health the sender can't assess because it suspects
    /// its own link to them.
    std::vector<std::string> suspected_links;
    std::vector<std::string> targets; ///< string table
    std::vector<std::string> kinds;   ///< string table
    std::vector<evidence_window> windows;
    std::vector<trial_progress> trials;
    /// Only targets for which this observer received a drain signal itself or
    /// that its VM list shows as leaving.
    std::vector<std::string> leaving;

    auto operator<=>(evidence_report const&) const = default;
};

/// Evidence on which the arbiter decided that a target is bad; for
/// explanations.
struct verdict_evidence {
    std::string rule; ///< `failures` or `slowness`
    std::string kind; ///< route id; empty: all kinds together
    std::uint32_t requests = 0;
    std::uint32_t bad = 0;
    /// Distinct callers of bad requests, lower bound.
    std::uint32_t callers = 0;
    std::uint32_t score_milli = 0;
    std::uint32_t threshold_milli = 0;

    auto operator<=>(verdict_evidence const&) const = default;
};

/// The arbiter's decision on one bad target: permission to eject it, valid for
/// 4 s from the moment the receiver sent the report that the table answers. If
/// `suppressed_by` is set, the entry permits no ejection, and receivers treat
/// the target as suspect.
struct grant {
    std::string target;
    /// Failure domain whose observers eject the target; empty: all observers.
    std::string scope;
    std::uint32_t age_ms = 0;  ///< since the ejection
    std::uint32_t hold_ms = 0; ///< remaining hold-down; 0: on trial
    /// The only daemon that may send trial requests; empty: none assigned yet.
    std::string trial_daemon;
    std::uint32_t trial_round = 0;
    std::uint32_t trial_interval_ms = 0;
    std::uint32_t relapses = 0;
    /// Why the target is not ejected: `budget` or `domain-lost`; empty: it
    /// is ejected.
    std::string suppressed_by;
    verdict_evidence evidence;

    auto operator<=>(grant const&) const = default;
};

/// A re-admitted target in slow start; its weight rises with `age_ms`.
struct returning_target {
    std::string target;
    std::string scope;        ///< as in `grant`
    std::uint32_t age_ms = 0; ///< since the re-admission

    auto operator<=>(returning_target const&) const = default;
};

/// Median latency of one kind over all targets and observers.
struct latency_reference {
    std::string kind;
    std::uint32_t median_us = 0;

    auto operator<=>(latency_reference const&) const = default;
};

/// Sent by an arbiter to one observer: the complete list of grants,
/// including those whose ejection is suppressed.
struct ejection_table {
    std::string service;
    std::string arbiter;
    std::uint64_t incarnation = 0; ///< of the arbiter
    std::uint64_t sequence = 0;    ///< grows with each table
    std::string receiver;
    std::uint64_t receiver_incarnation = 0;
    /// Sequence of the newest report that the arbiter has received from the
    /// receiver.
    std::uint64_t report_sequence = 0;
    std::vector<grant> grants;
    std::vector<returning_target> returning;
    std::vector<std::string> leaving;
    std::vector<latency_reference> references;
    bool degraded = false;
    /// For explanations: slots that this arbiter may eject, slots covered by
    /// outstanding grants, and supporters.
    std::uint32_t budget_slots = 0;
    std::uint32_t ejected_slots = 0;
    std::uint32_t supporters = 0;
    std::uint32_t home_daemons = 0;

    auto operator<=>(ejection_table const&) const = default;
};

} // namespace yuccabeam::health
