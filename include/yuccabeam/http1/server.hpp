#pragma once

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

/// A whole request as it came from a caller.
struct incoming_request {
    message_head head;
    std::string body;
    time_point first_byte{}; ///< arrival of the request's first byte
};

struct outgoing_response {
    int status = 200;
    http_fields fields; ///< without the fields of the connection
    std::string body;
    /// Ends the connection without any response, so that the caller can't
    /// take it for a statement.
    bool abort = false;
};

/// The way back to the caller of one request.
class responder {
public:
    virtual ~responder() = default;
    /// Sends the response; later calls do nothing.
    virtual void send(outgoing_response response) = 0;
    /// Runs `callback` once when the caller closes before the response is sent.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

using responder_ptr = std::shared_ptr<responder>;

struct server_counters {
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t rejected_by_parser = 0;
    std::uint64_t head_timeouts = 0;
    std::uint64_t callers_gone = 0;
};

/// HTTP/1.1 server on one event loop; used from that loop's thread only.
///
/// A connection serves one request at a time; what a caller sends ahead
/// waits until the response is out. Requests with contradictory framing are
/// refused with 400 and never reach the handler.
class server {
public:
    using handler = std::function<void(incoming_request, responder_ptr)>;
    using limits_source = std::function<caller_limits()>;

    server(asio::any_io_executor executor, limits_source limits,
           handler handler);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Binds `IP:port`; port 0 lets the system choose. Fails with
    /// `unreachable` when the address is taken.
    result<void> listen(std::string const& address);
    std::uint16_t port() const;

    /// From now on each response ends its connection.
    void announce_close();
    /// Takes no new connections.
    void stop_accepting();
    /// Closes connections that wait for a request.
    void close_idle();

    /// Requests without a complete response.
    std::size_t active() const;
    std::size_t connections() const;
    server_counters const& counters() const;

    struct implementation;

private:
    std::shared_ptr<implementation> self_;
};

} // namespace yuccabeam::http1
