// In-flight requests of a target table's targets: own ones and those that other
// daemons report.
#include "yuccabeam/placement/target_table.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::placement {

std::uint32_t target_table::group_in_flight(record const& entry,
                                            time_point now) const {
    std::uint32_t out = entry.in_flight;
    for (auto const& [peer, load] : entry.peers)
        if (now - load.received_at < options_.activity_memory)
            out += load.in_flight;
    return out;
}

std::uint32_t target_table::domain_in_flight(record const& entry,
                                             time_point now) const {
    bool const known =
        now - entry.relayed.received_at < options_.relayed_load_memory;
    return group_in_flight(entry, now) + (known ? entry.relayed.in_flight : 0);
}

double target_table::in_flight(record const& entry, time_point now) const {
    double out = domain_in_flight(entry, now);
    for (auto const& [domain, load] : entry.domains)
        if (now - load.received_at < options_.activity_memory)
            out += load.in_flight;
    return out;
}

service_room target_table::room(service_id const& service,
                                time_point now) const {
    service_room out;
    out.relayed = loads_relayed_;
    out.service_time = loads_.service_time(service);
    for (auto const* entry : targets_of(service)) {
        if (!entry->usable() || entry->vanished_at || entry->unreachable(now) ||
            entry->availability.leaving_since ||
            !may_be_asked(entry->availability, options_.availability, now))
            continue;
        double const load = in_flight(*entry, now);
        out.slots += std::max<std::uint32_t>(entry->info.target.slots, 1);
        out.in_flight += load;
        out.own += entry->in_flight;
        ++out.targets;
        out.used += load > 0;
    }
    return out;
}

void target_table::mark_changed(record& entry) {
    if (!entry.load_changed)
        changed_loads_.push_back(entry.key);
    entry.load_changed = true;
}

void target_table::on_peer_activity(daemon_id const& peer,
                                    target_activity const& activity,
                                    time_point now) {
    auto* entry = find(activity.target);
    if (!entry || entry->info.started_ms != activity.started_ms)
        return;
    auto const known = entry->peers.find(peer);
    bool const started =
        activity.in_flight >
        (known == entry->peers.end() ? 0 : known->second.in_flight);
    set_peer_load(*entry, peer, {entry->key, activity.in_flight, started}, now);
}

void target_table::on_subscriber_loads(daemon_id const& peer,
                                       std::vector<target_load> const& loads,
                                       time_point now) {
    loads_relayed_ = true;
    for (auto const& load : loads)
        if (auto* entry = find(load.key))
            set_peer_load(*entry, peer, load, now);
}

void target_table::set_peer_load(record& entry, daemon_id const& peer,
                                 target_load const& load, time_point now) {
    mark_changed(entry);
    if (load.started) {
        entry.load_started = true;
        entry.last_request = now;
    }
    if (load.in_flight == 0)
        entry.peers.erase(peer);
    else
        entry.peers[peer] = {load.in_flight, now};
}

void target_table::on_relayed_loads(std::vector<target_load> const& loads,
                                    time_point now) {
    loads_relayed_ = true;
    for (auto const& load : loads) {
        auto* entry = find(load.key);
        if (!entry)
            continue;
        // The relay's sum includes what this daemon has reported to it.
        auto const own = group_in_flight(*entry, now);
        entry->relayed = {load.in_flight - std::min(own, load.in_flight), now};
        if (load.started)
            entry->last_request = now;
    }
}

std::vector<target_load> target_table::take_changed_loads(std::size_t most,
                                                          time_point now) {
    std::vector<target_load> out;
    auto const count = std::min(most, changed_loads_.size());
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        auto* entry = find(changed_loads_[i]);
        // The target may have left since.
        if (!entry)
            continue;
        entry->load_changed = false;
        entry->load_taken_at = now;
        out.push_back({entry->key, group_in_flight(*entry, now),
                       std::exchange(entry->load_started, false)});
    }
    changed_loads_.erase(changed_loads_.begin(),
                         changed_loads_.begin() +
                             static_cast<std::ptrdiff_t>(count));
    return out;
}

void target_table::mark_loads_in_use(time_point now, duration age) {
    for (auto& [id, entry] : records_)
        if (now - entry.load_taken_at >= age && group_in_flight(entry, now) > 0)
            mark_changed(entry);
}

void target_table::on_domain_activity(
    failure_domain_id const& domain,
    std::vector<target_activity> const& activities, time_point now) {
    auto& report = domain_reports_[domain];
    std::map<target_id, std::uint32_t> before;
    for (auto const& id : report.targets)
        if (auto* entry = find(id))
            if (auto const known = entry->domains.extract(domain))
                before[id] = known.mapped().in_flight;
    report.received_at = now;
    report.complete = activities.size() < options_.domain_report_targets;
    report.targets.clear();
    for (auto const& activity : activities) {
        auto* entry = find(activity.target);
        if (!entry || entry->info.started_ms != activity.started_ms)
            continue;
        if (activity.in_flight > before[activity.target])
            entry->last_request = now;
        entry->domains[domain] = {activity.in_flight, now};
        report.targets.push_back(activity.target);
    }
}

std::vector<target_activity>
target_table::domain_activity(time_point now) const {
    std::vector<target_activity> out;
    for (auto const& [id, entry] : records_)
        if (auto const count = domain_in_flight(entry, now); count > 0)
            out.push_back({id, entry.info.started_ms, count});
    std::ranges::stable_sort(out, std::ranges::greater(),
                             &target_activity::in_flight);
    return out;
}

std::optional<target_activity>
target_table::activity(target_id const& id) const {
    auto const found = records_.find(id);
    if (found == records_.end())
        return std::nullopt;
    auto const& entry = found->second;
    return target_activity{id, entry.info.started_ms, entry.in_flight};
}

} // namespace yuccabeam::placement
