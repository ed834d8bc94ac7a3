#pragma once

#include "yuccabeam/http1/server.hpp"

#include <functional>
#include <optional>
#include <utility>

namespace yuccabeam::gateway {

/// Keeps the response to a caller, for tests.
struct recording_responder : http1::responder {
    std::optional<http1::outgoing_response> sent;
    int sends = 0;
    std::function<void()> gone;

    void send(http1::outgoing_response response) override {
        ++sends;
        sent = std::move(response);
    }
    void on_disconnect(std::function<void()> callback) override {
        gone = std::move(callback);
    }
};

} // namespace yuccabeam::gateway
