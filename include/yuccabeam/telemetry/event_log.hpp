#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccabeam::telemetry {

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

struct event_log_options {
    std::string vm; ///< name of this VM, written on each line
    int descriptor = 1;
    /// Rate limit of each event: burst in lines, then lines per second.
    double burst = 200;
    double per_second = 40;
};

struct event_log_counters {
    std::uint64_t written = 0;
    std::uint64_t over_rate = 0; ///< lines dropped by an event's rate limit
    std::uint64_t blocked = 0;   ///< lines dropped because the reader is slow
};

/// Writes `time=... vm=... event=... key=value ...` lines.
///
/// Never blocks: a line that the descriptor doesn't accept is dropped and
/// counted. Each event has its own rate limit, so that a frequent event doesn't
/// suppress others. The first line after lines dropped by the rate limit
/// has their number as `omitted`.
class event_log {
public:
    explicit event_log(event_log_options options);

    void write(std::string_view event, log_fields const& fields);
    event_log_counters const& counters() const { return counters_; }

private:
    struct bucket {
        double tokens = 0;
        time_point filled{};
        std::uint64_t omitted = 0;
    };

    bool take(bucket& bucket, time_point now) const;
    bool flush();
    void emit(std::string line);

    event_log_options options_;
    event_log_counters counters_;
    std::map<std::string, bucket, std::less<>> buckets_;
    std::string partial_; ///< unwritten rest of a partially written line
};

} // namespace yuccabeam::telemetry
