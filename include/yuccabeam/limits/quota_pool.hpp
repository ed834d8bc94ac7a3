#pragma once

#include "yuccabeam/limits/quota.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace yuccabeam::limits {

/// A daemon's share of the quotas of some slots, lent to a pool.
struct quota_loan {
    yuccabeam::incarnation incarnation = 0; ///< of the lender
    slot_set slots = 0;
    double share = 0; ///< of each quota, at most 1
    /// The shares of a new fleet that have not been lent before: nothing of
    /// their burst can have been used.
    slot_set unused = 0;

    bool operator==(quota_loan const&) const = default;
};

/// A pool's decision on one request.
struct quota_decision {
    bool granted = false;
    /// False if the pool holds too few shares, or has held them for too short a
    /// time, to say that the quota is exceeded.
    bool decided = true;
    duration retry_after{}; ///< until the next token, if refused

    bool operator==(quota_decision const&) const = default;
};

/// Token buckets of the quotas whose shares other daemons have lent to this
/// one.
///
/// A bucket earns the quota's rate times the lent shares and holds its capacity
/// times the lent shares, so that all buckets of a quota together never exceed
/// it, whatever pools the daemons choose. It starts empty, with a small gain
/// for shares that move here, and full for unused shares. A bucket that is
/// first needed later has earned what the shares held at each time would have
/// earned it.
class quota_pool {
public:
    explicit quota_pool(quota_options options = {}) : options_(options) {}

    /// A lender's latest loan; replaces its earlier one. A loan of an older
    /// incarnation is ignored.
    void on_loan(daemon_id const& lender, quota_loan const& loan,
                 time_point now);
    /// Forgets all loans, after a pause of this process whose length is
    /// unknown.
    void forget_loans() { slots_ = {}; }

    /// Decides on one request of an account.
    quota_decision take(account_id const& account, std::size_t slot,
                        quota const& limit, time_point now);

    /// Sum of the shares lent for a slot, at most 1.
    double shares(std::size_t slot, time_point now);

private:
    struct bucket {
        quota limit;
        double tokens = 0;
        time_point settled_at{};
    };
    struct lent_share {
        yuccabeam::incarnation incarnation = 0;
        double share = 0;
        bool unused = false; ///< when it was lent
        time_point until{};
    };
    /// Shares from a time to the next step.
    struct share_step {
        time_point since;
        double shares = 0;
    };
    struct slot_state {
        std::map<daemon_id, lent_share> loans;
        double total = 0; ///< of the loans, may exceed 1
        time_point next_expiry{};
        time_point first_loan{};
        std::vector<share_step> steps; ///< since `first_loan`
        std::unordered_map<account_id, bucket> buckets;
    };

    void advance(slot_state& slot, time_point now);
    void remove_expired(slot_state& slot, time_point now);
    void add(slot_state& slot, daemon_id const& lender, lent_share const& loan,
             time_point now);
    double gain(quota const& limit, lent_share const& loan) const;
    static void change_total(slot_state& slot, double by, time_point now);
    void settle(double shares, bucket& bucket, time_point now) const;
    void settle_all(slot_state& slot, time_point now) const;
    bucket& bucket_of(slot_state& slot, account_id const& account,
                      quota const& limit, time_point now);

    quota_options options_;
    std::array<slot_state, quota_slots> slots_;
    /// Slots whose unused share has been counted, by lender. It counts once,
    /// also when its loan was forgotten or has expired in between.
    std::map<daemon_id, slot_set> counted_unused_;
};

} // namespace yuccabeam::limits
