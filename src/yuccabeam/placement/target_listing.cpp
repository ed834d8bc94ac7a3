// Updates of a target table from lists of targets.
#include "yuccabeam/placement/target_table.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace yuccabeam::placement {

std::vector<target_change>
target_table::replace(std::vector<discovered_target> const& targets,
                      time_point now, removal_evidence const& evidence) {
    std::vector<target_change> changes;
    ++listing_;
    for (auto const& info : targets) {
        auto const kind = update(info, now);
        if (kind)
            changes.push_back({info.target.id, info.target.service, *kind});
    }
    auto const missing = newly_missing();
    bool const leases_may_expire =
        evidence.store_returned_at &&
        now < expired_deadline(*evidence.store_returned_at);
    auto const services_with_expired_leases =
        leases_may_expire && !missing.empty() ? services_with_mass_loss()
                                              : std::set<service_id>{};
    for (auto* entry : missing) {
        auto applied = evidence;
        if (!services_with_expired_leases.contains(entry->info.target.service))
            applied.store_returned_at.reset();
        entry->vanished_at = now;
        changes.push_back(apply_removal(*entry, applied, now));
    }
    any_vanished_ = any_vanished_ || !missing.empty();
    expire(now);
    update_indexes();
    return changes;
}

std::vector<target_change> target_table::on_store_available(time_point since,
                                                            time_point now) {
    std::vector<target_change> changes;
    if (!any_vanished_)
        return changes;
    for (auto& [id, entry] : records_) {
        if (!entry.vanished_at || !entry.expired ||
            *entry.removal.store_returned_at <= since)
            continue;
        auto evidence = entry.removal;
        if (now < expired_deadline(since))
            evidence.store_returned_at = since;
        else
            evidence.store_returned_at.reset();
        auto const change = apply_removal(entry, evidence, *entry.vanished_at);
        if (!entry.expired)
            changes.push_back(change);
    }
    expire(now);
    return changes;
}

target_change target_table::apply_removal(record& entry,
                                          removal_evidence const& evidence,
                                          time_point now) {
    entry.removal = evidence;
    entry.expired = evidence.store_returned_at.has_value();
    entry.usable_until =
        removal_deadline(evidence.listed_until.value_or(now), now);
    if (entry.expired)
        entry.usable_until = std::max(
            entry.usable_until, expired_deadline(*evidence.store_returned_at));
    return {entry.info.target.id, entry.info.target.service,
            entry.expired ? target_change_kind::expired
                          : target_change_kind::vanished,
            entry.usable_until};
}

void target_table::update_indexes() {
    by_key_.clear();
    by_service_.clear();
    for (auto& [id, entry] : records_) {
        by_key_[entry.key] = &entry;
        by_service_[entry.info.target.service].push_back(&entry);
    }
}

bool target_table::listed(record const& entry) const {
    return entry.listing == listing_;
}

std::vector<target_table::record*> target_table::newly_missing() {
    std::vector<record*> out;
    for (auto& [id, entry] : records_)
        if (!entry.vanished_at && !listed(entry))
            out.push_back(&entry);
    return out;
}

// Leases that expire in an outage remove many targets of a service at once; a
// loss of only a few means that these have left, with or without an outage.
std::set<service_id> target_table::services_with_mass_loss() const {
    struct counts {
        std::size_t missing = 0;
        std::size_t all = 0;
    };
    std::map<service_id, counts> by_service;
    for (auto const& [id, entry] : records_) {
        auto& service = by_service[entry.info.target.service];
        ++service.all;
        service.missing += !listed(entry);
    }
    std::set<service_id> out;
    for (auto const& [service, targets] : by_service)
        if (targets.missing >= options_.mass_loss_targets &&
            static_cast<double>(targets.missing) >=
                options_.mass_loss_share * static_cast<double>(targets.all))
            out.insert(service);
    return out;
}

std::optional<target_change_kind>
target_table::update(discovered_target const& info, time_point now) {
    auto& entry = records_[info.target.id];
    bool const known = entry.info.target.id == info.target.id;
    bool const same_incarnation = known &&
                                  entry.info.started_ms == info.started_ms &&
                                  entry.info.target == info.target;
    if (!same_incarnation) {
        entry = {};
        entry.key = load_key(info.target.id, info.started_ms);
        entry.estimate = prior_estimate(options_.estimate, now);
        entry.last_request = now;
        entry.listed_since = now;
        auto const asked = asked_for_.find(info.target.id);
        if (asked != asked_for_.end() &&
            asked->second.started_ms == info.started_ms)
            entry.availability = asked->second.availability;
        else if (asked != asked_for_.end())
            asked_for_.erase(asked);
    }
    bool const was_leaving = entry.info.leaving;
    bool const returned = entry.vanished_at.has_value();
    if (entry.info != info)
        entry.info = info;
    // An older entry may return with an older copy of the store.
    entry.info.leaving =
        entry.info.leaving ||
        (same_incarnation && was_leaving && info.started_ms != 0);
    entry.listing = listing_;
    entry.vanished_at.reset();
    entry.warm_at = now + info.warm_up_left;
    if (!same_incarnation)
        return target_change_kind::joined;
    if (entry.info.leaving && !was_leaving)
        return target_change_kind::leaving;
    if (returned)
        return target_change_kind::returned;
    return std::nullopt;
}

time_point target_table::removal_deadline(time_point listed_until,
                                          time_point now) const {
    auto const scaled = [&](double share) {
        return from_seconds(to_seconds(options_.leaving_limit) * share);
    };
    return std::min(now + scaled(options_.vanished_share),
                    listed_until + scaled(options_.vanished_latest_share));
}

time_point target_table::expired_deadline(time_point store_returned_at) const {
    return store_returned_at +
           std::min(options_.expired_return,
                    from_seconds(to_seconds(options_.leaving_limit) *
                                 options_.expired_return_share));
}

void target_table::expire(time_point now) {
    if (!any_vanished_)
        return;
    auto const expired = std::erase_if(records_, [&](auto const& item) {
        auto const& entry = item.second;
        return entry.vanished_at &&
               (entry.info.leaving || now >= entry.usable_until);
    });
    any_vanished_ = std::ranges::any_of(records_, [](auto const& item) {
        return item.second.vanished_at.has_value();
    });
    if (expired > 0)
        update_indexes();
}

} // namespace yuccabeam::placement
