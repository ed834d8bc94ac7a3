#include "yuccabeam/limits/quota_pool.hpp"

#include <algorithm>
#include <cmath>

namespace yuccabeam::limits {

namespace {

// A pool with fewer shares refuses nothing by itself: most of the quota is
// elsewhere.
constexpr double least_deciding_shares = 0.5;

// Steps of the held shares that are kept for a slot. A fleet in which daemons
// come and go has many small ones, which are joined.
constexpr std::size_t most_steps = 16;

double capped(double total) {
    return std::min(total, 1.0);
}

} // namespace

// Joins the two neighbouring steps that differ least, at the lower level, so
// that a bucket never earns from shares that were not held.
void quota_pool::change_total(slot_state& slot, double by, time_point now) {
    slot.total += by;
    auto& steps = slot.steps;
    auto const shares = capped(slot.total);
    if (!steps.empty() && steps.back().since == now)
        steps.back().shares = std::min(steps.back().shares, shares);
    else
        steps.push_back({now, shares});
    if (steps.size() <= most_steps)
        return;
    std::size_t best = 0;
    auto const step = [&](std::size_t i) {
        return std::abs(steps[i + 1].shares - steps[i].shares);
    };
    for (std::size_t i = 1; i + 2 < steps.size(); ++i)
        if (step(i) < step(best))
            best = i;
    steps[best].shares = std::min(steps[best].shares, steps[best + 1].shares);
    steps.erase(steps.begin() + static_cast<std::ptrdiff_t>(best) + 1);
}

void quota_pool::settle(double shares, bucket& bucket, time_point now) const {
    auto const earned = options_.fill_rate(bucket.limit) * shares *
                        to_seconds(now - bucket.settled_at);
    bucket.tokens = std::min(bucket.tokens + std::max(earned, 0.0),
                             options_.capacity(bucket.limit) * shares);
    bucket.settled_at = std::max(bucket.settled_at, now);
}

void quota_pool::settle_all(slot_state& slot, time_point now) const {
    for (auto& [account, bucket] : slot.buckets)
        settle(capped(slot.total), bucket, now);
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
        change_total(slot, -first->second.share, slot.next_expiry);
        slot.loans.erase(first);
        settle_all(slot, slot.next_expiry);
    }
    slot.total = 0;
    slot.steps.clear();
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
        slot.first_loan = now;
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
    auto const held = capped(slot.total);
    change_total(slot, loan.share - before, now);
    auto const more = capped(slot.total) - held;
    for (auto& [account, bucket] : slot.buckets) {
        // As a new fleet grows, its unused shares shrink for those that join.
        // What is missing from a full bucket stays missing.
        if (unused && (is_new || more < 0))
            bucket.tokens += options_.capacity(bucket.limit) * more;
        else if (is_new)
            bucket.tokens += gain(bucket.limit, loan);
        settle(capped(slot.total), bucket, now);
    }
}

void quota_pool::on_loan(daemon_id const& lender, quota_loan const& loan,
                         time_point now) {
    slot_set unused = 0;
    if (loan.unused != 0) {
        auto& counted = counted_unused_[lender];
        unused = loan.unused & loan.slots & ~counted;
        counted |= unused;
    }
    for (std::size_t i = 0; i < quota_slots; ++i) {
        auto& slot = slots_[i];
        advance(slot, now);
        if ((loan.slots & slot_bit(i)) != 0) {
            add(slot, lender,
                {loan.incarnation, loan.share, (unused & slot_bit(i)) != 0,
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
        out.settled_at = slot.first_loan;
        for (std::size_t i = 0; i < slot.steps.size(); ++i)
            settle(slot.steps[i].shares, out,
                   i + 1 < slot.steps.size() ? slot.steps[i + 1].since : now);
        for (auto const& [lender, loan] : slot.loans)
            out.tokens += gain(limit, loan);
    }
    settle(capped(slot.total), out, now);
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
