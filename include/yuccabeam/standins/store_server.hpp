#pragma once

#include "yuccabeam/values/fault.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace yuccabeam::standins {

struct store_server_options {
    std::string address; ///< `IP:port`
};

/// Stand-in for the platform's key-value service and VM list over HTTP.
///
/// - `GET /v1/kv/KEY`: value, with its version in the field `Version`
/// - `PUT /v1/kv/KEY`, `DELETE /v1/kv/KEY` with the field `If-Version` (0:
///   absent) and, for a write, `Lease-Ms`
/// - `GET /v1/watch/KEY?after=VERSION&wait_ms=N`: waits for a newer version
/// - `GET /v1/vms`, `PUT /v1/vms`: the VM list, shown with a lag
/// - `GET /v1/stats`: calls by kind; a waiting watch is one call
/// - `POST /v1/control`: `{"mode": "up" | "down" | "slow", "slow_ms": N,
///   "drop_replies": N, "vm_lag_ms": N}`
///
/// While it is down it closes connections without an answer. Control and
/// statistics always work.
class store_server {
public:
    explicit store_server(store_server_options options);
    ~store_server();
    store_server(store_server const&) = delete;
    store_server& operator=(store_server const&) = delete;

    result<void> start();
    /// Bound port; differs from the options' port when that is 0.
    std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self_;
};

} // namespace yuccabeam::standins
