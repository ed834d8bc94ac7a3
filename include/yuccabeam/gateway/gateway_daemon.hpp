#pragma once

#include "yuccabeam/gateway/formats.hpp"
#include "yuccabeam/gateway/settings.hpp"
#include "yuccabeam/values/fault.hpp"

#include <asio/io_context.hpp>
#include <memory>

namespace yuccabeam::gateway {

/// One daemon that serves callers with a deployment's formats.
class gateway_daemon {
public:
    gateway_daemon(asio::io_context& context, settings settings,
                   formats formats);
    ~gateway_daemon();
    gateway_daemon(gateway_daemon const&) = delete;
    gateway_daemon& operator=(gateway_daemon const&) = delete;

    /// Binds all addresses and starts. Fails when one is taken.
    result<void> start();

    /// Graceful shutdown: readiness goes, running requests end, then the
    /// event loop stops.
    void shut_down();

    /// Takes settings that were read again; only what can change while
    /// running is applied.
    void reload(settings const& settings);

    struct implementation;

private:
    std::shared_ptr<implementation> self_;
};

} // namespace yuccabeam::gateway
