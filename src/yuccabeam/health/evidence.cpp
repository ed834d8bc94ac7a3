#include "yuccabeam/health/evidence.hpp"

#include <algorithm>
#include <bit>
#include <numeric>

namespace yuccabeam::health {

namespace {

constexpr duration first_bound = std::chrono::microseconds(500);

/// Counters of `window_counts`, for member-wise operations.
constexpr std::array counters = {
    &window_counts::ok,           &window_counts::slow,
    &window_counts::refused,      &window_counts::reset,
    &window_counts::timeout,      &window_counts::server_error,
    &window_counts::short_answer,
};

std::uint32_t excess(std::uint32_t newer, std::uint32_t older) {
    return newer > older ? newer - older : 0;
}

std::uint64_t caller_bit(std::uint64_t caller) {
    // The multiplication spreads callers whose hash differs in few bits.
    return std::uint64_t{1} << ((caller * 0x9e3779b97f4a7c15ULL) >> 58U);
}

} // namespace

std::string_view to_string(request_outcome value) {
    constexpr std::array<std::string_view, 10> names = {
        "ok",           "refused", "reset",        "timeout",   "server_error",
        "short_answer", "shed",    "caller_error", "cancelled", "overdue"};
    return names.at(static_cast<std::size_t>(value));
}

std::size_t latency_bucket(duration latency) {
    if (latency < first_bound)
        return 0;
    auto const ratio = static_cast<std::uint64_t>(latency / first_bound);
    return std::min<std::size_t>(std::bit_width(ratio), latency_buckets - 1);
}

void latency_sketch::add(latency_sketch const& other) {
    for (std::size_t i = 0; i < latency_buckets; ++i)
        counts[i] += other.counts[i];
}

void latency_sketch::subtract(latency_sketch const& other) {
    for (std::size_t i = 0; i < latency_buckets; ++i)
        counts[i] = excess(counts[i], other.counts[i]);
}

std::uint32_t latency_sketch::total() const {
    return std::accumulate(counts.begin(), counts.end(), std::uint32_t{0});
}

duration median(latency_sketch const& sketch) {
    auto const total = sketch.total();
    if (total == 0)
        return duration::zero();
    auto const half = total / 2.0;
    double below = 0;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        auto const here = static_cast<double>(sketch.counts[i]);
        if (here > 0 && below + here >= half) {
            auto const upper = to_seconds(first_bound) *
                               static_cast<double>(std::uint64_t{1} << i);
            auto const lower = i == 0 ? 0 : upper / 2;
            return from_seconds(lower +
                                (upper - lower) * (half - below) / here);
        }
        below += here;
    }
    return duration::zero();
}

window_counts merge(window_counts const& a, window_counts const& b) {
    window_counts merged;
    for (auto const counter : counters)
        merged.*counter = std::max(a.*counter, b.*counter);
    merged.failing_callers = a.failing_callers | b.failing_callers;
    merged.slow_callers = a.slow_callers | b.slow_callers;
    for (std::size_t i = 0; i < latency_buckets; ++i)
        merged.latency.counts[i] =
            std::max(a.latency.counts[i], b.latency.counts[i]);
    return merged;
}

window_counts difference(window_counts const& newer,
                         window_counts const& older) {
    window_counts rest = newer;
    for (auto const counter : counters)
        rest.*counter = excess(newer.*counter, older.*counter);
    rest.latency.subtract(older.latency);
    return rest;
}

void count(window_counts& counts, observation const& seen, bool slow) {
    switch (seen.outcome) {
    case request_outcome::ok:
        ++counts.latency.counts[latency_bucket(seen.latency)];
        if (seen.overdue_reported)
            break;
        ++(slow ? counts.slow : counts.ok);
        break;
    case request_outcome::overdue:
        ++counts.slow;
        break;
    case request_outcome::refused:
        ++counts.refused;
        break;
    case request_outcome::reset:
        ++counts.reset;
        break;
    case request_outcome::timeout:
        ++counts.timeout;
        break;
    case request_outcome::server_error:
        ++counts.server_error;
        break;
    case request_outcome::short_answer:
        ++counts.short_answer;
        break;
    case request_outcome::shed:
    case request_outcome::caller_error:
    case request_outcome::cancelled:
        return;
    }
    if (is_failure(seen.outcome))
        counts.failing_callers |= caller_bit(seen.caller);
    else if (slow || seen.outcome == request_outcome::overdue)
        counts.slow_callers |= caller_bit(seen.caller);
}

window_counts to_counts(evidence_window const& window) {
    window_counts counts{window.ok,           window.slow,
                         window.refused,      window.reset,
                         window.timeout,      window.server_error,
                         window.short_answer, window.failing_callers,
                         window.slow_callers, {}};
    auto const length = std::min(window.latency.size(), latency_buckets);
    std::copy_n(window.latency.begin(), length, counts.latency.counts.begin());
    return counts;
}

evidence_window to_window(window_counts const& counts) {
    evidence_window window;
    window.ok = counts.ok;
    window.slow = counts.slow;
    window.refused = counts.refused;
    window.reset = counts.reset;
    window.timeout = counts.timeout;
    window.server_error = counts.server_error;
    window.short_answer = counts.short_answer;
    window.failing_callers = counts.failing_callers;
    window.slow_callers = counts.slow_callers;
    auto const& sketch = counts.latency.counts;
    auto last = sketch.size();
    while (last > 0 && sketch[last - 1] == 0)
        --last;
    window.latency.assign(sketch.begin(),
                          sketch.begin() + static_cast<std::ptrdiff_t>(last));
    return window;
}

} // namespace yuccabeam::health
