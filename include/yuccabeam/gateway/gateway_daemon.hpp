#pragma once

#include "yuccabeam/gateway/formats.hpp"
#include "yuccabeam/gateway/settings.hpp"
#include "yuccabeam/values/fault.hpp"

#include <asio/io_context.hpp>
#include <memory>
#include <string>

namespace yuccabeam::gateway {

/// A gateway daemon, which proxies callers' requests to the targets of a
/// deployment with the deployment's formats.
class gateway_daemon {
public:
    gateway_daemon(asio::io_context& context, settings settings,
                   formats formats);
    ~gateway_daemon();
    gateway_daemon(gateway_daemon const&) = delete;
    gateway_daemon& operator=(gateway_daemon const&) = delete;

    /// Binds all addresses and starts. Fails if an address can't be bound.
    result<void> start();

    /// Starts a graceful shutdown: readiness fails, requests in flight finish,
    /// then the event loop stops.
    void shut_down();

    /// Applies reloaded settings. Only those that can change at run time take
    /// effect: the seeds and the grace period.
    /// Logs an exception that left a handler of the event loop.
    void report_error(std::string const& what);
    void reload(settings const& settings);

    struct implementation;

private:
    std::shared_ptr<implementation> self_;
};

} // namespace yuccabeam::gateway
