#pragma once

#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/queries.hpp"
#include "yuccabeam/http1/server.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// What the control address shows; everything outlives the service.
struct control_dependencies {
    /// Brings the gauges up to date.
    std::function<void()> refresh_gauges;
    gateway::counters const& counters;
    std::function<daemon_state()> state;
    /// Changes after a revision of the store, encoded for another daemon;
    /// empty while nothing is known.
    std::function<std::string(std::uint64_t revision)> changes_after;
};

/// Answers on the control address: other daemons that miss changes, operators
/// (JSON-RPC by POST) and the collector of metrics.
class control_service {
public:
    explicit control_service(control_dependencies dependencies)
        : dependencies_(std::move(dependencies)) {}

    http1::outgoing_response
    answer(http1::incoming_request const& request) const;

private:
    http1::outgoing_response answer_changes(std::string_view after) const;

    control_dependencies dependencies_;
};

/// A response with a plain text body.
http1::outgoing_response text_response(int status, std::string body);

} // namespace yuccabeam::gateway
