#include "yuccabeam/bench/load_report.hpp"

#include <algorithm>

namespace yuccabeam::bench {

void load_report::add(load_result const& result,
                      std::chrono::nanoseconds latency) {
    ++requests_;
    body_bytes_ += result.body_bytes;
    foreign_ += result.foreign ? 1 : 0;
    unproven_ += result.unproven ? 1 : 0;
    wrong_body_ += result.wrong_body ? 1 : 0;
    if (result.end != load_end::answered) {
        ++errors_[std::string(to_string(result.end))];
        return;
    }
    successes_ += result.status / 100 == 2 ? 1 : 0;
    ++status_[std::to_string(result.status)];
    if (!result.outcome.empty())
        ++outcomes_[result.outcome];
    latency_us_.push_back(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(latency)
            .count()));
}

void load_report::merge(load_report const& other) {
    latency_us_.insert(latency_us_.end(), other.latency_us_.begin(),
                       other.latency_us_.end());
    for (auto const& [name, count] : other.status_)
        status_[name] += count;
    for (auto const& [name, count] : other.outcomes_)
        outcomes_[name] += count;
    for (auto const& [name, count] : other.errors_)
        errors_[name] += count;
    requests_ += other.requests_;
    successes_ += other.successes_;
    foreign_ += other.foreign_;
    unproven_ += other.unproven_;
    wrong_body_ += other.wrong_body_;
    body_bytes_ += other.body_bytes_;
    retries_ += other.retries_;
    dropped_ += other.dropped_;
}

nlohmann::json load_report::summary(double seconds) const {
    auto sorted = latency_us_;
    std::sort(sorted.begin(), sorted.end());
    auto const ms = [&](double q) { return quantile(sorted, q) / 1000.0; };
    return {{"requests", requests_},
            {"seconds", seconds},
            {"rate", static_cast<double>(requests_) / seconds},
            {"successes", successes_},
            {"p50_ms", ms(0.5)},
            {"p99_ms", ms(0.99)},
            {"p999_ms", ms(0.999)},
            {"max_ms", ms(1)},
            {"status", status_},
            {"outcomes", outcomes_},
            {"errors", errors_},
            {"foreign_answers", foreign_},
            {"answers_without_token", unproven_},
            {"wrong_bodies", wrong_body_},
            {"body_bytes", body_bytes_},
            {"stale_retries", retries_},
            {"dropped", dropped_}};
}

} // namespace yuccabeam::bench
