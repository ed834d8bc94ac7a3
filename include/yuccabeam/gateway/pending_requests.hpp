#pragma once

#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace yuccabeam::gateway {

struct pending_requests_options {
    /// Longest wait: the first configuration usually takes some tens of
    /// milliseconds, and a refusal that comes later than this costs a caller
    /// more than one at once.
    duration max_wait = std::chrono::milliseconds(250);
    std::size_t max_requests = 512;
};

struct pending_request {
    http1::incoming_request request;
    http1::responder_ptr caller;
    time_point since{};
};

/// Requests that came before the daemon's first configuration.
///
/// After a loss of the whole fleet, callers reconnect in the moment in which
/// the daemons start to listen; refusing those would lose them.
class pending_requests {
public:
    explicit pending_requests(pending_requests_options options = {})
        : options_(options) {}

    /// Takes a request in, or returns it when the room is full.
    std::optional<pending_request> add(pending_request request);
    /// Takes all requests out, in the order of their arrival.
    std::vector<pending_request> take_all();
    /// Takes out those that have waited too long.
    std::vector<pending_request> take_expired(time_point now);

    std::size_t size() const { return waiting_.size(); }

private:
    pending_requests_options options_;
    std::deque<pending_request> waiting_;
};

} // namespace yuccabeam::gateway
