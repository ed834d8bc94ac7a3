#include "yuccabeam/placement/target_table.hpp"

#include <algorithm>
#include <cmath>

namespace yuccabeam::placement {

namespace {

// Tiers of a choice, best first. A trial has the highest priority, as early
// detection of a recovered target restores capacity.
constexpr int tier_trial = 0;
constexpr int tier_normal = 1;
constexpr int tier_full = 2;
constexpr int tier_vanished = 3;
constexpr int tier_already_tried = 4;
constexpr int tier_unreachable = 5;

bool contains(std::vector<target_id> const& ids, target_id const& id) {
    return std::ranges::find(ids, id) != ids.end();
}

bool is_failure(attempt_outcome outcome) {
    return outcome == attempt_outcome::reset ||
           outcome == attempt_outcome::broken_answer;
}

} // namespace

std::string_view to_string(notice_kind value) {
    switch (value) {
    case notice_kind::failed:
        return "failed";
    case notice_kind::trial:
        return "trial";
    case notice_kind::success:
        return "success";
    case notice_kind::doubted:
        return "doubted";
    case notice_kind::replaced:
        return "replaced";
    case notice_kind::leaving:
        return "leaving";
    }
    return "unknown";
}

std::string_view to_string(target_change_kind value) {
    switch (value) {
    case target_change_kind::joined:
        return "joined";
    case target_change_kind::leaving:
        return "leaving";
    case target_change_kind::vanished:
        return "vanished";
    case target_change_kind::expired:
        return "expired";
    case target_change_kind::returned:
        return "returned";
    }
    return "unknown";
}

bool target_table::record::usable() const {
    return !info.leaving && !address_reused;
}

bool target_table::record::unreachable(time_point now) const {
    return now < unreachable_until;
}

double target_table::probability(record const& entry, time_point now) const {
    return failing_probability(entry.estimate, options_.estimate, now);
}

bool target_table::suspected(record const& entry, time_point now) const {
    return is_suspected(probability(entry, now));
}

void target_table::apply_evidence(record& entry, double factor,
                                  time_point now) {
    entry.estimate =
        updated_estimate(entry.estimate, factor, options_.estimate, now);
}

target_table::target_table(failure_domain_id own_domain, std::uint64_t seed,
                           target_table_options options)
    : own_domain_(std::move(own_domain)), options_(options), random_(seed),
      trials_(options.trials) {}

target_table::record* target_table::find(target_id const& id) {
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

target_table::record* target_table::find(std::uint64_t key) {
    auto const found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

std::vector<target_table::record*> const&
target_table::targets_of(service_id const& service) const {
    static std::vector<record*> const none;
    auto const found = by_service_.find(service);
    return found == by_service_.end() ? none : found->second;
}

std::vector<target_table::candidate>
target_table::candidates(choice_request const& wanted, time_point now) {
    std::vector<candidate> out;
    for (auto* entry : targets_of(wanted.service)) {
        if (!entry->usable() ||
            !may_be_asked(entry->availability, options_.availability, now) ||
            (entry->vanished_at && now >= entry->usable_until))
            continue;
        auto const& id = entry->info.target.id;
        if (!contains(wanted.exclude, id) ||
            contains(wanted.retryable_targets, id))
            out.push_back({entry, probability(*entry, now)});
    }
    return out;
}

request_conditions
target_table::request_conditions_of(choice_request const& wanted) const {
    request_conditions out;
    out.retryable = wanted.retryable;
    out.time_left = wanted.time_left;
    out.objective_left = wanted.objective_left;
    out.service_time = loads_.service_time(wanted.service);
    out.answer_mb = loads_.answer_mb(wanted.service);
    return out;
}

target_conditions target_table::conditions_of(candidate const& at,
                                              time_point now) const {
    auto const& entry = *at.entry;
    target_conditions out;
    out.risk = at.risk;
    out.in_flight = in_flight(entry, now);
    out.slots = entry.info.target.slots;
    out.cold = now < entry.warm_at;
    out.crossing = entry.info.target.failure_domain != own_domain_;
    return out;
}

int target_table::tier_of(candidate const& at, choice_request const& wanted,
                          duration max_idle_failing, time_point now) {
    auto const& entry = *at.entry;
    if (entry.unreachable(now))
        return tier_unreachable;
    if (contains(wanted.retryable_targets, entry.info.target.id))
        return tier_already_tried;
    if (wanted.exclude.empty() && !entry.availability.leaving_since &&
        trial_due(at, wanted, max_idle_failing, now))
        return sample_trial(wanted.service) ? tier_trial : tier_normal;
    if ((entry.vanished_at && !entry.expired) ||
        entry.availability.leaving_since)
        return tier_vanished;
    return now < entry.full_until ? tier_full : tier_normal;
}

target_table::ranked target_table::rank(candidate const& at, int tier,
                                        request_conditions const& request,
                                        time_point now) const {
    if (tier == tier_trial)
        return {at.entry, tier, to_seconds(now - at.entry->last_request)};
    return {at.entry, tier,
            expected_value(conditions_of(at, now), request, options_.value)};
}

std::optional<choice> target_table::choose(choice_request const& wanted,
                                           time_point now) {
    auto const request = request_conditions_of(wanted);
    if (wanted.exclude.empty() && !wanted.repeated_look)
        trials_.on_request(wanted.service);
    std::vector<ranked> best;
    auto all = candidates(wanted, now);
    if (wanted.avoid_crowded)
        std::erase_if(
            all, [&](candidate const& at) { return crowded(*at.entry, now); });
    auto const max_idle_failing = too_few_used(all, now)
                                      ? options_.max_idle_failing_urgent
                                      : options_.max_idle_failing;
    for (auto const& at : all) {
        auto const current =
            rank(at, tier_of(at, wanted, max_idle_failing, now), request, now);
        auto const key = std::pair(current.tier, -current.value);
        if (!best.empty()) {
            auto const best_key = std::pair(best[0].tier, -best[0].value);
            if (key > best_key)
                continue;
            if (key < best_key)
                best.clear();
        }
        best.push_back(current);
    }
    if (best.empty())
        return std::nullopt;
    auto const& chosen = best[std::uniform_int_distribution<std::size_t>(
        0, best.size() - 1)(random_)];
    auto& entry = *chosen.entry;
    choice out;
    out.target = entry.info;
    out.risk = probability(entry, now);
    out.evidence = entry.evidence;
    out.suspected = is_suspected(out.risk);
    out.trial = chosen.tier == tier_trial &&
                (out.suspected || likely_failing({&entry, out.risk}));
    out.already_tried = chosen.tier == tier_already_tried;
    out.queued = in_flight(entry, now) >= entry.info.target.slots;
    out.crowded = crowded(entry, now);
    out.passed_crowded =
        out.suspected && !out.trial && all_sound_crowded(all, wanted, now);
    if (out.trial) {
        if (!wanted.retryable)
            trials_.on_trial(wanted.service);
        entry.next_trial = now + options_.trial_interval;
        out.notice = target_notice{out.target.target.id, out.target.started_ms,
                                   notice_kind::trial};
    }
    return out;
}

bool target_table::crowded(record const& entry, time_point now) const {
    double const slots = std::max<std::uint32_t>(entry.info.target.slots, 1);
    return !loads_relayed_ &&
           in_flight(entry, now) >=
               std::ceil(slots * (1 + options_.crowded_queue_share));
}

bool target_table::all_sound_crowded(std::vector<candidate> const& all,
                                     choice_request const& wanted,
                                     time_point now) const {
    std::size_t sound = 0;
    for (auto const& at : all) {
        if (is_suspected(at.risk) || at.entry->unreachable(now) ||
            at.entry->vanished_at || at.entry->availability.leaving_since ||
            contains(wanted.retryable_targets, at.entry->info.target.id))
            continue;
        if (!crowded(*at.entry, now))
            return false;
        ++sound;
    }
    return sound > 0;
}

duration target_table::jittered(duration mean) {
    return from_seconds(
        to_seconds(mean) *
        std::uniform_real_distribution<double>(0.5, 1.5)(random_));
}

other_targets target_table::others(choice_request const& wanted,
                                   time_point now) const {
    other_targets out;
    for (auto const& at :
         const_cast<target_table*>(this)->candidates(wanted, now)) {
        bool const retryable =
            contains(wanted.retryable_targets, at.entry->info.target.id);
        out.retryable += retryable;
        out.untried += !retryable;
        out.untried_unreachable += !retryable && at.entry->unreachable(now);
    }
    return out;
}

void target_table::on_start(target_id const& id, time_point now) {
    auto* entry = find(id);
    if (!entry)
        return;
    ++entry->in_flight;
    entry->last_request = now;
    entry->load_started = true;
    mark_changed(*entry);
}

void target_table::on_cancel(target_id const& id) {
    auto* entry = find(id);
    if (!entry || entry->in_flight == 0)
        return;
    --entry->in_flight;
    mark_changed(*entry);
}

void target_table::apply_doubt(record& entry, time_point now) {
    bool const before = suspected(entry, now);
    apply_evidence(entry,
                   has_spare_capacity(entry.info.target.service, now)
                       ? options_.estimate.doubt_factor
                       : options_.estimate.crowded_doubt_factor,
                   now);
    if (before || !suspected(entry, now))
        return;
    entry.suspected_since = now;
    entry.next_trial = now;
}

void target_table::apply_success(record& entry, time_point now) {
    apply_evidence(entry, options_.estimate.success_factor, now);
    entry.next_trial = now + options_.trial_pause;
}

std::optional<target_notice> target_table::on_overdue(target_id const& id,
                                                      time_point now) {
    auto* entry = find(id);
    // Without spare capacity a late response indicates queueing, not a faulty
    // target.
    if (!entry || !has_spare_capacity(entry->info.target.service, now))
        return std::nullopt;
    apply_doubt(*entry, now);
    entry->evidence = {notice_kind::doubted, true, now};
    return target_notice{id, entry->info.started_ms, notice_kind::doubted};
}

bool target_table::has_spare_capacity(service_id const& service,
                                      time_point now) const {
    double slots = 0;
    for (auto const* entry : targets_of(service))
        if (entry->usable() && !entry->vanished_at && !suspected(*entry, now) &&
            !entry->unreachable(now) &&
            may_be_asked(entry->availability, options_.availability, now))
            slots += entry->info.target.slots;
    return loads_.busy_slots(service) < options_.room_utilisation * slots;
}

void target_table::apply_failure(record& entry, time_point now) {
    if (!suspected(entry, now))
        entry.suspected_since = now;
    apply_evidence(entry, options_.estimate.failure_factor, now);
    entry.next_trial = now + options_.trial_after;
}

std::optional<target_notice> target_table::on_end(target_id const& id,
                                                  attempt_outcome outcome,
                                                  time_point started,
                                                  time_point now) {
    on_cancel(id);
    auto* entry = find(id);
    if (!entry)
        return std::nullopt;
    if (outcome == attempt_outcome::connect_failed) {
        entry->unreachable_hold =
            std::clamp(entry->unreachable_hold * 2, options_.unreachable_hold,
                       options_.unreachable_hold_max);
        entry->unreachable_until = now + entry->unreachable_hold;
        return std::nullopt;
    }
    entry->unreachable_hold = {};
    entry->unreachable_until = {};
    auto const notice = [&](notice_kind kind) {
        return target_notice{id, entry->info.started_ms, kind};
    };
    if (is_failure(outcome)) {
        apply_failure(*entry, now);
        entry->evidence = {notice_kind::failed, true, now};
        return notice(notice_kind::failed);
    }
    if (outcome == attempt_outcome::wrong_target) {
        entry->address_reused = true;
        entry->evidence = {notice_kind::replaced, true, now};
        return notice(notice_kind::replaced);
    }
    if (outcome == attempt_outcome::timed_out)
        return on_overdue(id, now);
    if (outcome == attempt_outcome::target_error ||
        outcome == attempt_outcome::kept_reset) {
        apply_doubt(*entry, now);
        entry->evidence = {notice_kind::doubted, true, now};
        return notice(notice_kind::doubted);
    }
    if (outcome == attempt_outcome::not_run)
        entry->full_until = now + options_.full_hold;
    if (outcome != attempt_outcome::success)
        return std::nullopt;
    bool const before = suspected(*entry, now);
    // An attempt started before the failures is no evidence of recovery.
    if (before && entry->suspected_since && started < *entry->suspected_since)
        return std::nullopt;
    apply_success(*entry, now);
    entry->evidence = {notice_kind::success, true, now};
    return before ? std::optional(notice(notice_kind::success)) : std::nullopt;
}

void target_table::on_peer_notice(target_notice const& notice, time_point now) {
    auto* entry = find(notice.target);
    if (!entry || entry->info.started_ms != notice.started_ms)
        return;
    if (notice.kind == notice_kind::failed || notice.kind == notice_kind::trial)
        entry->last_request = now;
    if (notice.kind != notice_kind::trial)
        entry->evidence = {notice.kind, false, now};
    switch (notice.kind) {
    case notice_kind::failed:
        apply_failure(*entry, now);
        break;
    case notice_kind::trial:
        entry->next_trial = now + options_.trial_interval;
        break;
    case notice_kind::success:
        apply_success(*entry, now);
        break;
    case notice_kind::doubted:
        apply_doubt(*entry, now);
        break;
    case notice_kind::replaced:
        entry->address_reused = true;
        break;
    case notice_kind::leaving:
        mark_leaving(*entry, now);
        break;
    }
}

std::size_t target_table::size(service_id const& service) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(targets_of(service), [](auto const* entry) {
            return !entry->info.leaving && !entry->vanished_at;
        }));
}

target_snapshot target_table::describe(record const& entry,
                                       time_point now) const {
    target_snapshot out;
    out.target = entry.info.target.id;
    out.service = entry.info.target.service;
    out.in_flight = entry.in_flight;
    out.leaving =
        entry.info.leaving || entry.availability.leaving_since.has_value();
    out.resting = now < entry.availability.rests_until;
    out.unreachable = entry.unreachable(now);
    out.vanished = entry.vanished_at.has_value();
    out.replaced = entry.address_reused;
    out.full = now < entry.full_until;
    out.own_domain = entry.info.target.failure_domain == own_domain_;
    out.idle = now - entry.last_request;
    out.failing = probability(entry, now);
    out.suspected = suspected(entry, now);
    if (out.suspected && entry.suspected_since)
        out.suspected_for = now - *entry.suspected_since;
    out.evidence = entry.evidence;
    return out;
}

std::vector<target_snapshot> target_table::snapshots(time_point now) const {
    std::vector<target_snapshot> out;
    out.reserve(records_.size());
    for (auto const& [id, entry] : records_)
        out.push_back(describe(entry, now));
    return out;
}

std::optional<target_snapshot> target_table::snapshot_of(target_id const& id,
                                                         time_point now) const {
    auto const found = records_.find(id);
    if (found == records_.end())
        return std::nullopt;
    return describe(found->second, now);
}

} // namespace yuccabeam::placement
