#pragma once

#include "yuccabeam/http1/memory_budget.hpp"
#include "yuccabeam/http1/parser.hpp"
#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/time.hpp"
#include "yuccabeam/values/traffic.hpp"

#include <asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace yuccabeam::http1 {

using caller_limits = request_limits;

/// A complete request received from a caller.
struct incoming_request {
    message_head head;
    std::string body;
    time_point first_byte{}; ///< arrival of the request's first byte
    memory_hold hold{};      ///< of the body
};

struct outgoing_response {
    int status = 200;
    http_fields fields; ///< without the fields of the connection
    std::string body;
    /// Closes the connection without sending a response, so that the caller
    /// can't take a status for the request's result.
    bool abort = false;
    memory_hold hold{}; ///< of the body
};

/// Sends the response to one request.
class responder {
public:
    virtual ~responder() = default;
    /// Sends the response. Later calls have no effect.
    virtual void send(outgoing_response response) = 0;
    /// Runs `callback` once when the caller closes before the response is sent.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

using responder_ptr = std::shared_ptr<responder>;

/// Receive buffer of a connection when many are open, in bytes. Smaller ones
/// would take several round trips for an ordinary head.
constexpr std::size_t least_socket_bytes = 8 << 10;
/// Receive buffer of a connection when few are open, and of one that waits to
/// be accepted, in bytes. Unread bytes count as memory of the process.
constexpr std::size_t most_socket_bytes = 128 << 10;

/// Limits of a server whose callers nobody controls.
struct server_options {
    /// Open connections; 0 means that there is no limit. With a limit, the
    /// connections draw from the budget of memory too.
    std::size_t max_connections = 0;
    /// Receive buffers of all connections beyond `least_socket_bytes` each, in
    /// bytes; 0 means that each has the full size.
    std::size_t socket_bytes = 0;
    /// Connections that wait to be accepted, each with a buffer of full size.
    /// While there are as many, the kernel answers no further client, and TCP
    /// tries again a second later.
    int max_waiting = 4'096;
    /// Time without a single byte taken after which a response ends.
    std::chrono::milliseconds stalled_response{30'000};
    /// Time in which 1 KiB of a request's body has to arrive, chunk sizes
    /// included, or its end. The head timeout applies if it is longer.
    std::chrono::milliseconds slow_body{30'000};
};

struct server_counters {
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t rejected_by_parser = 0;
    std::uint64_t head_timeouts = 0;           ///< of heads and bodies
    std::uint64_t rejected_without_memory = 0; ///< bodies of requests
    std::uint64_t responses_evicted = 0; ///< while callers read them slowly
    std::uint64_t callers_gone = 0;
    std::uint64_t connections_refused = 0; ///< without room for them
    std::uint64_t requests_refused = 0;    ///< without room for their heads
    std::uint64_t stalled_responses = 0;
};

/// HTTP/1.1 server. Not thread-safe: use it only from the thread of its event
/// loop.
///
/// A connection serves one request at a time; pipelined requests wait until
/// the response is sent. Requests with contradictory framing are rejected with
/// 400 and not passed to the handler. If the budget of all bodies has no room
/// for a request's body, it is rejected with 503; the caller of the largest
/// response that is being sent may lose its connection. With a limit of
/// connections, idle and stalled ones are closed for new ones; if there are
/// none, the new one gets 503.
class server {
public:
    using handler = std::function<void(incoming_request, responder_ptr)>;
    using limits_source = std::function<caller_limits()>;

    server(asio::any_io_executor executor, limits_source limits,
           handler handler, std::shared_ptr<memory_budget> memory = nullptr,
           server_options options = {});
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Binds `IP:port` and accepts connections; with port 0 the operating
    /// system chooses a free port. Fails with `invalid_input` for a bad IP
    /// address and with `unreachable` if the socket can't listen, for example
    /// because the address is in use.
    result<void> listen(std::string const& address);
    std::uint16_t port() const;

    /// Sends `Connection: close` with each later response and closes its
    /// connection after it.
    void announce_close();
    /// Accepts the connections that have been made already, and no more.
    void stop_accepting();
    /// Closes connections on which no request has begun, not even one that is
    /// still to be read.
    void close_idle();

    /// Number of requests whose response is not completely sent.
    std::size_t active() const;
    std::size_t connections() const;
    server_options const& options() const;
    server_counters const& counters() const;

    struct implementation;

private:
    std::shared_ptr<implementation> self_;
};

} // namespace yuccabeam::http1
