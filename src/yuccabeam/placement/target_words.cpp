// What targets themselves have asked a target table for.
#include "yuccabeam/placement/target_table.hpp"

#include <algorithm>

namespace yuccabeam::placement {

void target_table::set_availability(record& entry,
                                    placement::availability const& asked,
                                    time_point now) {
    constexpr duration remembered = std::chrono::hours(1);
    std::erase_if(asked_for_, [&](auto const& item) {
        return now - item.second.at > remembered;
    });
    entry.availability = asked;
    asked_for_[entry.info.target.id] = {entry.info.started_ms, asked, now};
}

bool target_table::mark_leaving(record& entry, time_point now) {
    if (entry.availability.leaving_since)
        return false;
    auto asked = entry.availability;
    asked.leaving_since = now;
    set_availability(entry, asked, now);
    return true;
}

std::optional<target_notice> target_table::on_leaving(target_id const& id,
                                                      time_point started,
                                                      time_point now) {
    auto* entry = find(id);
    // The response of an earlier incarnation says nothing about this one.
    if (!entry || started < entry->listed_since || !mark_leaving(*entry, now))
        return std::nullopt;
    entry->evidence = {notice_kind::leaving, true, now};
    return target_notice{id, entry->info.started_ms, notice_kind::leaving};
}

void target_table::on_rest(target_id const& id, duration rest,
                           time_point started, time_point now) {
    auto* entry = find(id);
    if (!entry || started < entry->listed_since)
        return;
    set_availability(
        *entry,
        after_rest_asked(entry->availability, rest,
                         std::uniform_real_distribution<double>(0, 1)(random_),
                         options_.availability, now),
        now);
}

std::optional<time_point> target_table::rest_end(service_id const& service,
                                                 time_point now) const {
    std::optional<time_point> out;
    for (auto const* entry : targets_of(service)) {
        if (!entry->usable() || entry->vanished_at ||
            entry->availability.leaving_since)
            continue;
        auto const end = entry->availability.rests_until;
        if (end <= now)
            return std::nullopt;
        out = std::min(out.value_or(end), end);
    }
    return out;
}

} // namespace yuccabeam::placement
