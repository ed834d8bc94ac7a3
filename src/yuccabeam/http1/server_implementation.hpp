#pragma once

#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/net/one_shot_timer.hpp"

#include <asio.hpp>
#include <unordered_set>

namespace yuccabeam::http1 {

using asio::ip::tcp;

class connection;
using connection_ptr = std::shared_ptr<connection>;

struct server::implementation
    : std::enable_shared_from_this<server::implementation> {
    asio::any_io_executor executor;
    server::limits_source limits;
    server::handler handler;
    std::shared_ptr<memory_budget> memory;
    server_options options;
    tcp::acceptor acceptor;
    net::one_shot_timer accept_timer;
    std::unordered_set<connection_ptr> open;
    std::size_t active = 0;
    bool closing = false;
    server_counters counters;
    std::size_t socket_bytes = 0; ///< kernel buffers beyond the least size

    implementation(asio::any_io_executor executor, limits_source limits,
                   server::handler handler,
                   std::shared_ptr<memory_budget> memory,
                   server_options options)
        : executor(executor), limits(std::move(limits)),
          handler(std::move(handler)), memory(std::move(memory)),
          options(options), acceptor(executor), accept_timer(executor) {}

    void accept();
    void retry_accept();
    void accept_waiting();
    void add(tcp::socket socket);
};

} // namespace yuccabeam::http1
