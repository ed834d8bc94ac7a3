#pragma once

#include "yuccabeam/codec/record_archive.hpp"
#include "yuccabeam/health/messages.hpp"

namespace yuccabeam::codec {

template <class Archive, record_of<health::evidence_window> T>
void describe(Archive& archive, T& value) {
    archive.record(value.target, value.kind, value.age, value.ok, value.slow,
                   value.refused, value.reset, value.timeout,
                   value.server_error, value.short_answer,
                   value.failing_callers, value.slow_callers, value.latency);
}

template <class Archive, record_of<health::trial_progress> T>
void describe(Archive& archive, T& value) {
    archive.record(value.target, value.round, value.good_in_row, value.failed);
}

template <class Archive, record_of<health::evidence_report> T>
void describe(Archive& archive, T& value) {
    archive.record(value.service, value.arbiter, value.observer,
                   value.observer_incarnation, value.failure_domain,
                   value.sequence, value.window, value.support,
                   value.table_incarnation, value.table_sequence,
                   value.home_daemons, value.suspected_links, value.targets,
                   value.kinds, value.windows, value.trials, value.leaving);
    if constexpr (!std::is_const_v<T>)
        for (auto const& window : value.windows)
            if (window.target >= value.targets.size() ||
                window.kind >= value.kinds.size())
                archive.fail(message_fault::out_of_range);
}

template <class Archive, record_of<health::verdict_evidence> T>
void describe(Archive& archive, T& value) {
    archive.record(value.rule, value.kind, value.requests, value.bad,
                   value.callers, value.score_milli, value.threshold_milli);
}

template <class Archive, record_of<health::grant> T>
void describe(Archive& archive, T& value) {
    archive.record(value.target, value.scope, value.age_ms, value.hold_ms,
                   value.trial_daemon, value.trial_round,
                   value.trial_interval_ms, value.relapses, value.suppressed_by,
                   value.evidence);
}

template <class Archive, record_of<health::returning_target> T>
void describe(Archive& archive, T& value) {
    archive.record(value.target, value.scope, value.age_ms);
}

template <class Archive, record_of<health::latency_reference> T>
void describe(Archive& archive, T& value) {
    archive.record(value.kind, value.median_us);
}

template <class Archive, record_of<health::ejection_table> T>
void describe(Archive& archive, T& value) {
    archive.record(value.service, value.arbiter, value.incarnation,
                   value.sequence, value.receiver, value.receiver_incarnation,
                   value.report_sequence, value.grants, value.returning,
                   value.leaving, value.references, value.degraded,
                   value.budget_slots, value.ejected_slots, value.supporters,
                   value.home_daemons);
}

} // namespace yuccabeam::codec
