#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace yuccabeam::placement {

struct repeat_budget_options {
    /// Repeats allowed for each request to the service.
    double ratio = 0.2;
    /// Repeats allowed on top, over the whole fleet and one window.
    double fleet_slack = 50;
    duration window = std::chrono::seconds(10);
    /// Part of the allowance that the fleet uses; the rest covers what peers
    /// have repeated and not yet told.
    double used_share = 0.85;
    /// Repeats that a daemon may make in one window beyond its own requests'
    /// share while its peers' counts are known.
    double own_burst = 6;
    /// Growth of the fleet's repeats, as a part of the allowance, that is
    /// noted in the store for daemons that start after a loss of the fleet.
    double note_share = 0.08;
    /// Least time between two notes.
    duration note_pause = std::chrono::seconds(1);
};

/// Requests and repeats of one service in the last window.
struct repeat_counts {
    double requests = 0;
    double repeats = 0;

    bool operator==(repeat_counts const&) const = default;
};

/// Limits how often requests of one service arrive at a second target.
///
/// All daemons draw on one allowance: a share of the service's requests and
/// a constant. Each daemon tells its counts with its heartbeat; a repeat is
/// allowed while the sum of the known repeats stays below a part of the
/// allowance. A daemon that hears too few peers falls back to its own share,
/// so that a fleet in pieces stays within the allowance together. Counts are
/// noted where a restart of the whole fleet can't lose them.
class repeat_budget {
public:
    explicit repeat_budget(repeat_budget_options options = {});

    void on_request(time_point now);
    /// True when one more repeat is allowed.
    bool allows(time_point now, std::size_t fleet_size,
                std::size_t peers_heard) const;
    void on_repeat(time_point now);

    /// Counts that another daemon told of its last window.
    void on_peer(daemon_id const& peer, repeat_counts counts, time_point now);
    /// One repeat of another daemon, told at once.
    void on_peer_repeat(time_point now);

    /// Counts of the last window that a fleet has noted before it was lost.
    void on_history(repeat_counts counts, time_point now);
    /// The fleet's counts when they are due to be noted again.
    std::optional<repeat_counts> take_note(time_point now);

    repeat_counts own(time_point now) const;
    /// Requests of the fleet in the last window, as far as peers told.
    double fleet_requests(time_point now) const;
    duration window() const { return options_.window; }

private:
    struct peer_counts {
        repeat_counts counts;
        time_point heard;
    };

    double fleet_repeats(time_point now) const;
    double allowance(time_point now) const;
    bool has_history(time_point now) const;

    repeat_budget_options options_;
    std::deque<time_point> requests_;
    std::deque<time_point> repeats_;
    std::deque<time_point> peer_repeats_;
    std::map<daemon_id, peer_counts> peers_;
    peer_counts history_;
    double noted_repeats_ = 0;
    time_point noted_at_{};
};

} // namespace yuccabeam::placement
