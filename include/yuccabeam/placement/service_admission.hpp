#pragma once

#include "yuccabeam/limits/admission_queue.hpp"
#include "yuccabeam/placement/service_room.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <vector>

namespace yuccabeam::placement {

struct service_admission_options {
    limits::queue_options queue;
    /// Requests in flight beyond the slots, as a share of the slots, from which
    /// the service is short of room. With fewer, targets would run out of work
    /// while a daemon learns of a slot that has become free.
    double margin = 0.1;
    /// The same for relayed loads, which are older.
    double relayed_margin = 0.25;
    /// Minimum share of the targets that have requests in flight in a service
    /// that is short of room. A service must not refuse requests while less
    /// than 0.7 of its healthy targets get any; the rest is a margin.
    double min_share_used = 0.8;
    /// All queued requests go when it is missed for this time; loads that are
    /// old miss it for a moment when a service has emptied its queues.
    duration few_used_limit = std::chrono::milliseconds(800);
    /// Time in which the daemons together hand out what is free: about the age
    /// of the loads. A shorter time makes them overshoot together.
    duration horizon = std::chrono::milliseconds(100);
    duration relayed_horizon = std::chrono::milliseconds(500);
    /// A daemon whose part of the limit is smaller paces its requests.
    double min_window = 4;
    /// Requests of a paced daemon that may go at once after a pause.
    double max_credit = 2;
    /// Requests of a priority that a paced daemon sends before it has earned
    /// them.
    double interactive_debt = 3;
    double normal_debt = 1;
    /// Time between two looks while requests are queued.
    duration look_interval = std::chrono::milliseconds(10);
    /// The shortage has ended when no request had to be queued for this time.
    duration quiet_after = std::chrono::seconds(1);
    duration min_retry_after = std::chrono::milliseconds(100);
    duration max_retry_after = std::chrono::seconds(5);
};

/// Decides which requests for one service go to its targets at once, wait or
/// are refused. Performs no I/O.
///
/// While the service has free slots every request goes at once. While it has
/// none, this daemon keeps a window of requests in flight there: at least its
/// share of the slots, which needs no load of another daemon, and above it as
/// much as it had when the shortage began, corrected by its share of the free
/// or missing slots. Where its share is small, or loads are relayed, the daemon
/// paces its requests instead: its share of the rate that the slots can serve,
/// with the same correction. Requests beyond that wait in an admission queue.
///
/// A request whose id is in none of the returned actions is queued.
class service_admission {
public:
    explicit service_admission(service_admission_options options = {});

    /// Decides on a new request; other requests may be released or dropped
    /// with it.
    std::vector<limits::queue_action> arrive(limits::queue_entry const& request,
                                             service_room const& room,
                                             time_point now);
    /// Releases and drops queued requests. Called when a request in flight
    /// ended, and every `look_interval` while requests are queued.
    std::vector<limits::queue_action> look(service_room const& room,
                                           time_point now);
    /// Releases all queued requests.
    std::vector<limits::queue_action> release_all(time_point now);
    /// Removes a request whose caller disconnected; false if it isn't queued.
    bool cancel(limits::entry_id id) { return queue_.cancel(id); }

    std::size_t queued() const { return queue_.size(); }
    /// Requests had to be queued in the last `quiet_after`.
    bool short_of_room() const { return short_; }
    /// Time that the queued requests need, for a refused one to come back.
    duration retry_after(service_room const& room) const;

private:
    double limit(service_room const& room) const;
    double turn_of(service_room const& room) const;
    bool few_used(service_room const& room) const;
    bool has_room(service_room const& room) const;
    bool is_paced(service_room const& room) const;
    void update(service_room const& room, time_point now);
    void update_credit(service_room const& room, double passed, double horizon);
    void update_window(service_room const& room, double part, bool hands_out,
                       time_point now);
    std::size_t releases(service_room const& room) const;
    double least_credit(priority level) const;
    bool goes_ahead(limits::queue_entry const& request,
                    service_room const& room) const;
    /// Takes `count` requests from the credit, which doesn't fall below `least`
    /// by that.
    void charge(double count, double least);
    void take(service_room const& room, time_point now,
              std::vector<limits::queue_action>& out);

    service_admission_options options_;
    limits::admission_queue queue_;
    /// Requests of this daemon in flight while the service has no free slot.
    double window_ = 0;
    /// Requests that may go, where the rate of requests is paced instead.
    double credit_ = 0;
    /// Smoothed over the horizon for relayed loads: one old sum may be far off.
    double usual_in_flight_ = 0;
    duration few_used_for_{};
    time_point updated_at_{};
    time_point handed_out_at_{}; ///< this daemon's share of the free slots
    time_point queued_at_{};     ///< the last request that had to be queued
    bool short_ = false;
};

} // namespace yuccabeam::placement
