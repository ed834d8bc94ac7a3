#pragma once

#include "yuccabeam/codec/record_archive.hpp"
#include "yuccabeam/gateway/peer_message.hpp"

#include <cmath>

/// The fields of the messages between gateways, in wire order. Keys are left
/// out to keep datagrams small.
namespace yuccabeam::placement {

constexpr notice_kind last_value(notice_kind) {
    return notice_kind::last;
}

} // namespace yuccabeam::placement

namespace yuccabeam::gateway {

constexpr reach last_value(reach) {
    return reach::last;
}

} // namespace yuccabeam::gateway

namespace yuccabeam::codec {

// A message with more credit is treated as corrupt.
inline constexpr double max_credit = 1e6;

/// An amount of retry credit, from 0 to `max_credit`.
template <class Number>
struct credit_amount {
    Number* value;
};
template <class Archive, class Number>
void describe(Archive& archive, credit_amount<Number> const& amount) {
    archive.record(*amount.value);
    if constexpr (!std::is_const_v<Number>)
        if (!(*amount.value >= 0 && *amount.value <= max_credit))
            archive.fail(message_fault::out_of_range);
}

template <class Archive, record_of<placement::target_notice> T>
void describe(Archive& archive, T& value) {
    archive.record(value.target, value.started_ms, value.kind);
}

template <class Archive, record_of<placement::target_activity> T>
void describe(Archive& archive, T& value) {
    archive.record(value.target, value.started_ms, value.in_flight);
}

template <class Archive, record_of<placement::target_load> T>
void describe(Archive& archive, T& value) {
    archive.record(value.key, value.in_flight, value.started);
}

template <class Archive, record_of<mirror::store_event> T>
void describe(Archive& archive, T& value) {
    archive.record(value.item.key, value.item.value, value.item.revision,
                   value.removed);
}

template <class Archive, record_of<mirror::store_changes> T>
void describe(Archive& archive, T& value) {
    archive.record(value.base, value.revision, value.events);
}

/// The report of one service in a heartbeat.
struct named_budget {
    service_id service;
    placement::budget_report report;
};
template <class Archive, record_of<named_budget> T>
void describe(Archive& archive, T& value) {
    archive.record(value.service, value.report.requests,
                   value.report.spare_credit);
}

/// The store's availability in a heartbeat.
struct available_ages_ms {
    std::int64_t since = 0;
    std::int64_t until = 0;
};
template <class Archive, record_of<available_ages_ms> T>
void describe(Archive& archive, T& value) {
    archive.record(value.since, value.until);
}

inline std::vector<available_ages_ms>
to_fields(std::optional<gateway::available_ages> const& from) {
    if (!from)
        return {};
    return {{from->since.count(), from->until.count()}};
}

inline std::optional<gateway::available_ages>
from_fields(std::vector<available_ages_ms> const& from) {
    if (from.empty())
        return std::nullopt;
    return gateway::available_ages{std::chrono::milliseconds(from[0].since),
                                   std::chrono::milliseconds(from[0].until)};
}

/// Neither answer lies in the future, and they are in order.
inline bool is_valid(std::optional<gateway::available_ages> const& ages) {
    return !ages || (ages->until.count() >= 0 && ages->since >= ages->until);
}

template <class Archive, record_of<gateway::heartbeat> T>
void describe(Archive& archive, T& value) {
    std::vector<named_budget> budgets;
    for (auto const& [service, report] : value.budgets)
        budgets.push_back({service, report});
    std::int64_t copy_age_ms = value.copy_age.count();
    auto available = to_fields(value.store_available);
    archive.extended_record(available, value.sender, value.control,
                            value.failure_domain, value.incarnation,
                            value.store_revision, value.watching,
                            value.store_call_failed, value.leaving,
                            value.processor_percent, budgets, copy_age_ms);
    if constexpr (!std::is_const_v<T>) {
        for (auto& [service, report] : budgets)
            value.budgets[std::move(service)] = report;
        value.copy_age = std::chrono::milliseconds(copy_age_ms);
        value.store_available = from_fields(available);
        // A negative age would mean a confirmation in the future.
        if (copy_age_ms < 0 || !is_valid(value.store_available))
            archive.fail(message_fault::out_of_range);
    }
}

template <class Archive, record_of<gateway::target_notice_message> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sender, value.number, value.reach, value.notices);
}

template <class Archive, record_of<gateway::change_message> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sender, value.control, value.forward, value.changes);
}

template <class Archive, record_of<gateway::activity_message> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sender, value.targets);
}

template <class Archive, record_of<gateway::domain_activity_message> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sender, value.failure_domain, value.forward,
                   value.targets);
}

template <class Archive, record_of<gateway::credit_request_message> T>
void describe(Archive& archive, T& value) {
    credit_amount<std::remove_reference_t<decltype((value.request.amount))>>
        amount{&value.request.amount};
    archive.record(value.sender, value.service, value.request.number, amount);
}

template <class Archive, record_of<gateway::credit_grant_message> T>
void describe(Archive& archive, T& value) {
    using number = std::remove_reference_t<decltype((value.grant.amount))>;
    credit_amount<number> amount{&value.grant.amount};
    credit_amount<number> spare{&value.grant.spare_credit};
    archive.record(value.sender, value.service, value.grant.number, amount,
                   spare);
}

template <class Archive, record_of<gateway::load_report_message> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sender, value.loads);
}

template <class Archive, record_of<gateway::domain_load_message> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sender, value.loads);
}

template <class Archive, record_of<limits::quota_loan> T>
void describe(Archive& archive, T& value) {
    archive.record(value.incarnation, value.slots, value.share, value.unused);
    if constexpr (!std::is_const_v<T>)
        if (!(value.share >= 0 && value.share <= 1))
            archive.fail(message_fault::out_of_range);
}

template <class Archive, record_of<gateway::quota_request_message> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sender, value.number, value.loan, value.account);
}

template <class Archive, record_of<gateway::quota_grant_message> T>
void describe(Archive& archive, T& value) {
    std::int64_t retry_after_ms = value.retry_after.count();
    archive.record(value.sender, value.number, value.granted, value.decided,
                   retry_after_ms);
    if constexpr (!std::is_const_v<T>) {
        value.retry_after = std::chrono::milliseconds(retry_after_ms);
        if (retry_after_ms < 0)
            archive.fail(message_fault::out_of_range);
    }
}

template <class Archive, record_of<gateway::quota_release_message> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sender);
}

} // namespace yuccabeam::codec
