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

    /// Used on the request path: `status` takes constant time. `observe` takes
    /// constant time except when it makes a target suspect, which is linear in
    /// the number of targets; it does not allocate once buffers have grown to
    /// their working size.
    target_status status(std::uint32_t target, time_point now) const;
    void observe(observation const& seen, time_point now);
    /// Time after which a request still in flight must be reported as
    /// `overdue`; the maximum duration while no reference latency is known.
    duration slow_after(std::uint32_t target, std::uint32_t kind) const;
    /// Reserves one trial request. If it returns true, the caller must call
    /// `observe` with `trial` set, with the outcome `cancelled` if the request
    /// was not sent.
    bool try_start_trial(std::uint32_t target, time_point now);
    /// A target assigned to this daemon for trials that has had no trial
    /// request for `probe_after` since the next one was allowed. Call
    /// `try_start_trial`, and probe the target only if that succeeds: it fails
    /// if the status of the target is not `trial`, for example because the
    /// ejection is suppressed.
    std::optional<std::uint32_t> target_to_probe(time_point now) const;

    /// Sets the arbiter that receives the reports. `home_daemons` is the number
    /// of the service's home daemons (`routing::home_daemons`), from the VM
    /// list and the membership together; an arbiter's share of the ejection
    /// budget is the fraction of them that support it.
    void choose_arbiter(daemon_id const& arbiter, std::uint32_t home_daemons);
    /// Time of the next call of `report`; a failure brings it forward to an
    /// earlier time.
    time_point report_due() const;
    std::optional<evidence_report> report(time_point now);
    /// Applies a table. Returns false if it is rejected: for another service,
    /// addressed to another receiver or another incarnation of this one, not
    /// newer by incarnation and sequence, received after its validity ended, or
    /// answering a report that is not among the last 32 sent or was sent to
    /// another arbiter.
    bool apply(ejection_table const& table, time_point now);

    /// Records a drain signal from a response or from the VM list.
    void mark_leaving(std::uint32_t target, time_point now);
    /// Records that the register or the VM list shows the target in service
    /// again. A drain mark received from the arbiter lasts until it expires.
    void clear_leaving(std::uint32_t target, time_point now);

    /// Applies a new configuration. Remaining targets keep their suspicion,
    /// trial, drain and grant state, but indices change. The evidence log, the
    /// slow thresholds and the reference medians are discarded.
    void configure(service_topology topology, detector_options options,
                   time_point now);
    service_topology const& topology() const;

    explanation explain(std::uint32_t target, time_point now) const;
    /// True while more than half of the targets look bad to this daemon or to
    /// the arbiter: load should be shed rather than moved to other targets.
    bool degraded(time_point now) const;
    /// Slots of the targets that are not ejected, leaving, or lost with their
    /// failure domain in this daemon's view. Includes suspect and slow-start
    /// targets. Accepted ejections are left out whatever their scope.
    std::uint32_t healthy_slots(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace yuccabeam::health
