#pragma once

#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/queries.hpp"
#include "yuccabeam/http1/client.hpp"
#include "yuccabeam/http1/server.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::gateway {

/// A daemon asks for the store's changes after `revision`.
struct changes_request {
    std::uint64_t revision = 0;
    bool accepts_compressed = false;
    std::string receiver; ///< its control address; empty in earlier versions
};

/// The changes, or what a daemon that isn't sent them should do instead.
struct changes_answer {
    /// Encoded changes, compressed if `is_compressed`; empty if this daemon has
    /// no copy of the store or sends as many copies as its link bears.
    std::string body;
    bool is_compressed = false;
    /// Control addresses of daemons that may send them instead.
    std::vector<std::string> referrals{};
};

/// Data sources of the control service; all of them must outlive it.
struct control_dependencies {
    /// Updates the gauges.
    std::function<void()> refresh_gauges;
    gateway::counters const& counters;
    std::function<daemon_state()> state;
    std::function<changes_answer(changes_request const&)> changes;
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
    http1::outgoing_response
    answer_changes(changes_request const& request) const;

    control_dependencies dependencies_;
};

/// Target and fields of a request for changes.
http1::client_request request_of(changes_request const& request);
/// Control addresses in the response of a daemon that sends no changes.
std::vector<std::string> referrals_in(http1::client_result const& response);

/// A response with a plain text body.
http1::outgoing_response text_response(int status, std::string body);

} // namespace yuccabeam::gateway
