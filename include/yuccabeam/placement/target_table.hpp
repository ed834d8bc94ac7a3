#pragma once

#include "yuccabeam/placement/availability.hpp"
#include "yuccabeam/placement/expected_value.hpp"
#include "yuccabeam/placement/failure_estimate.hpp"
#include "yuccabeam/placement/outcome.hpp"
#include "yuccabeam/placement/service_loads.hpp"
#include "yuccabeam/placement/service_room.hpp"
#include "yuccabeam/placement/target_change.hpp"
#include "yuccabeam/placement/target_load.hpp"
#include "yuccabeam/placement/trial_allowance.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"
#include "yuccabeam/values/traffic.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccabeam::placement {

struct target_table_options {
    failure_estimate_options estimate;
    expected_value_options value;
    availability_options availability;
    /// Time from the last failure to a trial (half-open probe) with a retryable
    /// request. A target that is suspected only after doubts is tried at
    /// once.
    duration trial_after = std::chrono::milliseconds(1'500);
    /// Time after which another daemon may start a trial if the outcome of the
    /// last one is still unknown.
    duration trial_interval = std::chrono::milliseconds(1'500);
    /// Pause between a trial that succeeded and the next one.
    duration trial_pause = std::chrono::milliseconds(100);
    /// Mean time until one of the fleet's requests takes a trial that is due;
    /// long compared to the time in which all daemons receive the notice of a
    /// started trial.
    duration trial_mean_delay = std::chrono::milliseconds(20);
    /// A usable target that got no request for this time gets the next one,
    /// whether it may be retried or not: without requests nothing shows that
    /// a target has recovered.
    duration max_idle = std::chrono::milliseconds(1'700);
    /// Replaces max_idle after a failure, or after doubts that make a failing
    /// target more likely than `likely_failing`: most early requests would
    /// fail.
    duration max_idle_failing = std::chrono::milliseconds(9'500);
    double likely_failing = 0.3;
    /// Minimum share of a service's targets that should get requests within
    /// max_idle. Targets that failed during the last `failure_recovery` don't
    /// count.
    double min_share_used = 0.7;
    duration failure_recovery = std::chrono::seconds(2);
    /// Replaces max_idle_failing while fewer targets are used.
    duration max_idle_failing_urgent = std::chrono::milliseconds(3'700);
    /// Limits these requests at suspected targets if they can't be retried.
    trial_allowance_options trials;
    /// Backoff after a failed connection to a target, doubled with each further
    /// failure up to the maximum.
    duration unreachable_hold = std::chrono::seconds(1);
    duration unreachable_hold_max = std::chrono::seconds(8);
    /// Time for which a target that was full ranks behind others.
    duration full_hold = std::chrono::milliseconds(300);
    /// Time after which a target that left must not receive new requests. A
    /// target that is registered as leaving receives none at once; for one
    /// whose entry vanished the shares below apply.
    duration leaving_limit = std::chrono::seconds(2);
    /// Share of leaving_limit for which a target whose entry vanished is used
    /// if no other is available. The rest covers delayed updates, as the limit
    /// starts with the change in the store.
    double vanished_share = 0.4;
    /// Share of leaving_limit after which a target whose entry vanished is not
    /// used, counted from the last time at which its entry is known to have
    /// existed. The rest covers delays of the event loop and of the request in
    /// transit.
    double vanished_latest_share = 0.85;
    /// Targets whose entries expired in an outage of the store are used without
    /// restriction until this time after the store's return: their entries are
    /// back within about 2 s, and the rest covers delayed updates.
    duration expired_return = std::chrono::milliseconds(2'400);
    /// Upper bound of `expired_return` as a share of leaving_limit, as a target
    /// that left in the outage is used as well.
    double expired_return_share = 0.92;
    /// Minimum number of missing entries of a service, as a share of its known
    /// targets and as a count, for which the outage is taken as the reason.
    /// Entries that vanished earlier and have not expired are included.
    double mass_loss_share = 0.3;
    std::size_t mass_loss_targets = 2;
    /// Slot utilisation of a service below which it has spare capacity for
    /// hedged requests and for avoiding targets after a single doubt.
    double room_utilisation = 0.55;
    /// In-flight requests beyond the slots of a target, as a share of the
    /// slots, from which the target is crowded. Loads that arrive by a relay
    /// are too old for this: no target is crowded then.
    double crowded_queue_share = 0.34;
    /// Validity of a peer's report of its in-flight requests.
    duration activity_memory = std::chrono::seconds(5);
    /// Validity of a load that the relay has distributed. The relay repeats the
    /// loads of targets in use several times within it.
    duration relayed_load_memory = std::chrono::milliseconds(2'500);
    /// Maximum number of targets in a load report of a failure domain. A report
    /// with fewer lists all targets at which that domain has requests.
    std::size_t domain_report_targets = 35;
};

/// Event at a target that a daemon reports to its peers.
enum class notice_kind : std::uint8_t {
    failed,   ///< a request failed at the target
    trial,    ///< a trial request was sent
    success,  ///< a request succeeded at the suspected target
    doubted,  ///< an error response, an overdue response or the reset of a
              ///< reused connection
    replaced, ///< another target has its address
    leaving,  ///< the target has said that it leaves
    last = leaving
};

std::string_view to_string(notice_kind value);

struct target_notice {
    target_id target;
    std::int64_t started_ms = 0; ///< incarnation of the target
    notice_kind kind = notice_kind::failed;

    bool operator==(target_notice const&) const = default;
};

/// In-flight requests at a target, of one daemon or of all daemons of a failure
/// domain.
struct target_activity {
    target_id target;
    std::int64_t started_ms = 0; ///< incarnation of the target
    std::uint32_t in_flight = 0;

    bool operator==(target_activity const&) const = default;
};

struct choice_request {
    service_id service;
    bool idempotent = false;
    /// May be retried after a failure.
    bool retryable = false;
    duration time_left = std::chrono::hours(1);
    duration objective_left = std::chrono::hours(1);
    std::vector<target_id> exclude; ///< already tried
    /// Tried targets at which a retry may succeed, although they are in
    /// `exclude`; chosen if no other target is reachable.
    std::vector<target_id> retryable_targets;
    bool avoid_crowded = false; ///< leave out crowded targets
    bool repeated_look = false; ///< an earlier look of this request was counted
};

/// Targets that a request could still choose.
struct other_targets {
    std::size_t untried = 0;             ///< not yet tried by the request
    std::size_t untried_unreachable = 0; ///< of these, unreachable now
    std::size_t retryable = 0;           ///< tried, and may be retried

    bool operator==(other_targets const&) const = default;
};

/// The last evidence about a target and its source.
struct target_evidence {
    notice_kind kind = notice_kind::failed;
    bool own = false; ///< observed by this daemon, not reported by a peer
    time_point at{};

    bool operator==(target_evidence const&) const = default;
};

struct choice {
    discovered_target target;
    double risk = 0; ///< probability that the target fails requests
    std::optional<target_evidence> evidence; ///< the last before the choice
    bool suspected = false; ///< for a trial, or no better target
    bool trial = false;     ///< the request is the trial of a suspected target
    bool queued = false;    ///< all its slots are in use
    bool crowded = false;   ///< more requests than it should have in its queue
    /// The target is suspected, and all that aren't are crowded.
    bool passed_crowded = false;
    bool already_tried = false; ///< the request failed here before
    std::optional<target_notice> notice;
};

/// Read-only state of one target, for explanations and metrics.
struct target_snapshot {
    target_id target;
    service_id service;
    std::uint32_t in_flight = 0;
    bool leaving = false;
    bool suspected = false;
    bool unreachable = false;
    double failing = 0;       ///< probability that it fails requests
    duration suspected_for{}; ///< time since it became suspected
    bool vanished = false;    ///< its entry is gone
    bool replaced = false;    ///< another target has its address
    bool resting = false;     ///< has asked for a rest
    bool full = false;        ///< ranks behind others as it was full
    bool own_domain = false;  ///< in the failure domain of this daemon
    /// Time since a request was last sent to the target, as far as this daemon
    /// knows. Other daemons of this failure domain report all their requests,
    /// those of other domains only a part.
    duration idle{};
    std::optional<target_evidence> evidence; ///< the last
};

/// The state of all targets as known to this daemon, and the choice of a
/// target.
///
/// A single failure makes a target suspected, on this daemon and, through a
/// notice, on all others. A target that is full, vanished, already tried or
/// unreachable ranks behind all others. Among targets of the same rank a
/// request goes to the one with the highest expected value, which is low for a
/// failing target and for one whose queue takes longer than the request's
/// remaining time; suspicion alone never excludes all targets of a service.
///
/// After a pause, or at once if it is suspected only after doubts, a suspected
/// target gets a trial: a first attempt of a retryable request, which ranks it
/// before all others. The trial is announced to all daemons, so usually only
/// one runs at a time over the whole fleet; another may start after
/// `trial_interval`. A few successes end the suspicion on all daemons.
///
/// No usable target stays without requests for long: after `max_idle` a first
/// attempt of any request goes to it. After a failure or while it is suspected
/// this is a trial too, limited by an allowance; otherwise the daemons of its
/// failure domain see to it, as only they know all its requests. Of several
/// trials that are due the target with the longest time without a request comes
/// first.
class target_table {
public:
    target_table(failure_domain_id own_domain, std::uint64_t seed,
                 target_table_options options = {});
    target_table(target_table const&) = delete;
    target_table& operator=(target_table const&) = delete;

    /// Replaces the list of registered targets and returns the changes. A
    /// missing target that was not leaving remains for a while, ranked behind
    /// the others, or without restriction if its entry may have expired in an
    /// outage of the store.
    std::vector<target_change>
    replace(std::vector<discovered_target> const& targets, time_point now,
            removal_evidence const& evidence = {});
    /// The store has been available since `since`: entries that are taken to
    /// have expired in an outage that ended later are judged again. Returns
    /// those that were removed.
    std::vector<target_change> on_store_available(time_point since,
                                                  time_point now);
    /// Removes vanished targets that have expired or were leaving.
    void expire(time_point now);

    std::optional<choice> choose(choice_request const& wanted, time_point now);
    /// True while the utilisation of the service's usable targets, without
    /// suspected and unreachable ones, is below `room_utilisation`.
    bool has_spare_capacity(service_id const& service, time_point now) const;
    /// Slots and requests in flight of the service's targets that may get
    /// requests, without unreachable ones. The share is left at its default.
    service_room room(service_id const& service, time_point now) const;
    /// A random time between half and one and a half times `mean`, so that
    /// daemons that wait for the same target don't act at the same moment.
    duration jittered(duration mean);
    /// Counts the candidates of `choose`.
    other_targets others(choice_request const& wanted, time_point now) const;

    void on_start(target_id const& id, time_point now);
    /// Records the end of an attempt that began at `started`; returns the
    /// notice for the peers, if any.
    std::optional<target_notice> on_end(target_id const& id,
                                        attempt_outcome outcome,
                                        time_point started, time_point now);
    /// Records a doubt about the target of an overdue attempt and returns the
    /// notice for the peers; does nothing if the service has no spare
    /// capacity.
    std::optional<target_notice> on_overdue(target_id const& id,
                                            time_point now);
    /// Records that the target itself has said that it leaves, in the response
    /// to an attempt that began at `started`. Returns the notice for the peers
    /// the first time.
    std::optional<target_notice> on_leaving(target_id const& id,
                                            time_point started, time_point now);
    /// Records that the target wants no requests of this daemon for `rest`.
    void on_rest(target_id const& id, duration rest, time_point started,
                 time_point now);
    /// The first end of a rest, if all usable targets of a service rest.
    std::optional<time_point> rest_end(service_id const& service,
                                       time_point now) const;
    /// Records a cancelled attempt, which is no evidence about the target.
    void on_cancel(target_id const& id);

    void on_peer_notice(target_notice const& notice, time_point now);
    /// Records the in-flight requests of a daemon of this failure domain at a
    /// target.
    void on_peer_activity(daemon_id const& peer,
                          target_activity const& activity, time_point now);
    /// Records the in-flight requests of a daemon whose relay this one is, and
    /// of the daemons whose relay that one is.
    void on_subscriber_loads(daemon_id const& peer,
                             std::vector<target_load> const& loads,
                             time_point now);
    /// Records the in-flight requests of all daemons of this failure domain at
    /// some targets, as the relay has summed them.
    void on_relayed_loads(std::vector<target_load> const& loads,
                          time_point now);
    /// The loads of this daemon and its subscribers that have changed since
    /// they were last taken, `most` at a time.
    std::vector<target_load> take_changed_loads(std::size_t most,
                                                time_point now);
    bool has_changed_loads() const { return !changed_loads_.empty(); }
    /// Makes `take_changed_loads` return the targets in use again whose load
    /// was not taken for `age`, for a new relay or as reports get lost.
    void mark_loads_in_use(time_point now, duration age);
    /// Replaces the in-flight requests of all daemons of another failure
    /// domain; targets that are not listed have none.
    void on_domain_activity(failure_domain_id const& domain,
                            std::vector<target_activity> const& activities,
                            time_point now);
    /// In-flight requests of this daemon at a target, for its peers.
    std::optional<target_activity> activity(target_id const& id) const;
    /// In-flight requests of the daemons of this failure domain, sorted by
    /// descending load.
    std::vector<target_activity> domain_activity(time_point now) const;

    /// Request statistics of the services, used by `choose`.
    service_loads& loads() { return loads_; }
    service_loads const& loads() const { return loads_; }

    std::size_t size(service_id const& service) const;
    std::size_t size() const { return records_.size(); }
    std::vector<target_snapshot> snapshots(time_point now) const;
    std::optional<target_snapshot> snapshot_of(target_id const& id,
                                               time_point now) const;

private:
    /// Load report of another failure domain.
    struct domain_report {
        time_point received_at{};
        bool complete = false; ///< lists all targets in use
        std::vector<target_id> targets;
    };

    struct peer_load {
        std::uint32_t in_flight = 0;
        time_point received_at{};
    };

    struct record {
        discovered_target info;
        std::uint64_t key = 0;       ///< `load_key` of this incarnation
        std::uint64_t listing = 0;   ///< the last list that contains it
        std::uint32_t in_flight = 0; ///< of this daemon
        std::map<daemon_id, peer_load> peers; ///< of this failure domain
        std::map<failure_domain_id, peer_load> domains; ///< the others
        /// Of the daemons of this failure domain that are neither this one nor
        /// in `peers`.
        peer_load relayed;
        bool load_changed = false; ///< listed in `changed_loads_`
        bool load_started = false; ///< a request was sent since the last report
        time_point load_taken_at{};
        failure_estimate estimate;
        std::optional<target_evidence> evidence;
        std::optional<time_point> suspected_since;
        time_point next_trial{};
        time_point unreachable_until{};
        duration unreachable_hold{};
        time_point full_until{};
        time_point warm_at{};
        placement::availability availability;
        time_point listed_since{}; ///< of this incarnation
        time_point last_request{}; ///< sent by any daemon, as far as known
        std::optional<time_point> vanished_at;
        bool address_reused = false;
        removal_evidence removal; ///< of a vanished target
        bool expired = false;     ///< probably, in an outage of the store
        /// A vanished target is a candidate until then.
        time_point usable_until{};

        bool usable() const;
        bool unreachable(time_point now) const;
    };

    /// A target that a request may choose.
    struct candidate {
        record* entry = nullptr;
        double risk = 0; ///< probability that it fails the request
    };

    struct ranked {
        record* entry = nullptr;
        int tier = 0; ///< lower is better
        /// Within a tier, higher is better: for a trial the seconds without a
        /// request, otherwise the expected value of the request at this target.
        double value = 0;
    };

    record* find(target_id const& id);
    record* find(std::uint64_t key);
    std::vector<record*> const& targets_of(service_id const& service) const;
    void update_indexes();
    void mark_changed(record& entry);
    void set_peer_load(record& entry, daemon_id const& peer,
                       target_load const& load, time_point now);
    std::optional<target_change_kind> update(discovered_target const& info,
                                             time_point now);
    std::vector<candidate> candidates(choice_request const& wanted,
                                      time_point now);
    bool sample_trial(service_id const& service);
    bool is_suspected(double risk) const;
    bool too_few_used(std::vector<candidate> const& all, time_point now) const;
    bool trial_due(candidate const& at, choice_request const& wanted,
                   duration max_idle_failing, time_point now) const;
    bool likely_failing(candidate const& at) const;
    bool knows_all_requests(record const& entry, time_point now) const;
    ranked rank(candidate const& at, int tier,
                request_conditions const& request, time_point now) const;
    int tier_of(candidate const& at, choice_request const& wanted,
                duration max_idle_failing, time_point now);
    /// In-flight requests of this daemon and its peers or subscribers.
    std::uint32_t group_in_flight(record const& entry, time_point now) const;
    std::uint32_t domain_in_flight(record const& entry, time_point now) const;
    double in_flight(record const& entry, time_point now) const;
    request_conditions
    request_conditions_of(choice_request const& wanted) const;
    target_conditions conditions_of(candidate const& at, time_point now) const;
    bool crowded(record const& entry, time_point now) const;
    bool all_sound_crowded(std::vector<candidate> const& all,
                           choice_request const& wanted, time_point now) const;
    bool listed(record const& entry) const;
    std::vector<record*> newly_missing();
    std::set<service_id> services_with_mass_loss() const;
    target_change apply_removal(record& entry, removal_evidence const& evidence,
                                time_point now);
    time_point removal_deadline(time_point listed_until, time_point now) const;
    time_point expired_deadline(time_point store_returned_at) const;
    double probability(record const& entry, time_point now) const;
    bool suspected(record const& entry, time_point now) const;
    void apply_evidence(record& entry, double factor, time_point now);
    target_snapshot describe(record const& entry, time_point now) const;
    void apply_doubt(record& entry, time_point now);
    void apply_success(record& entry, time_point now);
    void apply_failure(record& entry, time_point now);
    bool mark_leaving(record& entry, time_point now);
    void set_availability(record& entry, placement::availability const& asked,
                          time_point now);

    failure_domain_id own_domain_;
    target_table_options options_;
    std::mt19937_64 random_;
    std::map<target_id, record> records_;
    struct remembered_availability {
        std::int64_t started_ms = 0; ///< incarnation that has asked for it
        placement::availability availability;
        time_point at{};
    };
    /// What targets have asked for also holds when their entry lapses and
    /// returns.
    std::map<target_id, remembered_availability> asked_for_;
    std::unordered_map<std::uint64_t, record*> by_key_;
    std::map<service_id, std::vector<record*>> by_service_;
    bool any_vanished_ = false;
    std::vector<std::uint64_t> changed_loads_; ///< keys
    bool loads_relayed_ = false; ///< in a large fleet, and so older
    std::uint64_t listing_ = 0;  ///< sequence number of the last list
    service_loads loads_;
    trial_allowance trials_;
    std::map<failure_domain_id, domain_report> domain_reports_; ///< the last
};

} // namespace yuccabeam::placement
