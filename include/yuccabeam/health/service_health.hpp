#pragma once

#include "yuccabeam/health/evidence.hpp"
#include "yuccabeam/health/messages.hpp"
#include "yuccabeam/health/options.hpp"
#include "yuccabeam/health/status.hpp"
#include "yuccabeam/health/topology.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace yuccabeam::health {

/// Identity of the observing daemon.
struct observer_identity {
    daemon_id id;
    yuccabeam::incarnation incarnation = 0;
    failure_domain_id failure_domain;

    bool operator==(observer_identity const&) const = default;
};

/// Health of one service's targets in one daemon.
///
/// Not thread-safe. `now` must not decrease between calls.
///
/// @code
/// service_health health(self, topology, options, now);
/// health.choose_arbiter(arbiter, home_count);
/// auto status = health.status(target, now);          // per request
/// health.observe({target, kind, request_outcome::ok, latency, caller}, now);
/// if (now >= health.report_due())                    // timer
///     if (auto report = health.report(now)) send(*report);
/// health.apply(table, now);                          // from the arbiter
/// @endcode
class service_health {
public:
    service_health(observer_identity self, service_topology topology,
                   health_options options, time_point now);
    ~service_health();
    service_health(service_health&&) noexcept;
    service_health& operator=(service_health&&) noexcept;

    /// Used on the request path: constant time, and no allocation once buffers
    /// have grown to their working size.
    target_status status(std::uint32_t target, time_point now) const;
    void observe(observation const& seen, time_point now);
    /// Time after which a request still in flight must be reported as
    /// `overdue`; the maximum duration while no reference latency is known.
    duration slow_after(std::uint32_t target, std::uint32_t kind) const;
    /// Reserves one trial request. If it returns true, the caller must call
    /// `observe` with `trial` set, with the outcome `cancelled` if the request
    /// was not sent.
    bool try_start_trial(std::uint32_t target, time_point now);
    /// A target whose trial has had no traffic for `probe_after`: call
    /// `try_start_trial`, then probe it.
    std::optional<std::uint32_t> target_to_probe(time_point now) const;

    /// Sets the arbiter that receives the reports. `home_daemons` counts the
    /// service's home daemons, from the VM list and the membership together.
    void choose_arbiter(daemon_id const& arbiter, std::uint32_t home_daemons);
    /// Time of the next call of `report`; moved forward by a failure.
    time_point report_due() const;
    std::optional<evidence_report> report(time_point now);
    /// Applies a table. Returns false if it is rejected: addressed to another
    /// receiver, not newer by incarnation and sequence, or received after its
    /// validity ended.
    bool apply(ejection_table const& table, time_point now);

    /// Records a drain signal from a response or from the VM list.
    void mark_leaving(std::uint32_t target, time_point now);
    /// Records that the register or the VM list shows the target in service
    /// again.
    void clear_leaving(std::uint32_t target, time_point now);

    /// Applies a new configuration. Remaining targets keep their state, but
    /// indices change.
    void configure(service_topology topology, detector_options options,
                   time_point now);
    service_topology const& topology() const;

    explanation explain(std::uint32_t target, time_point now) const;
    /// True while more than half of the targets look bad to this daemon or to
    /// the arbiter: load should be shed rather than moved to other targets.
    bool degraded(time_point now) const;
    /// Slots of healthy capacity in this daemon's view.
    std::uint32_t healthy_slots(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace yuccabeam::health
