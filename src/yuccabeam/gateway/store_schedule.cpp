#include "yuccabeam/gateway/store_schedule.hpp"

#include <algorithm>

namespace yuccabeam::gateway {

std::optional<planned_call> store_schedule::next(bool should_watch,
                                                 time_point now) {
    if (under_way_ || now < next_call_)
        return std::nullopt;
    if (!listing_due_ && !should_watch) {
        watching_ = false;
        return std::nullopt;
    }
    under_way_ = true;
    if (listing_due_)
        return planned_call{store_call::list, {}, options_.list_timeout};
    return planned_call{store_call::watch, options_.watch_wait,
                        options_.watch_wait + options_.watch_slack};
}

void store_schedule::on_answer(store_call kind, bool news, time_point now) {
    under_way_ = false;
    failures_in_row_ = 0;
    if (kind == store_call::list) {
        listing_due_ = false;
        return;
    }
    watching_ = true;
    if (news)
        next_call_ = now + options_.batch_pause;
}

void store_schedule::on_failure(store_call, time_point now) {
    under_way_ = false;
    watching_ = false;
    // The first retry is at once: the connection may have gone silent while
    // the store is well.
    auto pause = std::chrono::milliseconds(0);
    if (failures_in_row_ > 0)
        pause = std::min(options_.retry_pause_max,
                         options_.retry_pause *
                             (1 << std::min(failures_in_row_ - 1, 4)));
    ++failures_in_row_;
    next_call_ = now + pause;
}

void store_schedule::on_history_gone(store_call) {
    under_way_ = false;
    listing_due_ = true;
}

void store_schedule::on_copy() {
    listing_due_ = false;
}

} // namespace yuccabeam::gateway
