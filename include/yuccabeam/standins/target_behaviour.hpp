#pragma once

#include "yuccabeam/standins/endless_answer.hpp"
#include "yuccabeam/values/json_reader.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace yuccabeam::standins {

struct target_options {
    unsigned slots = 6;
    unsigned connections = 330;
    std::chrono::microseconds service_time{5000};
    /// A request that finds no free slot waits this long before it is shed.
    std::chrono::milliseconds slot_wait{50};
    /// Waiting requests beyond this many per slot are shed at once.
    unsigned waiting_per_slot = 4;
    std::chrono::milliseconds connection_cost{1};
    std::chrono::milliseconds probe_cost{25};
    /// `GET /load` shows a sample between one and two periods old.
    std::chrono::milliseconds load_period{2000};
    std::size_t request_body_limit = std::size_t{16} << 20U;
};

enum class failure {
    none,
    errors,       ///< runs, then answers 500
    slow,         ///< runs `slow_factor` times as long
    hang,         ///< neither runs nor answers
    reset_before, ///< resets the connection without running
    reset_after,  ///< runs, then closes without an answer
    close_midway, ///< runs, resets the connection after half the body
    short_answer, ///< runs, closes in order before the end of the body
    one_way,      ///< runs and never answers
    endless,      ///< runs, sends `target_control::endless` until the peer
                  ///< closes
    refuse        ///< does not listen
};

/// What `POST /control` sets. Fields that a request leaves out keep their
/// value.
struct target_control {
    failure fail = failure::none;
    double share = 1;
    double slow_factor = 10;
    endless_kind endless = endless_kind::no_http;
    /// Only requests with this `Yuccabeam-Failure-Domain` fail; empty: all.
    std::string only_from_failure_domain;
    bool drain = false;
    bool healthy = true; ///< what `GET /health` says
    std::int64_t cold_ms = 0;
    std::int64_t seed = 1;

    bool operator==(target_control const&) const = default;
};

target_control parse_control(json_reader& reader,
                             target_control const& current);
std::string_view to_string(failure value);

/// Failure of one request; `draw` is uniform in [0, 1).
failure failure_for(target_control const& control,
                    std::string_view from_failure_domain, double draw);

/// Factor on the service time, from 5 at the start of a cold phase down to
/// 1 at its end.
double cold_factor(std::chrono::nanoseconds since_start,
                   std::chrono::milliseconds cold);

/// Counts runs by request id and by idempotency key. The oldest names are
/// forgotten beyond a limit, so that a long run stays bounded in memory.
class execution_log {
public:
    explicit execution_log(std::size_t limit = 200'000) : limit_(limit) {}

    void start(std::string const& id, std::string const& key);
    std::uint64_t by_id(std::string const& id) const { return ids_.of(id); }
    std::uint64_t by_key(std::string const& key) const { return keys_.of(key); }
    /// All names with their counts.
    nlohmann::json list() const;
    /// Totals only.
    nlohmann::json totals() const;

private:
    struct counts {
        std::unordered_map<std::string, std::uint64_t> runs;
        std::deque<std::string> order;
        std::uint64_t repeated = 0; ///< names that ran more than once
        std::uint64_t forgotten = 0;

        void add(std::string const& name, std::size_t limit);
        std::uint64_t of(std::string const& name) const;
    };

    std::size_t limit_;
    counts ids_;
    counts keys_;
    std::uint64_t total_ = 0;
};

/// Counters of one target, for `GET /stats`.
struct target_stats {
    std::uint64_t requests = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0; ///< the client closed before the answer
    std::uint64_t deadline_exceeded = 0;
    std::uint64_t injected = 0;
    std::uint64_t connections = 0;
    std::uint64_t connections_rejected = 0;
    std::uint64_t probes = 0;
    std::uint64_t body_bytes = 0;
    std::uint64_t endless_bytes = 0; ///< sent by `failure::endless`
};

void to_json(nlohmann::json& out, target_control const& value);
void to_json(nlohmann::json& out, target_stats const& value);

} // namespace yuccabeam::standins
