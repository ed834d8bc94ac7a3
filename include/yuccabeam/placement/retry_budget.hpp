#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <deque>

namespace yuccabeam::placement {

struct retry_budget_options {
    /// Retries allowed for each request to the service.
    double ratio = 0.2;
    /// Additional retries allowed in one window over the whole fleet.
    double fleet_slack = 50;
    duration window = std::chrono::seconds(10);
    /// Fraction by which the fleet size is overestimated when the slack is
    /// divided: a reserve for daemons that this one does not know, and for
    /// retries that arrive in a later window than the one in which they were
    /// decided.
    double reserve = 0.125;
    /// A decrease of the fleet size takes effect only after this time, as
    /// missing daemons may be partitioned and still be running.
    duration size_memory = std::chrono::hours(1);
    /// Minimum bucket capacity of a daemon in retries, limited by its share of
    /// the slack; in a small fleet the capacity is half of the share. A retry
    /// costs 1, and credit earned above the capacity is lost.
    double capacity = 1.5;
    /// Time limit for the arrival of granted credit, counted from the request
    /// for it.
    duration transfer_time = std::chrono::milliseconds(250);
};

/// Initial credit of a daemon.
enum class initial_credit {
    none, ///< an earlier process may have spent its credit
    full  ///< the fleet is new
};

/// Limits the retries, hedged requests included, of one service over all
/// daemons of a fleet.
///
/// The limit in any window is `ratio` retries for each request plus
/// `fleet_slack`. Each daemon has a token bucket from which only it spends,
/// independently of its view of the others: a request earns `ratio`, a retry
/// costs 1. The retries in a window are at most the credit earned and refilled
/// in it plus the credit held at its start. The capacity of each bucket and its
/// refill over one window together are the daemon's share of the slack, so the
/// fleet stays within the limit in any partition.
///
/// Daemons transfer credit by messages. While a transfer may be in transit, it
/// reduces the capacity of the grantor, and the receiver's capacity limits what
/// it keeps; late or lost credit is never spent. A restarted daemon has no
/// credit and earns none until every transfer that its earlier process may have
/// granted has arrived or expired. In a new fleet, which has not retried
/// anything yet, all buckets start full. A bucket has no capacity until
/// `on_fleet_size` is called; any other event before that call empties it.
class retry_budget {
public:
    retry_budget(retry_budget_options options, time_point started,
                 initial_credit first = initial_credit::none);

    /// Updates the number of known daemons of the fleet, including this one.
    void on_fleet_size(std::size_t daemons, time_point now);
    void on_request(time_point now);
    /// True if one more retry is allowed.
    bool allows(time_point now) const;
    void on_retry(time_point now);
    /// Returns the credit of a counted retry that was not sent.
    void on_unsent_retry(time_point now);

    /// Requests of this daemon in the last window.
    double requests(time_point now) const;
    duration window() const { return options_.window; }

    /// Credit of this daemon, in retries.
    double credit(time_point now) const;
    /// Credit that can be granted to another daemon now: the excess over one
    /// retry, or 0 if it is too small to justify a message.
    double spare_credit(time_point now) const;
    /// Grants another daemon up to `wanted`; returns the amount granted.
    double grant(double wanted, time_point now);
    /// Credit missing for one retry.
    double missing_credit(time_point now) const;
    /// Adds credit granted by another daemon and requested at `requested_at`.
    void on_grant(double amount, time_point requested_at, time_point now);

private:
    struct transfer {
        double amount = 0;
        time_point until; ///< by then it has arrived or is lost
    };

    double share() const;
    double capacity() const;
    double refill_per_s() const;
    double available_capacity(time_point now) const;
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
