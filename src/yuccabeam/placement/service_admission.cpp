#include "yuccabeam/placement/service_admission.hpp"

#include <algorithm>
#include <cmath>

namespace yuccabeam::placement {

using limits::queue_action;

service_admission::service_admission(service_admission_options options)
    : options_(options), queue_(options.queue) {}

double service_admission::limit(service_room const& room) const {
    return std::ceil(room.slots * (1 + (room.relayed ? options_.relayed_margin
                                                     : options_.margin)));
}

double service_admission::turn_of(service_room const& room) const {
    return to_seconds(room.service_time.count() > 0 ? room.service_time
                                                    : options_.horizon);
}

bool service_admission::few_used(service_room const& room) const {
    return static_cast<double>(room.used) <
           options_.min_share_used * static_cast<double>(room.targets);
}

bool service_admission::has_room(service_room const& room) const {
    return room.slots <= 0 || few_used(room) ||
           std::min(room.in_flight, usual_in_flight_) < limit(room);
}

// A small window can't follow the free slots: its rounding leaves them unused.
bool service_admission::is_paced(service_room const& room) const {
    return room.relayed || room.share * limit(room) < options_.min_window;
}

void service_admission::update(service_room const& room, time_point now) {
    double const passed = std::min(to_seconds(now - updated_at_), 1.0);
    updated_at_ = now;
    few_used_for_ =
        few_used(room) ? few_used_for_ + from_seconds(passed) : duration{};
    auto const horizon =
        room.relayed ? options_.relayed_horizon : options_.horizon;
    double const part = std::min(passed / to_seconds(horizon), 1.0);
    usual_in_flight_ =
        room.relayed
            ? usual_in_flight_ + part * (room.in_flight - usual_in_flight_)
            : room.in_flight;
    if (is_paced(room))
        update_credit(room, passed, to_seconds(horizon));
    else
        update_window(room, part, now - handed_out_at_ >= horizon, now);
}

// The slots serve `slots / service_time` requests in a second; the difference
// to the limit is made up within the horizon.
void service_admission::update_credit(service_room const& room, double passed,
                                      double horizon) {
    double const rate =
        room.slots / turn_of(room) + (limit(room) - room.in_flight) / horizon;
    credit_ += room.share * std::max(rate, 0.0) * passed;
    credit_ = std::min(
        credit_, std::max(options_.max_credit, room.share * limit(room) / 2));
}

void service_admission::update_window(service_room const& room, double part,
                                      bool hands_out, time_point now) {
    double const most = limit(room);
    double const least = room.share * most;
    double const free = most - room.in_flight;
    if (!short_) {
        window_ = room.own;
    } else if (free < 0) {
        window_ += room.share * free * part;
    } else if (hands_out) {
        handed_out_at_ = now;
        window_ = std::max(window_, room.own + room.share * free);
    }
    window_ = std::clamp(window_, least, most);
}

std::size_t service_admission::releases(service_room const& room) const {
    // Without slots there is nothing to judge by, and the exchange finds out
    // whether any target can be used.
    if (room.slots <= 0 || few_used_for_ >= options_.few_used_limit)
        return queue_.size() + 1;
    double const count =
        is_paced(room) ? credit_ : std::floor(window_) - room.own;
    return static_cast<std::size_t>(std::max(count, 0.0));
}

double service_admission::least_credit(priority level) const {
    switch (level) {
    case priority::interactive:
        return -options_.interactive_debt;
    case priority::normal:
        return -options_.normal_debt;
    case priority::bulk:
        break;
    }
    return 0;
}

// A paced daemon has few requests, and often none of a low priority to hold
// back when one of a high priority comes. That one goes first, unless such are
// waiting, and later ones wait until the credit is earned.
bool service_admission::goes_ahead(limits::queue_entry const& request,
                                   service_room const& room) const {
    bool const waiting = queue_.size(priority::interactive) > 0 ||
                         (request.priority != priority::interactive &&
                          queue_.size(priority::normal) > 0);
    return is_paced(room) && !waiting && request.priority != priority::bulk &&
           credit_ - 1 >= least_credit(request.priority);
}

void service_admission::charge(double count, double least) {
    credit_ = std::max(credit_ - count, std::min(credit_, least));
}

std::vector<queue_action>
service_admission::arrive(limits::queue_entry const& request,
                          service_room const& room, time_point now) {
    update(room, now);
    bool const can_finish = now + room.service_time <= request.deadline;
    bool const first = queue_.empty() &&
                       (has_room(room) || (can_finish && releases(room) > 0));
    if (first || (can_finish && goes_ahead(request, room))) {
        charge(1, first ? 0 : least_credit(request.priority));
        return {limits::dispatch_entry{request.id}};
    }
    short_ = true;
    queued_at_ = now;
    auto out = queue_.push(request, now);
    take(room, now, out);
    return out;
}

std::vector<queue_action> service_admission::look(service_room const& room,
                                                  time_point now) {
    std::vector<queue_action> out;
    if (!queue_.empty()) {
        update(room, now);
        take(room, now, out);
    }
    if (queue_.empty() && now - queued_at_ >= options_.quiet_after)
        short_ = false;
    return out;
}

void service_admission::take(service_room const& room, time_point now,
                             std::vector<queue_action>& out) {
    auto const taken = queue_.take(releases(room), now);
    auto const sent = std::ranges::count_if(taken, [](auto const& action) {
        return std::holds_alternative<limits::dispatch_entry>(action);
    });
    charge(static_cast<double>(sent), 0);
    out.insert(out.end(), taken.begin(), taken.end());
}

std::vector<queue_action> service_admission::release_all(time_point now) {
    return queue_.take(queue_.size(), now);
}

duration service_admission::retry_after(service_room const& room) const {
    double const turns = static_cast<double>(queue_.size() + 1) /
                         std::max(room.share * room.slots, 0.1);
    return std::clamp(from_seconds(turns * turn_of(room)),
                      options_.min_retry_after, options_.max_retry_after);
}

} // namespace yuccabeam::placement
