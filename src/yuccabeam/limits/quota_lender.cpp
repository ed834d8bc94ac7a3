#include "yuccabeam/limits/quota_lender.hpp"

#include <algorithm>

namespace yuccabeam::limits {

quota_lender::quota_lender(quota_options options,
                           yuccabeam::incarnation incarnation,
                           time_point started, bool new_fleet)
    : options_(options), incarnation_(incarnation) {
    for (auto& slot : slots_) {
        slot.free_at = started + options_.loan_hold;
        slot.unused = new_fleet;
    }
}

void quota_lender::on_fleet_size(std::size_t daemons) {
    fleet_size_ = std::max(fleet_size_, daemons);
}

quota_loan quota_lender::lend(daemon_id const& pool, slot_set wanted,
                              time_point now) {
    quota_loan out;
    out.incarnation = incarnation_;
    if (fleet_size_ == 0)
        return out;
    out.share = 1.0 / static_cast<double>(fleet_size_);
    for (std::size_t i = 0; i < quota_slots; ++i) {
        auto& slot = slots_[i];
        bool const same = slot.lent && slot.pool == pool;
        if ((wanted & slot_bit(i)) == 0 || (!same && now < slot.free_at))
            continue;
        // Shares that moved are no longer unused.
        slot.unused = slot.unused && (same || !slot.lent);
        slot.pool = pool;
        slot.lent = true;
        slot.free_at = now + options_.loan_hold;
        out.slots |= slot_bit(i);
        if (slot.unused)
            out.unused |= slot_bit(i);
    }
    return out;
}

void quota_lender::on_released(daemon_id const& pool, time_point now) {
    for (auto& slot : slots_)
        if (slot.lent && slot.pool == pool)
            slot.free_at = std::min(slot.free_at, now);
}

} // namespace yuccabeam::limits
