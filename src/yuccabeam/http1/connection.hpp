#pragma once

#include "server_implementation.hpp"
#include "yuccabeam/http1/parser.hpp"
#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/net/one_shot_timer.hpp"

#include <array>
#include <asio.hpp>

namespace yuccabeam::http1 {

constexpr std::size_t read_size = 8 << 10;

/// A connection of a caller, from its acceptance to its close.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<server::implementation> server,
               tcp::socket socket);

    void start();

    void close_if_idle();

    void respond(std::uint64_t serial, outgoing_response response);

    void set_disconnect_callback(std::uint64_t serial,
                                 std::function<void()> callback);

private:
    enum class state { reading, responding, lingering, closed };

    void arm(std::chrono::milliseconds after);
    void on_timeout();
    void read();
    void on_read(std::error_code error, std::size_t size);
    void on_caller_disconnected();
    void process();
    bool on_head(message_head& head);
    void hold_request_body();
    void drop_request_body();
    void on_body(std::string_view part);
    void send_continue();
    void reject(int status);
    void begin_response();
    void dispatch();
    void end_request();
    void send(outgoing_response response, bool keep);
    void drop_response();
    void on_sent(std::error_code error, bool keep);
    void next_request();
    void linger_close();
    void close();

    std::shared_ptr<server::implementation> server_;
    tcp::socket socket_;
    net::one_shot_timer timer_;
    parser parser_;
    state state_ = state::reading;
    bool reading_ = false;
    bool sending_ = false;
    bool request_keep_alive_ = true;
    int rejection_status_ = 0;
    std::uint64_t serial_ = 0;
    time_point first_byte_{};
    incoming_request request_;
    std::function<void()> on_disconnect_;
    std::string input_;
    std::string out_;
    std::string body_;
    memory_hold body_hold_;
    std::array<char, read_size> buffer_{};
};

} // namespace yuccabeam::http1
