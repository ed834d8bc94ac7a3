#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <deque>

namespace yuccabeam::placement {

struct retry_budget_options {
    /// Repeats allowed for each request to the service.
    double ratio = 0.2;
    /// Repeats allowed on top, over the whole fleet and one window.
    double fleet_slack = 50;
    duration window = std::chrono::seconds(10);
    /// Reserve of the slack, in parts of the fleet's size: for daemons that
    /// this one does not know of, and for repeats that arrive late and so in
    /// another window than the one in which they were decided.
    double reserve = 0.125;
    /// A fleet counts as large as it was within this time, as the daemons that
    /// are missing may be cut off and go on.
    duration size_memory = std::chrono::hours(1);
    /// Credit that a daemon may keep, in repeats, where its share of the slack
    /// allows. A repeat costs 1, and what is earned above the limit is lost.
    double capacity = 1.5;
    /// Time in which granted credit has to arrive, from the moment at which it
    /// was requested_at for.
    duration transfer_time = std::chrono::milliseconds(250);
};

/// Credit of a daemon that starts.
enum class first_credit {
    none, ///< an earlier process may have spent it
    full  ///< the fleet is new
};

/// Limits how often requests of one service arrive at a second target, over
/// all daemons of a fleet.
///
/// The operators allow `ratio` repeats for each request and `fleet_slack` on
/// top in any window. Each daemon holds a token bucket that it alone spends
/// from, whatever it knows of the others: a request earns `ratio`, a repeat
/// costs 1. The repeats of a window are at most the credit that was earned in
/// it and the credit that was held when it began. Each bucket is limited to the
/// daemon's share of the slack, so the fleet keeps the allowance in any
/// partition.
///
/// Credit moves between daemons by message. While it may be on its way it
/// takes up the grantor's share, and the receiver keeps it within its own; what
/// is late or lost is spent by nobody. A daemon that restarts has no credit,
/// and earns none until all that its earlier process may have granted has
/// arrived; in a new fleet, which has repeated nothing yet, all buckets are
/// full.
class retry_budget {
public:
    retry_budget(retry_budget_options options, time_point started,
                 first_credit first = first_credit::none);

    /// Daemons of the fleet that this one knows of, itself included.
    void on_fleet_size(std::size_t daemons, time_point now);
    void on_request(time_point now);
    /// True when one more repeat is allowed.
    bool allows(time_point now) const;
    void on_retry(time_point now);
    /// A repeat that was counted has not been sent.
    void on_unsent_retry(time_point now);

    /// Requests of this daemon in the last window.
    double requests(time_point now) const;
    duration window() const { return options_.window; }

    /// Credit of this daemon, in repeats.
    double credit(time_point now) const;
    /// Credit that another daemon may have now: what exceeds one repeat.
    double spare_credit(time_point now) const;
    /// Gives another daemon up to `wanted`; returns what it gave.
    double grant(double wanted, time_point now);
    /// Credit that is missing to one repeat.
    double missing_credit(time_point now) const;
    /// Credit of another daemon, which was requested_at at `requested_at`.
    void on_grant(double amount, time_point requested_at, time_point now);

private:
    struct transfer {
        double amount = 0;
        time_point until; ///< it has arrived or is lost
    };

    double share() const;
    double capacity() const;
    double refill_per_s() const;
    double limit(time_point now) const;
    void settle(time_point now);
    void earn(double amount, time_point now);

    retry_budget_options options_;
    time_point earns_from_;
    std::size_t fleet_size_ = 0;
    time_point fleet_size_at_{};
    double balance_ = 0; ///< credit at `balance_at_`
    time_point balance_at_;
    std::deque<transfer> granted_;
    std::deque<time_point> requests_;
};

} // namespace yuccabeam::placement
