#pragma once

#include "yuccabeam/adapters/http_server.hpp"
#include "yuccabeam/adapters/json_rpc.hpp"

#include <string>

namespace yuccabeam::adapters {

/// Serves operators' queries by JSON-RPC 2.0 over HTTP.
class operator_rpc {
public:
    /// @param address  `IP:port`
    operator_rpc(std::string address, json_rpc_dispatcher::handler answer);

    result<void> start() { return server_.start(); }
    void stop() { server_.stop(); }
    std::uint16_t port() const { return server_.port(); }

private:
    json_rpc_dispatcher dispatcher_;
    http_server server_;
};

} // namespace yuccabeam::adapters
