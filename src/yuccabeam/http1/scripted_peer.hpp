#pragma once

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace yuccabeam::http1 {

/// Server on loopback that answers each complete request with the next
/// scripted reply. For tests; runs on the test's event loop.
class scripted_peer {
public:
    /// Bytes after which the connection of an endless reply is closed, so that
    /// the test of a client without a read limit ends.
    static constexpr std::size_t max_repeated_bytes = 64u << 20;

    struct reply {
        std::string bytes;
        bool close = false; ///< orderly close after the bytes
        bool reset = false; ///< reset after the bytes
        /// Sent after the bytes until the client closes.
        std::string repeated{};
        /// Sent before the bytes if the connection has served a request.
        std::string prefix_if_reused{};
        /// Sent after the bytes in pieces, with this pause before each.
        std::string slow{};
        std::chrono::milliseconds pause{};
        std::size_t piece_bytes = 1;
    };

    scripted_peer(asio::io_context& context, std::vector<reply> replies)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
          replies_(std::move(replies)) {
        accept();
    }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// Blocks until a connection can be accepted, so that its events are ready
    /// before the loop runs.
    void await_connection() { acceptor_.wait(tcp::acceptor::wait_read); }
    /// Writes unsolicited bytes to the newest connection.
    void send(std::string const& bytes) {
        if (auto const session = newest_.lock()) {
            std::error_code ignored;
            asio::write(session->socket, asio::buffer(bytes), ignored);
        }
    }
    std::size_t connections() const { return connections_; }
    std::vector<std::string> const& requests() const { return requests_; }
    /// Bytes of endless replies written to sockets.
    std::size_t repeated_bytes() const { return repeated_bytes_; }
    /// Connections on which an endless reply is being sent.
    std::size_t endless_connections() const { return endless_connections_; }

private:
    using tcp = asio::ip::tcp;

    struct session : std::enable_shared_from_this<session> {
        tcp::socket socket;
        scripted_peer& peer;
        std::array<char, 4096> buffer{};
        std::string input;
        std::size_t served = 0;
        asio::steady_timer timer;

        session(tcp::socket socket, scripted_peer& peer)
            : socket(std::move(socket)), peer(peer),
              timer(this->socket.get_executor()) {}

        void read() {
            socket.async_read_some(
                asio::buffer(buffer),
                [self = shared_from_this()](std::error_code error,
                                            std::size_t size) {
                    if (error)
                        return;
                    self->input.append(self->buffer.data(), size);
                    self->answer();
                    if (self->socket.is_open())
                        self->read();
                });
        }

        // The tests frame request bodies only by Content-Length.
        bool request_complete() const {
            auto const head = input.find("\r\n\r\n");
            if (head == std::string::npos)
                return false;
            auto const length = input.find("Content-Length: ");
            std::size_t const body =
                length < head ? std::stoul(input.substr(length + 16)) : 0;
            return input.size() >= head + 4 + body;
        }

        void answer() {
            if (!request_complete())
                return;
            peer.requests_.push_back(std::move(input));
            input.clear();
            auto const at = peer.requests_.size() - 1;
            if (at >= peer.replies_.size())
                return;
            auto const& reply = peer.replies_[at];
            std::error_code ignored;
            auto const prefix =
                served++ > 0 ? reply.prefix_if_reused : std::string();
            asio::write(socket, asio::buffer(prefix + reply.bytes), ignored);
            if (!reply.repeated.empty()) {
                ++peer.endless_connections_;
                repeat(reply.repeated);
                return;
            }
            if (!reply.slow.empty()) {
                send_slowly(reply, 0);
                return;
            }
            if (reply.reset)
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            if (reply.close || reply.reset)
                socket.close(ignored);
        }

        void send_slowly(reply const& reply, std::size_t from) {
            if (from == reply.slow.size())
                return;
            timer.expires_after(reply.pause);
            timer.async_wait([self = shared_from_this(), &reply,
                              from](std::error_code error) {
                if (error)
                    return;
                auto const size =
                    std::min(reply.piece_bytes, reply.slow.size() - from);
                asio::async_write(self->socket,
                                  asio::buffer(reply.slow.data() + from, size),
                                  [self, &reply, from](std::error_code error,
                                                       std::size_t size) {
                                      if (!error)
                                          self->send_slowly(reply, from + size);
                                  });
            });
        }

        void repeat(std::string const& bytes) {
            asio::async_write(socket, asio::buffer(bytes),
                              [self = shared_from_this(), &bytes](
                                  std::error_code error, std::size_t size) {
                                  self->repeated(bytes, error, size);
                              });
        }

        void repeated(std::string const& bytes, std::error_code error,
                      std::size_t size) {
            peer.repeated_bytes_ += size;
            if (!error && peer.repeated_bytes_ < max_repeated_bytes) {
                repeat(bytes);
                return;
            }
            --peer.endless_connections_;
            std::error_code ignored;
            socket.close(ignored);
        }
    };

    void accept() {
        acceptor_.async_accept(
            [this](std::error_code error, tcp::socket socket) {
                if (error)
                    return;
                ++connections_;
                auto const accepted =
                    std::make_shared<session>(std::move(socket), *this);
                newest_ = accepted;
                accepted->read();
                accept();
            });
    }

    tcp::acceptor acceptor_;
    std::vector<reply> replies_;
    std::size_t connections_ = 0;
    std::weak_ptr<session> newest_;
    std::vector<std::string> requests_;
    std::size_t repeated_bytes_ = 0;
    std::size_t endless_connections_ = 0;
};

/// Runs the loop until `done` returns true. Returns false if the loop runs out
/// of work before.
template <class Done>
bool run_until(asio::io_context& context, Done done) {
    context.restart();
    while (!done())
        if (context.run_one() == 0)
            return done();
    return true;
}

} // namespace yuccabeam::http1
