#pragma once

#include "yuccabeam/daemon/settings.hpp"
#include "yuccabeam/values/fault.hpp"

#include <memory>

namespace yuccabeam::daemon {

/// All parts of one daemon process.
class server {
public:
    explicit server(settings settings);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Binds all addresses and starts. Fails when one is taken.
    result<void> start();

    /// Graceful shutdown: readiness goes, then accepting ends, then the
    /// running requests finish. Blocks until then.
    void shut_down();

private:
    struct implementation;
    std::unique_ptr<implementation> self_;
};

} // namespace yuccabeam::daemon
