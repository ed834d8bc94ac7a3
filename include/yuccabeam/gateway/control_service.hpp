#pragma once

#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/queries.hpp"
#include "yuccabeam/http1/server.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// Data sources of the control service; all of them must outlive it.
struct control_dependencies {
    /// Updates the gauges.
    std::function<void()> refresh_gauges;
    gateway::counters const& counters;
    std::function<daemon_state()> state;
    /// The store's changes after `revision`, encoded for a peer and compressed
    /// if it accepts that; empty while this daemon has no copy of the store.
    std::function<std::string(std::uint64_t revision, bool compressed)>
        changes_after;
};

/// Serves the control address: the store's changes for peers that have missed
/// some, JSON-RPC queries of operators (by POST) and metrics for the collector.
class control_service {
public:
    explicit control_service(control_dependencies dependencies)
        : dependencies_(std::move(dependencies)) {}

    http1::outgoing_response
    answer(http1::incoming_request const& request) const;

private:
    http1::outgoing_response answer_changes(std::string_view after,
                                            bool compressed) const;

    control_dependencies dependencies_;
};

/// A response with a plain text body.
http1::outgoing_response text_response(int status, std::string body);

} // namespace yuccabeam::gateway
