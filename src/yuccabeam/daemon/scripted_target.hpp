#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace yuccabeam::daemon {

/// Target for tests: one thread per connection runs a script for each
/// request head it reads.
class scripted_target {
public:
    using tcp = asio::ip::tcp;
    /// Gets the socket and the request (head and body); returns false to
    /// close the connection.
    using script = std::function<bool(tcp::socket&, std::string const&)>;

    explicit scripted_target(script run)
        : run_(std::move(run)),
          acceptor_(context_,
                    tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
        accepting_ = std::thread([this] { accept_all(); });
    }

    ~scripted_target() {
        // Wakes the blocking accept() with one last connection.
        stopping_ = true;
        tcp::socket last(context_);
        asio::error_code ignored;
        last.connect(acceptor_.local_endpoint(), ignored);
        accepting_.join();
        std::lock_guard lock(mutex_);
        for (auto& socket : sockets_)
            socket->shutdown(tcp::socket::shutdown_both, ignored);
        for (auto& thread : threads_)
            thread.join();
    }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    int requests() const { return requests_; }

private:
    void accept_all() {
        while (!stopping_) {
            auto socket = std::make_shared<tcp::socket>(context_);
            acceptor_.accept(*socket);
            std::lock_guard lock(mutex_);
            sockets_.push_back(socket);
            threads_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(tcp::socket& socket) {
        asio::error_code error;
        std::string input;
        while (!stopping_) {
            auto const head = asio::read_until(
                socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
            if (error)
                break;
            auto const length = body_length(input.substr(0, head));
            while (input.size() < head + length && !error) {
                char buffer[4096];
                auto const got = socket.read_some(asio::buffer(buffer), error);
                input.append(buffer, got);
            }
            ++requests_;
            auto const request = input.substr(0, head + length);
            input.erase(0, head + length);
            if (!run_(socket, request))
                break;
        }
        // Closed with the fixture: its destructor may shut it down meanwhile.
        socket.shutdown(tcp::socket::shutdown_both, error);
    }

    static std::size_t body_length(std::string const& head) {
        auto const at = head.find("Content-Length: ");
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
    }

    script run_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> requests_{0};
    std::mutex mutex_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

/// Sends text and ignores errors, as a failing target would.
inline void send_text(scripted_target::tcp::socket& socket,
                      std::string const& text) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
}

} // namespace yuccabeam::daemon
