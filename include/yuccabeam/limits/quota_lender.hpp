#pragma once

#include "yuccabeam/limits/quota.hpp"
#include "yuccabeam/limits/quota_pool.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <array>
#include <cstddef>

namespace yuccabeam::limits {

/// The shares of one daemon and the pools to which it has lent them.
///
/// A share is lent to one pool at a time: to another one only `loan_hold` after
/// it was last lent, or once the pool has promised to use it no more. A process
/// lends nothing for that time after its start: an earlier process of the
/// daemon may have lent its shares, and the size of the fleet isn't known yet.
class quota_lender {
public:
    quota_lender(quota_options options, yuccabeam::incarnation incarnation,
                 time_point started, bool new_fleet);

    /// Number of daemons that hold shares, this one included. It never becomes
    /// smaller, as a daemon that seems gone may be cut off. Nothing is lent
    /// before the first call: a daemon that doesn't know the others yet would
    /// take the whole quota for its share.
    void on_fleet_size(std::size_t daemons);

    /// The loan to send to a pool now, of the slots whose pool it should be.
    /// Counts them as lent from now on.
    quota_loan lend(daemon_id const& pool, slot_set wanted, time_point now);

    /// A pool has promised to grant nothing any more.
    void on_released(daemon_id const& pool, time_point now);

private:
    struct slot_state {
        daemon_id pool; ///< empty if never lent
        time_point free_at{};
        bool unused = false;
        bool lent = false;
    };

    quota_options options_;
    yuccabeam::incarnation incarnation_;
    std::size_t fleet_size_ = 0; ///< 0 until it is known
    std::array<slot_state, quota_slots> slots_;
};

} // namespace yuccabeam::limits
