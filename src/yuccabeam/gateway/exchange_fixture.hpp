#pragma once

#include "yuccabeam/gateway/exchange.hpp"

#include <asio.hpp>
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

/// The dependencies of exchanges, for tests; counts what they publish.
struct exchange_environment {
    asio::io_context context;
    header_names names{"Id",      "Left-Ms", "Expected",
                       "Not-Run", "Proof",   "Leaving"};
    telemetry::event_log log{{"vm", -1}};
    gateway::counters counters;
    std::mt19937_64 random{1};
    http1::client client{context.get_executor()};
    placement::target_table target_table{{"a"}, 1};
    placement::retry_budget budget{{}, time_point{}};
    int retries_reported = 0;
    int activities_reported = 0; ///< starts and ends of attempts
    bool may_retry = true;
    exchange_dependencies dependencies{
        context.get_executor(),
        client,
        target_table,
        log,
        counters,
        names,
        random,
        [this](auto const&) { return &budget; },
        [this](auto const&, time_point) { return may_retry; },
        [this](auto const&, auto const&, bool retried) {
            retries_reported += retried;
        },
        [this](auto const&) { ++activities_reported; }};
};

} // namespace yuccabeam::gateway
