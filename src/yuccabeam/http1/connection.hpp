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

    /// Rejects the connection's request at once if it is refused.
    void start(bool refused);

    void close_if_idle();

    void respond(std::uint64_t serial, outgoing_response response);

    void set_disconnect_callback(std::uint64_t serial,
                                 std::function<void()> callback);

private:
    enum class state { reading, responding, lingering, closed };

    bool tracked() const;
    void size_buffers();
    bool hold_memory();
    std::size_t held_bytes() const;
    void allow_eviction(eviction_rank rank);
    void mark_progress(std::size_t bytes);
    void evict();
    void on_body_read(std::size_t size_before);
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
    void send_rejection(int status);
    void begin_response();
    void dispatch();
    void end_request();
    void send(outgoing_response response, bool keep);
    void write();
    void on_written(std::error_code error, std::size_t size);
    void drop_response();
    void on_sent(std::error_code error);
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
    time_point progress_at_{};        ///< last time that a part was complete
    std::size_t progress_bytes_ = 0;  ///< of the present part
    std::size_t head_bytes_held_ = 0; ///< of the request
    std::size_t socket_bytes_ = 0;    ///< see server::implementation
    std::size_t sent_ = 0;            ///< of the response
    bool head_only_ = false;
    bool body_begun_ = false;
    bool keep_ = false; ///< the connection, after the response
    incoming_request request_;
    std::function<void()> on_disconnect_;
    std::string input_;
    std::string out_;
    std::string body_;
    memory_hold body_hold_;
    memory_hold hold_; ///< of all but the bodies
    std::array<char, read_size> buffer_{};
};

} // namespace yuccabeam::http1
