#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam::bench {

/// `http://IP:port/path`; only loopback addresses are accepted, so that a
/// mistyped flag loads no other machine.
struct load_url {
    asio::ip::tcp::endpoint endpoint;
    std::string path;

    bool operator==(load_url const&) const = default;
};

std::optional<load_url> parse_load_url(std::string_view text);

struct load_request {
    load_url url;
    std::string method = "GET";
    std::string headers; ///< complete lines
    std::string token;   ///< sent as `Yuccabeam-Echo`
    std::string body;
    bool keep_alive = true;
    std::chrono::milliseconds timeout{10'000};
    /// Seed of the stand-in's bodies; a body that differs is counted.
    std::uint64_t content_seed = 1;
};

enum class load_end {
    answered,
    connect_failed,
    closed,    ///< before the first byte of an answer
    truncated, ///< after it
    timeout,
    malformed
};

struct load_result {
    load_end end = load_end::answered;
    int status = 0;
    std::string outcome;     ///< `Yuccabeam-Outcome`
    bool foreign = false;    ///< another request's token came back
    bool unproven = false;   ///< a 2xx answer without the token
    bool wrong_body = false; ///< bytes or length differ
    bool reused = false;     ///< sent on a kept connection
    std::uint64_t body_bytes = 0;
};

std::string_view to_string(load_end value);

/// HTTP/1.1 client connection that sends one request after the other.
class load_connection : public std::enable_shared_from_this<load_connection> {
public:
    using done_handler = std::function<void(load_result const&)>;

    explicit load_connection(asio::io_context& context);
    ~load_connection();
    load_connection(load_connection const&) = delete;
    load_connection& operator=(load_connection const&) = delete;

    /// Connects when needed, sends the request and reads the answer. Only one
    /// request may be under way.
    void run(load_request request, done_handler done);
    bool connected() const;

private:
    struct state;

    void connect();
    void send();
    void receive();
    void received(std::string_view bytes);
    void received_end();
    void finish(load_end end);
    load_result judge(load_end end) const;

    std::unique_ptr<state> state_;
};

} // namespace yuccabeam::bench
