#pragma once

#include "yuccabeam/health/options.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <map>

namespace yuccabeam::health {

/// Supporter's side: binds itself to one arbiter at a time.
class support_lease {
public:
    support_lease(duration lease, time_point start)
        : lease_(lease), expires_at_(start + lease) {}

    /// Whether a report sent now to `arbiter` may promise support. A promise
    /// lasts one lease from now. An earlier incarnation of this daemon may
    /// have promised too, so the first lease after the start gives none.
    bool try_commit(daemon_id const& arbiter, time_point now);

    /// End of the last promise.
    time_point expires_at() const { return expires_at_; }

private:
    duration lease_;
    daemon_id arbiter_;
    time_point expires_at_;
};

/// Arbiter's side: counts the supporters whose promises hold.
///
/// A report may be delayed without bound, so its time of receipt proves
/// nothing about the end of the promise. Each report echoes a table of this
/// arbiter and was sent after it, so the promise holds for at least one
/// lease from the time of that table.
///
/// A supporter counts only after `grant_validity + margin` of unbroken
/// promises: grants that its previous arbiter issued on its support have
/// then expired.
class supporter_tracker {
public:
    explicit supporter_tracker(grant_options const& options)
        : options_(options) {}

    /// Notes a promise by a report that echoes a table computed at
    /// `table_time`.
    void record(daemon_id const& supporter, incarnation supporter_incarnation,
                time_point table_time, time_point now);

    /// Supporters that count now.
    std::uint32_t effective_count(time_point now) const;
    /// Supporters with a promise, whether they count yet or not.
    std::uint32_t committed_count(time_point now) const;

private:
    struct entry {
        yuccabeam::incarnation incarnation = 0;
        time_point first;
        time_point until;
    };

    grant_options options_;
    std::map<daemon_id, entry> entries_;
};

} // namespace yuccabeam::health
