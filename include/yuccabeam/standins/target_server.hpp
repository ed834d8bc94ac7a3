#pragma once

#include "yuccabeam/standins/target_behaviour.hpp"

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccabeam::standins {

class target_server;

struct text_answer {
    int status = 200;
    std::string body;
};

/// Targets of one process by port. Each one lives on one `io_context` that
/// one thread runs; a control request for another port is posted to the
/// other target's context.
class target_directory {
public:
    void add(std::shared_ptr<target_server> target);
    std::shared_ptr<target_server> find(std::uint16_t port) const;
    std::size_t size() const { return targets_.size(); }

private:
    std::vector<std::shared_ptr<target_server>> targets_;
};

/// One stand-in target: an HTTP/1.1 server on one port.
///
/// Port 0 takes a free port. Constructor and `listen` report errors of the
/// operating system as `std::system_error`.
class target_server : public std::enable_shared_from_this<target_server> {
public:
    target_server(asio::io_context& context, target_directory const& directory,
                  std::string const& address, std::uint16_t port,
                  target_options const& options);
    ~target_server();
    target_server(target_server const&) = delete;
    target_server& operator=(target_server const&) = delete;

    std::uint16_t port() const;
    /// Starts to accept connections.
    void start();
    /// Applies the JSON object of a control request. Call on the target's
    /// context.
    text_answer apply(nlohmann::json const& document);
    asio::io_context& context();
    /// Closes listener and connections.
    void stop();

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace yuccabeam::standins
