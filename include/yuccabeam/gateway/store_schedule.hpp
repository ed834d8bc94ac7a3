#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace yuccabeam::gateway {

/// Range of `store_schedule_options::check_delay`.
constexpr std::chrono::milliseconds max_check_delay{200};

struct store_schedule_options {
    std::chrono::milliseconds list_timeout{1'500};
    /// Time that a watch may wait in the store. Each answer confirms the
    /// copies of the daemons that hear of it, so this is well below
    /// `max_copy_age`.
    std::chrono::milliseconds watch_wait{600};
    std::chrono::milliseconds watch_timeout_margin{450};
    /// A daemon whose copy was not confirmed for this long asks the store
    /// itself.
    std::chrono::milliseconds max_copy_age{900};
    /// Added to that, from 0 to `max_check_delay` and different for each
    /// daemon: the answer to the first one spares the others the call.
    std::chrono::milliseconds check_delay{};
    /// Time limit of such a call; it doubles with each failure.
    std::chrono::milliseconds check_timeout{300};
    /// Pause between a watch that brought changes and the next one; changes
    /// that come close together then cost one call.
    std::chrono::milliseconds batch_pause{300};
    std::chrono::milliseconds retry_pause{150};
    std::chrono::milliseconds retry_pause_max{1'000};
};

enum class store_call : std::uint8_t {
    list,  ///< everything that is stored
    watch, ///< waits for changes
    check  ///< asks for changes without a wait, on a connection of its own
};

/// A call to the store that is due.
struct planned_call {
    store_call kind = store_call::list;
    std::chrono::milliseconds wait{}; ///< in the store
    std::chrono::milliseconds timeout{};
};

/// When a daemon reads the store: one listing, then watches while it is to
/// follow the store, and repeated tries while the store fails it.
///
/// The store's answer confirms that the copy was current at that moment, and
/// daemons tell one another how old their last confirmation is. A daemon whose
/// confirmation is too old asks the store itself, whatever has become of
/// those that follow it. So each daemon that the store answers has a change
/// within `max_copy_age`, `check_delay` and one call, and the others hear of
/// it from these.
class store_schedule {
public:
    explicit store_schedule(store_schedule_options options = {})
        : options_(options) {}

    /// The next call, if one is due. It counts as under way from then on.
    std::optional<planned_call> next(bool should_watch, time_point now);

    void on_answer(store_call kind, bool has_changes, time_point now);
    void on_failure(store_call kind, time_point now);
    /// The changes after this daemon's copy are no longer known.
    void on_history_gone(store_call kind);
    /// A peer gave a whole copy, so that no listing is needed.
    void on_full_copy();
    /// The copy was current at `at`.
    void on_confirmed(time_point at);
    time_point confirmed_at() const { return confirmed_at_; }
    /// Time since the copy was last known to be current.
    duration copy_age(time_point now) const { return now - confirmed_at_; }

    /// Follows the store and heard from it within the last watch.
    bool watching() const { return watching_; }
    /// The last call to the store failed.
    bool last_call_failed() const { return consecutive_failures_ > 0; }

private:
    bool check_due(time_point now) const;
    bool& in_flight(store_call kind);
    std::chrono::milliseconds check_timeout() const;

    store_schedule_options options_;
    bool list_or_watch_in_flight_ = false; ///< a listing or a watch
    bool check_in_flight_ = false;
    bool listing_due_ = true;
    bool watching_ = false;
    int consecutive_failures_ = 0;
    time_point next_call_{};
    time_point next_check_{};
    time_point confirmed_at_{};
};

} // namespace yuccabeam::gateway
