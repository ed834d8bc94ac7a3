#pragma once

#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <optional>

namespace yuccabeam::gateway {

struct store_availability_options {
    /// Time between two writes of a target that keep its entry listed. The
    /// entry expires after three of them without a write.
    std::chrono::milliseconds target_heartbeat{1'500};
};

/// A period in which the store answered some daemon of the fleet again and
/// again, so that no entry expired because the store was unavailable.
struct available_period {
    time_point since; ///< the first answer known
    time_point until; ///< the last answer known

    bool operator==(available_period const&) const = default;
};

available_ages ages_of(available_period const& period, time_point now);
/// The period of a heartbeat that arrived at `received_at`.
available_period period_of(available_ages const& ages, time_point received_at);

/// The shortest time without an answer after which entries of live targets may
/// have expired.
duration shortest_outage(store_availability_options const& options);

/// Unites two periods if the time between them is shorter than
/// `shortest_outage`; otherwise returns the later one.
available_period merge(available_period const& a, available_period const& b,
                       duration shortest_outage);

/// When the store answered the fleet, as far as this daemon knows from its own
/// calls and the heartbeats of its peers.
///
/// A failed call shows nothing about the store: this daemon alone may be cut
/// off from it. Only a stretch without an answer to any daemon is an outage.
class store_availability {
public:
    explicit store_availability(store_availability_options options = {})
        : shortest_outage_(gateway::shortest_outage(options)) {}

    /// The store answered this daemon.
    void on_answer(time_point now) { on_period({now, now}); }
    /// The store came back from an older copy of itself, as seen at `now`.
    /// Entries that are missing then may be written again by live targets.
    void on_restored(time_point now) { restored_at_ = now; }
    /// The store was available in a period known to this daemon or a peer.
    void on_period(available_period const& period);

    std::optional<available_period> const& period() const { return period_; }
    /// The store's first answer after its last outage, or the first one known;
    /// the time of its last return from a copy if that is later.
    /// Without an answer for `shortest_outage` before `now` an outage has just
    /// ended, for a change of the store that arrives now.
    std::optional<time_point> returned_at(time_point now) const;

private:
    duration shortest_outage_;
    std::optional<available_period> period_;
    std::optional<time_point> restored_at_;
};

} // namespace yuccabeam::gateway
