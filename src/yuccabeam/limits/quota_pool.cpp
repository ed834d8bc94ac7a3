#include "yuccabeam/limits/quota_pool.hpp"

#include <algorithm>
#include <cmath>

namespace yuccabeam::limits {

namespace {

// A pool with fewer shares refuses nothing by itself: most of the quota is
// elsewhere.
constexpr double least_deciding_shares = 0.5;

double capped(double total) {
    return std::min(total, 1.0);
}

} // namespace

void quota_pool::settle(slot_state const& slot, bucket& bucket,
                        time_point now) const {
    auto const shares = capped(slot.total);
    auto const earned = options_.fill_rate(bucket.limit) * shares *
                        to_seconds(now - bucket.settled_at);
    bucket.tokens = std::min(bucket.tokens + std::max(earned, 0.0),
                             options_.capacity(bucket.limit) * shares);
    bucket.settled_at = std::max(bucket.settled_at, now);
}

void quota_pool::settle_all(slot_state& slot, time_point now) const {
    for (auto& [account, bucket] : slot.buckets)
        settle(slot, bucket, now);
}

// Each loan counts up to its own end.
void quota_pool::remove_expired(slot_state& slot, time_point now) {
    while (!slot.loans.empty()) {
        auto const first = std::ranges::min_element(
            slot.loans, {}, [](auto const& loan) { return loan.second.until; });
        slot.next_expiry = first->second.until;
        if (slot.next_expiry > now)
            return;
        settle_all(slot, slot.next_expiry);
        slot.total -= first->second.share;
        slot.loans.erase(first);
        slot.undiminished_since = slot.next_expiry;
        settle_all(slot, slot.next_expiry);
    }
    slot.total = 0;
    slot.buckets.clear();
}

void quota_pool::advance(slot_state& slot, time_point now) {
    if (!slot.loans.empty() && now >= slot.next_expiry)
        remove_expired(slot, now);
}

// What a share brings along when it is lent to this pool.
double quota_pool::gain(quota const& limit, lent_share const& loan) const {
    return loan.share *
           (loan.unused ? options_.capacity(limit) : options_.moving_gain());
}

void quota_pool::add(slot_state& slot, daemon_id const& lender,
                     lent_share const& loan, time_point now) {
    if (slot.loans.empty()) {
        slot.first_loan = slot.undiminished_since = now;
        slot.next_expiry = loan.until;
    }
    auto const [at, is_new] = slot.loans.try_emplace(lender, loan);
    auto& known = at->second;
    if (!is_new && known.incarnation > loan.incarnation)
        return;
    auto const before = is_new ? 0 : known.share;
    bool const unused = is_new ? loan.unused : known.unused;
    known = loan;
    known.unused = unused;
    if (before == loan.share)
        return;
    settle_all(slot, now);
    slot.total += loan.share - before;
    if (loan.share < before)
        slot.undiminished_since = now;
    for (auto& [account, bucket] : slot.buckets) {
        bucket.tokens += is_new ? gain(bucket.limit, loan) : 0;
        settle(slot, bucket, now);
    }
}

void quota_pool::on_loan(daemon_id const& lender, quota_loan const& loan,
                         time_point now) {
    for (std::size_t i = 0; i < quota_slots; ++i) {
        auto& slot = slots_[i];
        advance(slot, now);
        if ((loan.slots & slot_bit(i)) != 0) {
            add(slot, lender,
                {loan.incarnation, loan.share, (loan.unused & slot_bit(i)) != 0,
                 now + options_.loan_validity},
                now);
            continue;
        }
        auto const known = slot.loans.find(lender);
        if (known == slot.loans.end() ||
            known->second.incarnation > loan.incarnation)
            continue;
        known->second.until = now;
        remove_expired(slot, now);
    }
}

quota_pool::bucket& quota_pool::bucket_of(slot_state& slot,
                                          account_id const& account,
                                          quota const& limit, time_point now) {
    auto const [at, is_new] = slot.buckets.try_emplace(account);
    auto& out = at->second;
    out.limit = limit;
    if (is_new) {
        out.settled_at = slot.undiminished_since;
        for (auto const& [lender, loan] : slot.loans)
            out.tokens += gain(limit, loan);
    }
    settle(slot, out, now);
    return out;
}

quota_decision quota_pool::take(account_id const& account, std::size_t slot_at,
                                quota const& limit, time_point now) {
    auto& slot = slots_[slot_at];
    advance(slot, now);
    if (slot.loans.empty())
        return {false, false, {}};
    auto& bucket = bucket_of(slot, account, limit, now);
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return {true, true, {}};
    }
    auto const earned_per_s = options_.fill_rate(limit) * capped(slot.total);
    quota_decision out;
    out.decided = slot.total >= least_deciding_shares &&
                  now - slot.first_loan >= options_.warm_up;
    if (earned_per_s > 0)
        out.retry_after = from_seconds((1 - bucket.tokens) / earned_per_s);
    return out;
}

double quota_pool::shares(std::size_t slot, time_point now) {
    advance(slots_[slot], now);
    return capped(slots_[slot].total);
}

} // namespace yuccabeam::limits
