#include "scope_detector.hpp"

#include "evidence_log.hpp"

#include <algorithm>

namespace yuccabeam::health {

namespace {

constexpr std::uint64_t recent_seconds = 2;
// Fewer requests give no usable estimate of a rate.
constexpr std::uint32_t min_requests = 20;
constexpr std::uint32_t min_recent_requests = 3;
constexpr double baseline_window_requests = 4096;
constexpr double baseline_min_requests = 200;
// A score without new evidence for this long is outdated.
constexpr duration idle_limit = std::chrono::seconds(60);

template <class Tests>
auto& select_test(Tests& tests, test_id id) {
    if (id.kind)
        return id.slowness ? tests.slowness_by_kind[*id.kind]
                           : tests.failures_by_kind[*id.kind];
    return id.slowness ? tests.slowness : tests.failures;
}

} // namespace

void tally::add(tally const& other) {
    requests += other.requests;
    failures += other.failures;
    slow += other.slow;
}

void tally::subtract(tally const& other) {
    requests -= other.requests;
    failures -= other.failures;
    slow -= other.slow;
}

void baseline_slow_rate::add(tally const& value) {
    requests_ += value.requests;
    slow_ += value.slow;
    if (requests_ > baseline_window_requests) {
        requests_ /= 2;
        slow_ /= 2;
    }
}

double baseline_slow_rate::rate(double lowest) const {
    if (requests_ < baseline_min_requests)
        return lowest;
    return std::max(lowest, slow_ / requests_);
}

void rate_ring::advance(std::uint64_t second) {
    if (second <= head_)
        return;
    auto const steps = std::min<std::uint64_t>(second - head_, seconds_.size());
    for (std::uint64_t i = 0; i < steps; ++i) {
        auto& expired = seconds_[(second - i) % seconds_.size()];
        sum_.subtract(expired);
        expired = {};
    }
    head_ = second;
}

void rate_ring::add(tally const& value, std::uint64_t second) {
    advance(second);
    seconds_[head_ % seconds_.size()].add(value);
    sum_.add(value);
}

void rate_ring::remove(rate_ring part) {
    advance(part.head_);
    part.advance(head_);
    for (std::size_t i = 0; i < seconds_.size(); ++i)
        seconds_[i].subtract(part.seconds_[i]);
    sum_.subtract(part.sum_);
}

tally rate_ring::recent(std::uint64_t second) const {
    tally result;
    for (std::uint64_t i = 0; i < recent_seconds && i <= head_; ++i)
        if (head_ - i + recent_seconds > second)
            result.add(seconds_[(head_ - i) % seconds_.size()]);
    return result;
}

scope_detector::scope_detector(std::size_t targets, std::size_t kinds,
                               detector_options options)
    : options_(options), threshold_(threshold_of(options)),
      targets_(targets, target_tests(kinds)), totals_(kinds),
      baseline_slow_rates_(kinds) {}

double scope_detector::others_rate(std::uint32_t target, std::uint32_t kind,
                                   bool slowness) const {
    auto const prior =
        slowness ? baseline_slow_rates_[kind].rate(options_.p0) : options_.p0;
    auto const rate = [&](tally all, tally const& own) {
        all.subtract(own);
        return smoothed_rate(slowness ? all.slow : all.failures, all.requests,
                             prior);
    };
    auto const& own = targets_[target].rates[kind];
    // The sum over 2 s reacts sooner to a fault of the whole service.
    return std::max(rate(totals_[kind].sum(), own.sum()),
                    rate(totals_[kind].recent(), own.recent()));
}

double scope_detector::others_median(std::uint32_t target, std::uint32_t kind,
                                     bool slowness,
                                     std::uint64_t second) const {
    std::vector<double> rates;
    for (std::uint32_t i = 0; i < targets_.size(); ++i) {
        auto const seen = targets_[i].rates[kind].recent(second);
        if (i != target && seen.requests >= min_recent_requests)
            rates.push_back(
                static_cast<double>(slowness ? seen.slow : seen.failures) /
                seen.requests);
    }
    if (rates.empty())
        return 0;
    auto const middle =
        rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

likelihood_steps scope_detector::steps(std::uint32_t target, std::uint32_t kind,
                                       bool slowness,
                                       std::uint64_t second) const {
    // The median distinguishes a fault of the service from a second bad target,
    // which raises only the mean.
    if (others_median(target, kind, slowness, second) >= service_fault_rate())
        return service_fault_steps(options_);
    return steps_for(options_, others_rate(target, kind, slowness));
}

void scope_detector::add(evidence_delta const& delta, std::uint32_t observer,
                         time_point now) {
    auto const second = window_of(now);
    auto& tests = targets_[delta.target];
    auto const& counts = delta.counts;
    tally const value{counts.requests(), counts.failures(), counts.slow};
    totals_[delta.kind].add(value, second);
    baseline_slow_rates_[delta.kind].add(value);
    tests.rates[delta.kind].add(value, second);

    auto const seen = now - std::chrono::seconds(delta.age);
    evidence_batch const failures{observer,
                                  counts.ok + counts.slow,
                                  counts.failures(),
                                  counts.refused + counts.reset,
                                  counts.failing_callers,
                                  seen};
    evidence_batch const slowness{observer, counts.ok,           counts.slow,
                                  0,        counts.slow_callers, seen};
    auto const failure_steps = steps(delta.target, delta.kind, false, second);
    auto const slow_steps = steps(delta.target, delta.kind, true, second);
    auto const update = [&](cusum& test, evidence_batch const& batch,
                            likelihood_steps steps) {
        if (now - test.last > idle_limit)
            test.score = 0;
        health::add(test, batch, steps, threshold_, now);
    };
    // One stall delays many requests at once. A score that rises to the
    // threshold too quickly is halved, so that only slowness that lasts longer
    // than `min_slow_span` reaches it again.
    auto const update_slowness = [&](cusum& test) {
        update(test, slowness, slow_steps);
        if (test.score >= threshold_ &&
            now - test.raised_at < options_.min_slow_span)
            test.score = threshold_ / 2;
    };
    update(tests.failures, failures, failure_steps);
    update(tests.failures_by_kind[delta.kind], failures, failure_steps);
    update_slowness(tests.slowness);
    update_slowness(tests.slowness_by_kind[delta.kind]);
}

cusum const& scope_detector::test(std::uint32_t target, test_id id) const {
    return select_test(targets_[target], id);
}

bool scope_detector::looks_bad(std::uint32_t target, test_id id) const {
    return test(target, id).score >= options_.looks_bad_fraction * threshold_;
}

bool scope_detector::looks_bad(std::uint32_t target) const {
    return looks_bad(target, {false, std::nullopt}) ||
           looks_bad(target, {true, std::nullopt});
}

bool scope_detector::is_bad(cusum const& test, std::uint32_t observers) const {
    return test.score >= threshold_ && is_widespread(test, options_, observers);
}

std::optional<test_id>
scope_detector::test_above_threshold(std::uint32_t target,
                                     std::uint32_t observers) const {
    for (auto const slowness : {false, true}) {
        test_id const any{slowness, std::nullopt};
        if (is_bad(test(target, any), observers))
            return any;
        for (std::uint32_t kind = 0; kind < totals_.size(); ++kind) {
            test_id const one{slowness, kind};
            if (is_bad(test(target, one), observers))
                return one;
        }
    }
    return std::nullopt;
}

bool scope_detector::looks_good(std::uint32_t target, time_point now) const {
    tally sum;
    for (auto const& ring : targets_[target].rates)
        sum.add(ring.recent(window_of(now)));
    return sum.requests >= sum.failures + sum.slow + min_recent_requests &&
           !looks_bad(target);
}

bool scope_detector::is_failing(std::uint32_t target) const {
    tally sum;
    for (auto const& ring : targets_[target].rates)
        sum.add(ring.sum());
    return sum.requests >= min_requests &&
           sum.failures >= options_.p1 / 2 * sum.requests;
}

void scope_detector::clear(std::uint32_t target) {
    // If its failures stayed in the totals, they would raise p0 for the other
    // targets and delay the detection of a second bad target.
    for (std::size_t kind = 0; kind < totals_.size(); ++kind)
        totals_[kind].remove(targets_[target].rates[kind]);
    targets_[target] = target_tests(totals_.size());
}

void scope_detector::halve_score(std::uint32_t target, test_id id) {
    select_test(targets_[target], id).score /= 2;
}

} // namespace yuccabeam::health
