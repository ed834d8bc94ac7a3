#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <optional>

namespace yuccabeam::gateway {

struct serving_gate_options {
    /// A process whose event loop did not run for this long was paused.
    duration pause = std::chrono::milliseconds(1'500);
    /// Requests are held for at most this long, as the store may be away: the
    /// time of a check on a new connection and of one that is lost.
    duration longest_hold = std::chrono::milliseconds(400);
    /// Datagrams that are read for this long after a pause may have arrived
    /// during it.
    duration backlog = std::chrono::milliseconds(200);
};

/// Holds requests while this daemon's copy of the store may be outdated without
/// its knowledge: after a pause of its process, and after a start from a stale
/// listing or the copy of one peer. A target that has left meanwhile, or a
/// route that was removed, would still be used.
class serving_gate {
public:
    explicit serving_gate(serving_gate_options options = {})
        : options_(options) {}

    /// The event loop runs. Closes the gate after a pause.
    void on_running(time_point now);
    /// The first copy is a stale listing or that of one peer.
    void on_unconfirmed_copy(time_point now) { closed_at_ = now; }

    /// True if the copy was confirmed since the gate was closed, or the longest
    /// hold is over. `confirmed_at` is the last confirmation by the store or by
    /// a peer with newer information from it.
    bool open(time_point now, time_point confirmed_at) const;

    /// True if a datagram that is read now may be older than it seems.
    bool reads_backlog(time_point now) const {
        return resumed_at_ && now - *resumed_at_ < options_.backlog;
    }

private:
    serving_gate_options options_;
    std::optional<time_point> running_at_;
    std::optional<time_point> resumed_at_; ///< after the last pause
    std::optional<time_point> closed_at_;
};

} // namespace yuccabeam::gateway
