#pragma once

#include "yuccabeam/adapters/answer_limits.hpp"
#include "yuccabeam/adapters/http_types.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::adapters {

/// One request to one target.
struct target_call {
    std::string address; ///< `IP:port`
    std::string method;
    std::string request_target; ///< path and query, sent as they are
    http_fields fields;
    std::string body;
    std::chrono::milliseconds connect_timeout{1'000};
    /// Time until the head of the answer. The body has only `stall_timeout`,
    /// since a large download may take long for a good reason.
    std::chrono::milliseconds head_timeout{10'000};
    std::chrono::seconds stall_timeout{30};
    /// Opens a connection for this call alone. libcurl repeats a request by
    /// itself when a reused connection closes before the answer, so requests
    /// that are not idempotent must set it.
    bool fresh_connection = false;
    /// An answer that has `match_field` with another value than this belongs
    /// to another request, and the call ends as malformed. Answers without
    /// the field are taken.
    std::string match_field;
    std::string match_value;
    answer_limits limits;
};

enum class body_framing { none, length, chunked, until_close };

struct answer_head {
    int status = 0;
    http_fields fields;
    body_framing framing = body_framing::none;
    std::optional<std::uint64_t> content_length;
};

enum class call_status {
    complete,
    refused, ///< no connection; nothing was sent
    reset,   ///< connection ended before the head of the answer
    timed_out,
    truncated, ///< connection ended or stalled inside the body
    malformed, ///< the target sent bytes that are no answer to the call
    too_large, ///< one of the call's `answer_limits` was reached
    cancelled
};

struct call_end {
    call_status status = call_status::complete;
    /// False when provably no byte of the request left this process.
    bool request_sent = true;
    duration until_head{}; ///< zero when no head arrived
    duration total{};
};

/// Receives the events of one call, one at a time, in a client thread.
class call_observer {
public:
    virtual ~call_observer() = default;
    virtual void on_head(answer_head head) = 0;
    /// Returns false to get the same part again after `resume`.
    virtual bool on_data(std::string_view part) = 0;
    virtual void on_end(call_end end) = 0;
};

using call_id = std::uint64_t;

struct target_client_options {
    unsigned threads = 1;
    long connections_per_target = 32;
    long idle_connections = 1024; ///< in each thread
};

/// Calls targets with libcurl, many at a time, in its own threads.
class target_client {
public:
    explicit target_client(target_client_options options = {});
    ~target_client();
    target_client(target_client const&) = delete;
    target_client& operator=(target_client const&) = delete;

    /// Queues a call. `observer` is kept until after `on_end`.
    call_id start(target_call call, std::shared_ptr<call_observer> observer);

    /// Continues a call whose observer refused data.
    void resume(call_id id);

    /// Closes the call's connection; `on_end` reports `cancelled` unless the
    /// call has ended before.
    void cancel(call_id id);

private:
    class worker;
    std::vector<std::unique_ptr<worker>> workers_;
};

} // namespace yuccabeam::adapters
