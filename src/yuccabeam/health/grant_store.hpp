#pragma once

#include "yuccabeam/health/messages.hpp"
#include "yuccabeam/health/options.hpp"
#include "yuccabeam/health/service_health.hpp"
#include "yuccabeam/health/topology.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace yuccabeam::health {

/// Far enough in the past to be outside every interval; boot clocks start at 0.
inline constexpr time_point distant_past{-std::chrono::hours(24 * 365)};

/// State of one target as received from arbiters.
struct granted_state {
    grant last;                            ///< as received
    std::uint32_t arbiter = 0;             ///< position in the list of arbiters
    bool applies_to_self = false;          ///< the scope includes this daemon
    time_point valid_until = distant_past; ///< of a grant, whatever its scope
    bool accepted = false;                 ///< the local floor check allowed it
    time_point since{};                    ///< of the ejection or suspicion
    time_point suppressed_until =
        distant_past;         ///< suspect according to the arbiter
    bool domain_lost = false; ///< suppressed with its whole failure domain
    time_point returned_at = distant_past;   ///< start of the slow start
    time_point leaving_until = distant_past; ///< as reported by a peer
    time_point leaving_since = distant_past;
};

/// A report that this daemon sent; grants in the table that answers it are
/// valid from its time of sending.
struct sent_report {
    std::uint64_t sequence = 0;
    daemon_id arbiter;
    time_point at{};
    bool answered = false;
};

/// Receiver's side of the grant protocol: fencing, validity, floor check.
class grant_store {
public:
    grant_store(observer_identity self, service_topology const& topology,
                grant_options options, report_options reports);

    /// Records a report that is sent now.
    void record_sent(std::uint64_t sequence, daemon_id const& arbiter,
                     time_point now);
    /// The sent report, or null if it is no longer among the last 32.
    sent_report const* sent(std::uint64_t sequence) const;
    /// Incarnation and sequence of the newest table of an arbiter, zeros if
    /// there is none.
    std::pair<incarnation, std::uint64_t>
    newest(daemon_id const& arbiter) const;

    /// Applies a table unless the fencing or validity check rejects it.
    bool apply(ejection_table const& table, service_topology const& topology,
               time_point now);
    /// Accepts as many valid grants as the capacity above the floor allows.
    /// `counted` marks the targets that are part of the capacity.
    void check_floor(service_topology const& topology,
                     std::vector<bool> const& counted, time_point now);

    granted_state const& of(std::uint32_t target) const {
        return states_[target];
    }
    bool holds_grants(time_point now) const;
    daemon_id const& arbiter_name(std::uint32_t position) const {
        return arbiters_[position].id;
    }
    /// Last accepted table, for explanations and the degraded flag.
    ejection_table const& last_table() const { return last_table_; }
    /// Time at which the report answered by the last table was sent.
    time_point last_answered_at() const { return last_answered_; }

    void reconfigure(service_topology const& before,
                     service_topology const& after);

private:
    struct fencing_token {
        daemon_id id;
        yuccabeam::incarnation incarnation = 0;
        std::uint64_t sequence = 0;
    };

    fencing_token& token_of(daemon_id const& id);
    void apply_grants(ejection_table const& table,
                      service_topology const& topology, std::uint32_t position,
                      time_point sent_at, time_point now);
    void apply_returning(ejection_table const& table,
                         service_topology const& topology, time_point now);
    bool covers(std::string const& scope) const {
        return scope.empty() || scope == self_.failure_domain.value;
    }

    observer_identity self_;
    grant_options options_;
    report_options reports_;
    std::vector<granted_state> states_;
    std::vector<fencing_token> arbiters_;
    std::array<sent_report, 32> sent_;
    ejection_table last_table_;
    time_point last_answered_ = distant_past;
};

} // namespace yuccabeam::health
