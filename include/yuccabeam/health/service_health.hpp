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

/// The daemon that observes.
struct observer_identity {
    daemon_id id;
    yuccabeam::incarnation incarnation = 0;
    failure_domain_id failure_domain;

    bool operator==(observer_identity const&) const = default;
};

/// Health of one service's targets in one daemon.
///
/// Not thread-safe; time never goes back between calls.
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

    /// Request path: constant time, no allocation once warm.
    target_status status(std::uint32_t target, time_point now) const;
    void observe(observation const& seen, time_point now);
    /// Time after which a request still in flight is to be observed as
    /// `overdue`; the largest duration when there is nothing to compare with.
    duration slow_after(std::uint32_t target, std::uint32_t kind) const;
    /// Claims the right to send one trial request. On true, `observe` must
    /// follow with `trial` set, `cancelled` when it was not sent.
    bool try_start_trial(std::uint32_t target, time_point now);
    /// A target whose trial waits for traffic for too long: probe it after
    /// `try_start_trial`.
    std::optional<std::uint32_t> target_to_probe(time_point now) const;

    /// Reports go to this arbiter. `home_daemons` counts the service's home
    /// daemons, from the VM list and the membership together.
    void choose_arbiter(daemon_id const& arbiter, std::uint32_t home_daemons);
    /// Next time at which `report` has work; earlier after a failure.
    time_point report_due() const;
    std::optional<evidence_report> report(time_point now);
    /// Takes a table. Returns false when it is fenced off: another receiver,
    /// older sequence or incarnation, or too late to be valid.
    bool apply(ejection_table const& table, time_point now);

    /// A drain signal on an answer, or the VM list.
    void mark_leaving(std::uint32_t target, time_point now);
    /// The register or the VM list shows the target back.
    void clear_leaving(std::uint32_t target, time_point now);

    /// Takes a new configuration; state of targets that stay is kept, and
    /// indices change.
    void configure(service_topology topology, detector_options options,
                   time_point now);
    service_topology const& topology() const;

    explanation explain(std::uint32_t target, time_point now) const;
    /// True while more than half of the targets look bad, here or at the
    /// arbiter: shed load instead of moving it.
    bool degraded(time_point now) const;
    /// Slots of healthy capacity in this daemon's view.
    std::uint32_t healthy_slots(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace yuccabeam::health
