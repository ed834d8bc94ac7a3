// Reporting of service_health: refreshes the values used on the request path
// once per second, and builds the evidence reports.
#include "service_health_implementation.hpp"

#include <algorithm>
#include <iterator>

namespace yuccabeam::health {

namespace {

constexpr duration refresh_interval = std::chrono::seconds(1);
// A table arrives within one round trip. A report without a table after this
// time is considered lost, and its windows are sent again.
constexpr duration response_timeout = std::chrono::seconds(1);

/// Position of an item in a string table; adds the item if it is missing.
std::uint32_t position_in(std::vector<std::string>& table,
                          std::string const& item) {
    auto const found = std::find(table.begin(), table.end(), item);
    if (found != table.end())
        return static_cast<std::uint32_t>(found - table.begin());
    table.push_back(item);
    return static_cast<std::uint32_t>(table.size() - 1);
}

} // namespace

void service_health::implementation::refresh(time_point now) {
    next_refresh_ = now + refresh_interval;
    auto const age =
        static_cast<std::uint64_t>(to_seconds(options_.reports.evidence_age));
    auto const window = window_of(now);
    log_.expire(window > age ? window - age : 0);
    std::vector<bool> cold(topology_.targets.size());
    for (std::uint32_t i = 0; i < cold.size(); ++i) {
        cold[i] = is_cold(i, now);
        // When the last drain signal has expired, the target is in service
        // again, presumably with a new process, so its slow start begins.
        if (leaving_until_[i] <= now &&
            leaving_until_[i] + refresh_interval > now)
            added_at_[i] = std::max(added_at_[i], leaving_until_[i]);
    }
    local_.refresh(log_, cold, now);
    evaluate_links(now);
    check_floor(now);
}

bool service_health::implementation::failures_unconfirmed(
    link_state const& link, time_point now) const {
    // Only a table that answers a report containing this daemon's failures
    // shows whether other observers confirm them.
    if (grants_.last_answered_at() < link.bad_since + response_timeout ||
        grants_.last_table().degraded)
        return false;
    std::size_t members = 0;
    std::size_t confirmed = 0;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i) {
        if (topology_.targets[i].failure_domain != link.id)
            continue;
        ++members;
        auto const& granted = grants_.of(i);
        if ((granted.valid_until > now || granted.suppressed_until > now) &&
            granted.applies_to_self)
            ++confirmed;
    }
    return confirmed * 2 <= members;
}

void service_health::implementation::evaluate_links(time_point now) {
    for (std::uint32_t position = 0; position < links_.size(); ++position) {
        auto& link = links_[position];
        if (link.id == self_.failure_domain)
            continue;
        std::size_t members = 0;
        std::size_t bad = 0;
        for (std::uint32_t i = 0; i < link_of_.size(); ++i) {
            if (link_of_[i] != position)
                continue;
            ++members;
            bad += local_.looks_bad(i, now) ? 1U : 0U;
        }
        auto const looks_bad = members >= 2 && bad * 2 > members;
        if (looks_bad && !link.bad && link.suspect_until <= now)
            link.bad_since = now;
        link.bad = looks_bad;
        if (looks_bad && failures_unconfirmed(link, now))
            link.suspect_until = now + options_.reports.suspect_time;
    }
}

bool service_health::implementation::is_unsent(evidence_cell const& cell,
                                               time_point now) const {
    if (cell.dirty)
        return true;
    if (now - cell.sent_at < response_timeout)
        return false;
    auto const* sent = grants_.sent(cell.sent_sequence);
    return sent && !sent->answered;
}

void service_health::implementation::add_windows(evidence_report& report,
                                                 time_point now) {
    auto remaining_windows = options_.reports.max_windows;
    // Oldest first: selecting failures first would bias the sample against the
    // target when the windows exceed one report.
    for (std::size_t i = 0; i < log_.size(); ++i) {
        auto& cell = log_[i];
        if (!is_unsent(cell, now) || cell.window > report.window ||
            links_[link_of_[cell.target]].suspect_until > now)
            continue;
        if (remaining_windows == 0) {
            report_no_later_than(now + options_.reports.after_failure);
            return;
        }
        --remaining_windows;
        auto window = to_window(cell.counts);
        window.target = position_in(report.targets,
                                    topology_.targets[cell.target].id.value);
        window.kind =
            position_in(report.kinds, topology_.kinds[cell.kind].value);
        window.age = static_cast<std::uint32_t>(report.window - cell.window);
        report.windows.push_back(std::move(window));
        cell.dirty = false;
        cell.sent_sequence = report.sequence;
        cell.sent_at = now;
    }
}

std::optional<evidence_report>
service_health::implementation::report(time_point now) {
    if (now >= next_refresh_)
        refresh(now);
    if (arbiter_.empty() || now < next_report_)
        return std::nullopt;
    last_report_ = now;
    next_report_ =
        now + (grants_.holds_grants(now) ? options_.reports.with_grants
                                         : options_.reports.idle);
    evidence_report report;
    report.service = topology_.id.value;
    report.arbiter = arbiter_.value;
    report.observer = self_.id.value;
    report.observer_incarnation = self_.incarnation;
    report.failure_domain = self_.failure_domain.value;
    report.sequence = ++sequence_;
    report.window = window_of(now);
    report.support = support_.try_commit(arbiter_, now);
    std::tie(report.table_incarnation, report.table_sequence) =
        grants_.newest(arbiter_);
    report.home_daemons = home_daemons_;
    for (auto const& link : links_)
        if (link.suspect_until > now)
            report.suspected_links.push_back(link.id.value);
    add_windows(report, now);
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i) {
        auto const& name = topology_.targets[i].id.value;
        if (grants_.of(i).last.trial_daemon == self_.id.value &&
            trials_[i].round != 0)
            report.trials.push_back(
                {name, trials_[i].round, trials_[i].good, trials_[i].failed});
        if (leaving_until_[i] > now)
            report.leaving.push_back(name);
    }
    grants_.record_sent(report.sequence, arbiter_, now);
    return report;
}

} // namespace yuccabeam::health
