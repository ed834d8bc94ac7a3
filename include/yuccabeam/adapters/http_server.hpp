#pragma once

#include "yuccabeam/adapters/http_types.hpp"
#include "yuccabeam/values/fault.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace yuccabeam::adapters {

/// The answer to one request; used by one thread at a time.
///
/// Either `send` once, or `start`, any number of `write` and then `finish` or
/// `abort`. A responder that is dropped without an answer closes the
/// connection.
class http_responder {
public:
    using written_callback = std::function<void(bool written)>;

    virtual ~http_responder() = default;

    /// Sends a whole answer.
    virtual void send(http_reply reply) = 0;

    /// Sends the head. Without a length the body is chunked.
    virtual void start(int status, http_fields const& fields,
                       std::optional<std::uint64_t> content_length) = 0;

    /// Sends a part of the body; `written` runs once the part has left the
    /// process or can't be written any more.
    virtual void write(std::string part, written_callback written) = 0;

    /// Ends a body that is complete.
    virtual void finish() = 0;

    /// Closes the connection so that the caller sees an incomplete answer.
    virtual void abort() = 0;

    /// Runs `closed` once when the caller's connection ends before the
    /// answer does.
    virtual void on_closed(std::function<void()> closed) = 0;
};

using http_responder_ptr = std::shared_ptr<http_responder>;
using http_handler = std::function<void(http_request, http_responder_ptr)>;

struct http_server_options {
    std::string address; ///< `IP:port`
    unsigned threads = 1;
    std::size_t max_body_bytes = 1 << 20;
    std::size_t max_connections = 10'000;
    /// A caller that takes no byte for this long is cut off.
    std::chrono::seconds write_timeout{120};
    std::chrono::seconds idle_timeout{120};
};

/// HTTP/1.1 server on RESTinio with its own threads.
///
/// Malformed requests, two lengths, and a length together with chunked
/// framing end the connection inside the parser; a body above the limit is
/// answered with 413.
class http_server {
public:
    http_server(http_server_options options, http_handler handler);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Binds and starts. Fails with `unreachable` when the address is taken.
    result<void> start();

    /// Bound port; differs from the options' port when that is 0.
    std::uint16_t port() const;

    /// Takes no new connections; running requests go on and their
    /// connections close afterwards.
    void stop_accepting();

    /// Stops all threads.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> self_;
};

/// Handler of whole requests: `reply` may be called later, from any thread.
using reply_function = std::function<void(http_reply)>;
using simple_handler = std::function<void(http_request, reply_function)>;

/// Adapts a handler that never streams.
http_handler whole_replies(simple_handler handler);

} // namespace yuccabeam::adapters
