#pragma once

#include "yuccabeam/health/options.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <map>

namespace yuccabeam::health {

/// Supporter's side: a lease that commits this daemon to one arbiter at a time.
class support_lease {
public:
    support_lease(duration lease, time_point start)
        : lease_(lease), expires_at_(start + lease) {}

    /// Commits to `arbiter` for one lease from now, unless a commitment to
    /// another arbiter is still in force. Returns whether a report sent now may
    /// declare support. An earlier incarnation of this daemon may have
    /// committed too, so no support is given during the first lease after the
    /// start.
    bool try_commit(daemon_id const& arbiter, time_point now);

    /// End of the last commitment; before the first one, end of the initial
    /// lease without support.
    time_point expires_at() const { return expires_at_; }

private:
    duration lease_;
    daemon_id arbiter_;
    time_point expires_at_;
};

/// Arbiter's side: counts the supporters whose commitments are in force.
///
/// A report may be delayed indefinitely, so its time of receipt gives no bound
/// for the end of the commitment. Each report echoes a table of this arbiter
/// and was sent after it, so the commitment lasts for at least one lease from
/// the time of that table.
///
/// A supporter counts only after `grant_validity + margin` of continuous
/// commitment: by then, grants that its previous arbiter issued with its
/// support have expired.
class supporter_tracker {
public:
    explicit supporter_tracker(grant_options const& options)
        : options_(options) {}

    /// Records the commitment in a report that echoes a table computed at
    /// `table_time`.
    void record(daemon_id const& supporter, incarnation supporter_incarnation,
                time_point table_time, time_point now);

    /// Supporters that currently count towards the permitted share.
    std::uint32_t effective_count(time_point now) const;
    /// Supporters with a commitment in force, whether they count yet or not.
    std::uint32_t committed_count(time_point now) const;

private:
    struct entry {
        yuccabeam::incarnation incarnation = 0;
        time_point commitment_start;
        time_point commitment_end;
    };

    grant_options options_;
    std::map<daemon_id, entry> entries_;
};

} // namespace yuccabeam::health
