#pragma once

#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace yuccabeam::gateway {

struct pending_requests_options {
    /// The first configuration usually arrives within some tens of
    /// milliseconds; when all daemons of a large fleet start at once, their
    /// listings share the store's link and take up to 0.65 s.
    duration max_wait = std::chrono::milliseconds(750);
    /// Used instead while the store can't be reached. A refusal that is later
    /// costs a caller more than an immediate one.
    duration max_wait_unreachable = std::chrono::milliseconds(250);
    std::size_t max_requests = 512;
};

struct pending_request {
    http1::incoming_request request;
    http1::responder_ptr caller;
    time_point since{};
    std::string_view held_for{}; ///< counter of the last reason to wait
};

/// Bounded queue of requests that arrived before the daemon's first
/// configuration.
///
/// After a loss of the whole fleet, callers reconnect as soon as the daemons
/// listen; refusing requests at that time would lose them.
class pending_requests {
public:
    explicit pending_requests(pending_requests_options options = {})
        : options_(options) {}

    /// Queues a request, or returns it if the queue is full.
    std::optional<pending_request> add(pending_request request);
    /// Removes and returns all requests in order of arrival.
    std::vector<pending_request> take_all();
    /// Removes and returns the requests that have waited for `max_wait`, or
    /// for `max_wait_unreachable` if the store can't be reached.
    std::vector<pending_request> take_expired(time_point now,
                                              bool store_reachable);

    std::size_t size() const { return waiting_.size(); }

private:
    pending_requests_options options_;
    std::deque<pending_request> waiting_;
};

} // namespace yuccabeam::gateway
