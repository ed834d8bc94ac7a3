#pragma once

#include "yuccabeam/http1/memory_budget.hpp"
#include "yuccabeam/http1/parser.hpp"
#include "yuccabeam/values/time.hpp"

#include <asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace yuccabeam::http1 {

/// Limits of a response whose size the peer decides. The time that it takes
/// depends on the link, so they end it when it makes no progress.
struct progress_limits {
    /// Time without a byte of the response.
    std::chrono::milliseconds idle{500};
    /// Of the whole exchange, against a peer that sends byte by byte.
    std::chrono::milliseconds whole{6'000};
};

/// A request and the options of its exchange.
struct client_request {
    std::string address; ///< `IP:port`
    std::string method = "GET";
    std::string target = "/";
    http_fields fields; ///< without Content-Length
    std::string body;
    /// Sent instead of `body`, so that several requests share one.
    std::shared_ptr<std::string const> shared_body;
    std::chrono::milliseconds connect_timeout{300};
    /// Time from the connection's establishment, or from the start on a pooled
    /// connection, to the end of the response.
    std::chrono::milliseconds timeout{5'000};
    /// With these, `timeout` ends at the first byte of the response, and a
    /// response that has begun goes on while they allow it.
    std::optional<progress_limits> progress;
    /// Called for each received part of the response with the bytes read so
    /// far. It must not end the exchange.
    std::function<void(std::uint64_t bytes)> on_progress{};
    /// Uses an idle connection from the pool if there is one. The peer may
    /// close such a connection while the request is sent, so a request that
    /// must not be lost opens a new connection.
    bool reuse = true;
    /// Value that every `match_field` header of the response must have. A
    /// response without the field or with another value belongs to another
    /// request and is skipped. If empty, any response is accepted.
    std::string match_field;
    std::string match_value;
};

enum class client_status {
    complete,
    connect_failed, ///< no byte of the request was sent
    reset,          ///< the connection ended before a response's head did
    malformed,      ///< the peer sent an invalid HTTP response
    truncated,      ///< the connection ended within the response's body
    timed_out,
    too_large, ///< the peer exceeded a size limit of `client_options`, or the
               ///< budget of all bodies has no room for its response
    cancelled
};

std::string_view to_string(client_status status);

/// Outcome of an exchange.
struct client_result {
    client_status status = client_status::complete;
    bool reused = false;           ///< sent on a pooled connection
    bool request_begun = false;    ///< a part of the request may have been sent
    bool response_started = false; ///< at least one byte was received
    message_head head;
    std::string body;
    memory_hold hold;             ///< of the body
    std::uint64_t bytes_read = 0; ///< heads and skipped responses included
    duration connect_time{};
    duration total_time{};
    /// Until the first byte of the response was read.
    duration first_byte_time{};
    /// Time without a byte of the response before the end.
    duration idle_time{};
};

struct client_options {
    /// Limit of a response's body.
    std::size_t max_response_bytes = 32u << 20;
    /// Limit of a response's status line and header fields.
    std::size_t max_head_bytes = 64u << 10;
    /// Limit of all bytes that an exchange reads except its response's body:
    /// heads, interim responses, responses to other requests, chunk sizes and
    /// extensions, trailers.
    std::size_t max_overhead_bytes = 1u << 20;
    /// Budget that the bodies of all responses draw from, if any.
    std::shared_ptr<memory_budget> memory;
    /// Idle connections kept per address.
    std::size_t max_idle_per_address = 2;
    /// Idle time after which a connection is closed, unless the peer announces
    /// a shorter one in `Keep-Alive: timeout=N`.
    std::chrono::milliseconds idle_timeout{8'000};
    /// Subtracted from the peer's announced idle timeout, because a request
    /// that is sent just before that timeout may meet the peer's close.
    std::chrono::milliseconds idle_margin{1'500};
};

class client_call;

/// HTTP/1.1 client with a pool of idle connections. Not thread-safe: use it
/// only from the thread of its event loop.
///
/// A request is written once, on one connection. The client never retries.
class client {
public:
    using handler = std::function<void(client_result)>;
    using call_ptr = std::shared_ptr<client_call>;

    client(asio::any_io_executor executor, client_options options = {});
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Starts an exchange. The handler runs once, never within this call.
    call_ptr start(client_request request, handler handler);

    /// Closes the exchange's connection. Its handler is not called.
    static void cancel(call_ptr const& call);

    /// Closes the idle connections to one address.
    void close_idle_to(std::string const& address);
    void close_idle();

    std::uint64_t connections_opened() const;

    struct pool;

private:
    std::shared_ptr<pool> pool_;
};

} // namespace yuccabeam::http1
