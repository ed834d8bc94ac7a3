#pragma once

#include "yuccabeam/http1/parser.hpp"
#include "yuccabeam/values/time.hpp"

#include <asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace yuccabeam::http1 {

/// One request and the options of its connection.
struct client_request {
    std::string address; ///< `IP:port`
    std::string method = "GET";
    std::string target = "/";
    http_fields fields; ///< without Content-Length
    std::string body;
    std::chrono::milliseconds connect_timeout{300};
    /// Time for the whole exchange.
    std::chrono::milliseconds timeout{5'000};
    /// Takes an idle connection when there is one. A reused connection may
    /// close unseen, so a request that must not be lost opens its own.
    bool reuse = true;
    /// Value that the response must carry in `match_field`, in each field of
    /// that name; any other response belongs to an earlier request and is
    /// skipped. Empty: any response is taken.
    std::string match_field;
    std::string match_value;
};

enum class client_status {
    complete,
    connect_failed, ///< nothing of the request has been sent
    reset,          ///< the connection ended before the response did
    malformed,      ///< the peer sent bytes that are no response
    truncated,      ///< the response's body ended early
    timed_out,
    too_large, ///< a limit of `client_options` on the peer's bytes is reached
    cancelled
};

std::string_view to_string(client_status status);

/// How one exchange ended.
struct client_result {
    client_status status = client_status::complete;
    bool reused = false;        ///< on a connection that had served before
    bool request_begun = false; ///< some of the request may have been sent
    bool response_started = false;     ///< some part of a response arrived
    message_head head;
    std::string body;
    std::uint64_t bytes_read = 0; ///< of all kinds
    duration connect_time{};
    duration total_time{};
};

struct client_options {
    /// Body of a response.
    std::size_t max_response_bytes = 32u << 20;
    /// Status line and fields of a response.
    std::size_t max_head_bytes = 64u << 10;
    /// All that a call reads beside its response's body: heads, interim and
    /// other requests' responses, chunk sizes and extensions, trailers.
    std::size_t max_overhead_bytes = 1u << 20;
    /// Idle connections kept for each address.
    std::size_t max_idle_per_address = 2;
    /// Idle time after which a connection is closed unless the peer names a
    /// shorter one.
    std::chrono::milliseconds idle_timeout{8'000};
    /// The peer's idle limit is cut by this much, as a request may cross its
    /// close.
    std::chrono::milliseconds idle_margin{1'500};
};

class client_call;

/// HTTP/1.1 client on one event loop; used from that loop's thread only.
///
/// A request is written once on one connection and never repeated by the
/// client.
class client {
public:
    using handler = std::function<void(client_result)>;
    using call_ptr = std::shared_ptr<client_call>;

    client(asio::any_io_executor executor, client_options options = {});
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Starts an exchange; the handler runs once, later.
    call_ptr start(client_request request, handler handler);

    /// Closes the exchange's connection; its handler does not run.
    static void cancel(call_ptr const& call);

    /// Closes the idle connections to an address.
    void close_idle_to(std::string const& address);
    void close_idle();

    std::uint64_t connections_opened() const;

    struct pool;

private:
    std::shared_ptr<pool> pool_;
};

} // namespace yuccabeam::http1
