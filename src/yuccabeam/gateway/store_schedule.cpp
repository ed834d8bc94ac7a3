#include "yuccabeam/gateway/store_schedule.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::gateway {

time_point time_of_answer(planned_call const& call, time_point first_byte) {
    return first_byte - call.started_at > call.timeout ? call.started_at
                                                       : first_byte;
}

bool& store_schedule::in_flight(store_call kind) {
    return kind == store_call::check ? check_in_flight_
                                     : list_or_watch_in_flight_;
}

// Checks are tracked separately from watches: a check is needed precisely when
// a watch receives no response.
std::optional<planned_call>
store_schedule::next(bool should_watch, time_point now, bool updating) {
    if (check_due(now, updating)) {
        check_in_flight_ = true;
        return planned_call{store_call::check, false, {}, check_timeout(), now};
    }
    if (list_or_watch_in_flight_ || now < next_call_)
        return std::nullopt;
    if (!listing_due_ && !should_watch) {
        watching_ = false;
        return std::nullopt;
    }
    list_or_watch_in_flight_ = true;
    if (listing_due_)
        return planned_call{store_call::list,
                            std::exchange(next_listing_stale_, false),
                            {},
                            options_.list_timeout,
                            now};
    return planned_call{store_call::watch, false, options_.watch_wait,
                        options_.watch_wait + options_.watch_timeout_margin,
                        now};
}

bool store_schedule::check_due(time_point now, bool updating) const {
    return !listing_due_ && !check_in_flight_ && !updating &&
           now >= next_check_ &&
           copy_age(now) >= options_.max_copy_age + options_.check_delay;
}

std::chrono::milliseconds store_schedule::check_timeout() const {
    return std::min(options_.list_timeout,
                    options_.check_timeout *
                        (1 << std::min(consecutive_failures_, 4)));
}

void store_schedule::on_answer(planned_call const& call, bool has_changes,
                               time_point first_byte) {
    in_flight(call.kind) = false;
    consecutive_failures_ = 0;
    if (!call.may_be_stale)
        on_confirmed(time_of_answer(call, first_byte));
    if (call.kind == store_call::list)
        listing_due_ = false;
    if (call.kind != store_call::watch)
        return;
    watching_ = true;
    if (has_changes)
        next_call_ = first_byte + options_.batch_pause;
}

void store_schedule::on_failure(store_call kind, time_point now) {
    in_flight(kind) = false;
    // The first retry is immediate: the connection may be dead while the store
    // is healthy.
    auto pause = std::chrono::milliseconds(0);
    if (consecutive_failures_ > 0)
        pause = options_.check_delay +
                std::min(options_.retry_pause_max,
                         options_.retry_pause *
                             (1 << std::min(consecutive_failures_ - 1, 4)));
    ++consecutive_failures_;
    if (kind == store_call::check) {
        next_check_ = now + pause;
    } else {
        watching_ = false;
        next_call_ = now + pause;
    }
}

void store_schedule::on_ended(store_call kind) {
    in_flight(kind) = false;
    if (kind != store_call::check)
        watching_ = false;
}

void store_schedule::on_history_gone(store_call kind) {
    in_flight(kind) = false;
    listing_due_ = true;
}

void store_schedule::on_peer_changes() {
    listing_due_ = false;
}

void store_schedule::on_confirmed(time_point at) {
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, at) : at;
}

} // namespace yuccabeam::gateway
