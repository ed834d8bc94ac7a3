#pragma once

#include "yuccabeam/bench/load_client.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yuccabeam::bench {

/// Value below or at which a share `q` of the sorted values lies; 0 when
/// there are none.
template <class Value>
Value quantile(std::vector<Value> const& sorted, double q) {
    if (sorted.empty())
        return Value{};
    auto const rank = static_cast<std::size_t>(
        q * static_cast<double>(sorted.size()) + 0.999999);
    return sorted[std::min(std::max<std::size_t>(rank, 1), sorted.size()) - 1];
}

/// Counts and latencies of a load run.
class load_report {
public:
    void add(load_result const& result, std::chrono::nanoseconds latency);
    void count_retry() { ++retries_; }
    void count_dropped() { ++dropped_; }
    void merge(load_report const& other);
    std::uint64_t answers() const { return latency_us_.size(); }
    /// Exit status of the program: an answer to another request or wrong
    /// bytes are faults whatever the load.
    bool correct() const { return foreign_ == 0 && wrong_body_ == 0; }
    nlohmann::json summary(double seconds) const;

private:
    std::vector<std::uint32_t> latency_us_; ///< of complete answers
    std::map<std::string, std::uint64_t> status_;
    std::map<std::string, std::uint64_t> outcomes_;
    std::map<std::string, std::uint64_t> errors_;
    std::uint64_t requests_ = 0;
    std::uint64_t successes_ = 0;
    std::uint64_t foreign_ = 0;
    std::uint64_t unproven_ = 0;
    std::uint64_t wrong_body_ = 0;
    std::uint64_t body_bytes_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace yuccabeam::bench
