#pragma once

#include "yuccabeam/health/messages.hpp"
#include "yuccabeam/values/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace yuccabeam::health {

enum class request_outcome {
    ok,
    refused,      ///< no connection
    reset,        ///< the connection broke
    timeout,      ///< no complete response within the deadline
    server_error, ///< 5xx other than shedding
    short_answer, ///< fewer bytes than announced
    shed,         ///< rejected by the target because of load; no evidence
    caller_error, ///< 4xx; no evidence
    cancelled,    ///< cancelled by the caller; no evidence
    /// Still in flight after `service_health::slow_after`; counted as slow.
    /// Report the final outcome later with `observation::overdue_reported` set:
    /// an ok then adds only its latency, whereas a failure is counted in
    /// addition. Trials ignore the flag.
    overdue
};

std::string_view to_string(request_outcome value);

/// True for outcomes that count as failures. `overdue` is not one of them: it
/// counts as slow.
constexpr bool is_failure(request_outcome value) {
    return value == request_outcome::refused ||
           value == request_outcome::reset ||
           value == request_outcome::timeout ||
           value == request_outcome::server_error ||
           value == request_outcome::short_answer;
}

/// One request's outcome at a target.
struct observation {
    std::uint32_t target = 0; ///< index in `service_topology::targets`
    std::uint32_t kind = 0;   ///< index in `service_topology::kinds`
    request_outcome outcome = request_outcome::ok;
    /// Time to the first byte of the response, or to the failure.
    duration latency{};
    std::uint64_t caller = 0; ///< hash of the account
    bool overdue_reported = false;
    bool trial = false; ///< started by `service_health::try_start_trial`

    bool operator==(observation const&) const = default;
};

inline constexpr std::size_t latency_buckets = 16;

/// Log-scaled bucket: bucket b holds latencies below 0.5 ms * 2^b, the last
/// one everything from 8.192 s.
std::size_t latency_bucket(duration latency);

/// Histogram of latencies.
struct latency_sketch {
    std::array<std::uint32_t, latency_buckets> counts{};

    void add(latency_sketch const& other);
    void subtract(latency_sketch const& other);
    std::uint32_t total() const;

    bool operator==(latency_sketch const&) const = default;
};

/// Median, interpolated within its bucket; 0 for an empty sketch.
duration median(latency_sketch const& sketch);

/// Counters of one window. `merge` is commutative, associative and
/// idempotent.
struct window_counts {
    std::uint32_t ok = 0;
    std::uint32_t slow = 0;
    std::uint32_t refused = 0;
    std::uint32_t reset = 0;
    std::uint32_t timeout = 0;
    std::uint32_t server_error = 0;
    std::uint32_t short_answer = 0;
    std::uint64_t failing_callers = 0;
    std::uint64_t slow_callers = 0;
    latency_sketch latency;

    std::uint32_t failures() const {
        return refused + reset + timeout + server_error + short_answer;
    }
    std::uint32_t requests() const { return ok + slow + failures(); }

    bool operator==(window_counts const&) const = default;
};

window_counts merge(window_counts const& a, window_counts const& b);

/// Counts in `newer` that exceed those in `older`; bitmaps are copied from
/// `newer`.
window_counts difference(window_counts const& newer,
                         window_counts const& older);

/// Adds an outcome. `slow` is true if an ok response exceeded the slow
/// threshold.
void count(window_counts& counts, observation const& seen, bool slow);

window_counts to_counts(evidence_window const& window);
evidence_window to_window(window_counts const& counts);

} // namespace yuccabeam::health
