#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace yuccabeam::gateway {

/// Upper bound of `store_schedule_options::check_delay`.
constexpr std::chrono::milliseconds max_check_delay{200};

struct store_schedule_options {
    /// The store may answer the first listing from an older state.
    bool stale_first_listing = true;
    /// Time to the first byte of a listing.
    std::chrono::milliseconds list_timeout{1'500};
    /// Time for which the store holds a watch open when nothing changes. Each
    /// response confirms the copies of the daemons that receive the watcher's
    /// heartbeat, so this is well below `max_copy_age`.
    std::chrono::milliseconds watch_wait{600};
    /// Added to `watch_wait` for the time to the first byte of a watch.
    std::chrono::milliseconds watch_timeout_margin{450};
    /// A daemon whose copy was not confirmed for this long checks it with the
    /// store directly.
    std::chrono::milliseconds max_copy_age{900};
    /// Added to `max_copy_age`, from 0 to `max_check_delay` and different for
    /// each daemon: the first daemon's check then confirms the others' copies
    /// before they call the store. It is also added to the pauses between
    /// retries, so that some daemon calls soon after the store's return.
    std::chrono::milliseconds check_delay{};
    /// Initial time to the first byte of a check. It doubles with each
    /// consecutive failure, up to `list_timeout`.
    std::chrono::milliseconds check_timeout{300};
    /// Pause between a watch that returned changes and the next one, so that
    /// changes in quick succession are read by one call.
    std::chrono::milliseconds batch_pause{300};
    std::chrono::milliseconds retry_pause{150};
    std::chrono::milliseconds retry_pause_max{1'000};
};

enum class store_call : std::uint8_t {
    list,  ///< reads the whole content
    watch, ///< long poll for changes
    check  ///< polls for changes without waiting, on a new connection
};

/// A call to the store that is due.
struct planned_call {
    store_call kind = store_call::list;
    /// The store may answer a listing from an older state, at a lower price.
    bool may_be_stale = false;
    std::chrono::milliseconds wait{};    ///< how long the store may wait
    std::chrono::milliseconds timeout{}; ///< to the first byte of the answer
    time_point started_at{};
};

/// The latest time at which the store has certainly given an answer whose first
/// byte was read at `first_byte`. After the call's timeout it may have waited
/// in a socket while this process was paused.
time_point time_of_answer(planned_call const& call, time_point first_byte);

/// Schedules a daemon's reads of the store: one listing, then watches while the
/// daemon should watch the store, and retries with backoff after failures.
///
/// The first listing may be stale. It doesn't confirm the copy, so a check
/// follows at once. A listing because the store has forgotten its history is
/// never stale, as the history since an older state would be missing again.
///
/// A response of the store confirms that the copy was current at that moment,
/// and heartbeats carry the age of the sender's last confirmation. A daemon
/// whose confirmation is too old checks with the store directly, whatever the
/// state of the watchers. So each daemon that can reach the store has a change
/// within the sum of `max_copy_age`, `check_delay` and one call, and the other
/// daemons receive it from these.
class store_schedule {
public:
    explicit store_schedule(store_schedule_options options = {})
        : options_(options), next_listing_stale_(options.stale_first_listing) {}

    /// Returns the next call if one is due, and marks it as in flight. No check
    /// is due while the daemon is `updating` its copy otherwise, from another
    /// response or from peers: it would only take its part of the link.
    std::optional<planned_call> next(bool should_watch, time_point now,
                                     bool updating = false);

    void on_answer(planned_call const& call, bool has_changes,
                   time_point first_byte);
    void on_failure(store_call kind, time_point now);
    /// The daemon has ended a call, as another source was faster.
    void on_ended(store_call kind);
    /// The store no longer keeps the changes since this daemon's revision.
    void on_history_gone(store_call kind);
    /// A peer's changes were applied to the copy, so no listing is needed.
    void on_peer_changes();
    /// The copy was confirmed to be current at `at`.
    void on_confirmed(time_point at);
    time_point confirmed_at() const {
        return confirmed_at_.value_or(time_point{});
    }
    /// Time since the copy was last confirmed to be current; a day if it never
    /// was.
    duration copy_age(time_point now) const {
        return confirmed_at_ ? now - *confirmed_at_ : std::chrono::hours(24);
    }

    /// This daemon watches the store and its last watch succeeded.
    bool watching() const { return watching_; }
    /// The last completed list, watch or check failed.
    bool last_call_failed() const { return consecutive_failures_ > 0; }

private:
    bool check_due(time_point now, bool updating) const;
    bool& in_flight(store_call kind);
    std::chrono::milliseconds check_timeout() const;

    store_schedule_options options_;
    bool list_or_watch_in_flight_ = false;
    bool check_in_flight_ = false;
    bool next_listing_stale_;
    bool listing_due_ = true;
    bool watching_ = false;
    int consecutive_failures_ = 0;
    time_point next_call_{};
    time_point next_check_{};
    std::optional<time_point> confirmed_at_;
};

} // namespace yuccabeam::gateway
