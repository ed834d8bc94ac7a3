#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace yuccabeam::gateway {

struct store_schedule_options {
    std::chrono::milliseconds list_timeout{1'500};
    /// Time that a watch may wait in the store. A connection that went silent
    /// is noticed after this and `watch_slack`; both have to fit well into
    /// the 2 s in which a configuration must be in force.
    std::chrono::milliseconds watch_wait{1'000};
    std::chrono::milliseconds watch_slack{450};
    /// Pause between a watch that brought changes and the next one; changes
    /// that come close together then cost one call.
    std::chrono::milliseconds batch_pause{300};
    std::chrono::milliseconds retry_pause{150};
    std::chrono::milliseconds retry_pause_max{1'000};
};

enum class store_call : std::uint8_t {
    list, ///< everything that is stored
    watch ///< waits for changes
};

/// A call to the store that is due.
struct planned_call {
    store_call kind = store_call::list;
    std::chrono::milliseconds wait{}; ///< in the store
    std::chrono::milliseconds timeout{};
};

/// When a daemon reads the store: one listing, then watches while it is to
/// follow the store, and repeated tries while the store fails it.
class store_schedule {
public:
    explicit store_schedule(store_schedule_options options = {})
        : options_(options) {}

    /// The next call, if one is due. It counts as under way from then on.
    std::optional<planned_call> next(bool should_watch, time_point now);

    void on_answer(store_call kind, bool news, time_point now);
    void on_failure(store_call kind, time_point now);
    /// The changes after this daemon's copy are no longer known.
    void on_history_gone(store_call kind);
    /// A peer gave a whole copy, so that no listing is needed.
    void on_copy();

    /// Follows the store and heard from it within the last watch.
    bool watching() const { return watching_; }
    /// The last call to the store failed.
    bool in_trouble() const { return failures_in_row_ > 0; }

private:
    store_schedule_options options_;
    bool under_way_ = false;
    bool listing_due_ = true;
    bool watching_ = false;
    int failures_in_row_ = 0;
    time_point next_call_{};
};

} // namespace yuccabeam::gateway
