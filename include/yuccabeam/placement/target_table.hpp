#pragma once

#include "yuccabeam/placement/expected_value.hpp"
#include "yuccabeam/placement/failure_estimate.hpp"
#include "yuccabeam/placement/outcome.hpp"
#include "yuccabeam/placement/service_loads.hpp"
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
#include <vector>

namespace yuccabeam::placement {

struct target_table_options {
    failure_estimate_options estimate;
    expected_value_options value;
    /// Time from a failure to the first trial by an idempotent request.
    duration trial_after = std::chrono::milliseconds(1'500);
    /// Time after which another daemon may try again when the outcome of a
    /// trial stays unknown.
    duration trial_interval = std::chrono::milliseconds(1'500);
    /// Pause between a trial that succeeded and the next one.
    duration trial_pause = std::chrono::milliseconds(100);
    /// Mean time over which the fleet's requests take a trial that is due;
    /// long beside the time in which all daemons hear that one has begun.
    duration trial_spread = std::chrono::milliseconds(20);
    /// A target that this daemon can't connect to is left alone for this
    /// long, doubled with each further failure up to the second figure.
    duration unreachable_hold = std::chrono::seconds(1);
    duration unreachable_hold_max = std::chrono::seconds(8);
    /// A target that was full is used after others for this long.
    duration full_hold = std::chrono::milliseconds(300);
    /// Time after which a leaving target must get no new work.
    duration leaving_limit = std::chrono::seconds(2);
    /// Part of that limit for which a target whose entry vanished is used,
    /// for lack of others only. The rest covers news that come late, as the
    /// limit runs from the change in the store.
    double vanished_share = 0.4;
    /// Part of that limit after which such a target is not used, counted from
    /// the last moment at which its entry is known to have been there. The
    /// rest covers a late turn and the way of a request.
    double vanished_latest_share = 0.85;
    /// The same when an outage of the store takes many entries of a service
    /// at once, most of which come back; until then those targets are used as
    /// before.
    double expired_leases_share = 0.92;
    double mass_loss_share = 0.3;
    std::size_t mass_loss_targets = 2;
    /// Share of a service's slots in use up to which there is room for
    /// requests that are sent twice and for holding targets off on a doubt.
    double room_utilisation = 0.55;
    /// What a peer told of its requests at a target counts for this long.
    duration activity_memory = std::chrono::seconds(5);
};

/// What a daemon tells its peers about a target.
enum class notice_kind : std::uint8_t {
    failed,   ///< a request failed there
    trial,    ///< a trial request is on its way
    success,  ///< a request succeeded while the target was suspected
    doubted,  ///< an error of its own, or an answer that takes long
    replaced, ///< another target has its address
    last = replaced
};

std::string_view to_string(notice_kind value);

struct target_notice {
    target_id target;
    std::int64_t started_ms = 0; ///< the life of the target that is meant
    notice_kind kind = notice_kind::failed;

    bool operator==(target_notice const&) const = default;
};

/// Requests that one daemon, or the daemons of one failure domain together,
/// have at a target at the moment.
struct target_activity {
    target_id target;
    std::int64_t started_ms = 0; ///< the life of the target that is meant
    std::uint32_t in_flight = 0;

    bool operator==(target_activity const&) const = default;
};

struct choice_request {
    service_id service;
    bool idempotent = false;
    /// May go to one more target after a failure.
    bool retryable = false;
    duration time_left = std::chrono::hours(1);
    duration objective_left = std::chrono::hours(1);
    std::vector<target_id> exclude; ///< already tried
    /// Those of them that failed in a way that the next try may not share. They
    /// are chosen when no other target can be reached.
    std::vector<target_id> retryable_targets;
};

/// Targets that a request could still choose.
struct other_targets {
    std::size_t left = 0;        ///< not tried by the request
    std::size_t unreachable = 0; ///< of these, by this daemon at the moment
    std::size_t again = 0;       ///< tried, and may be asked again

    bool operator==(other_targets const&) const = default;
};

/// What was last learnt of a target, and by whom.
struct target_evidence {
    notice_kind kind = notice_kind::failed;
    bool own = false; ///< seen by this daemon, not told by another one
    time_point at{};

    bool operator==(target_evidence const&) const = default;
};

struct choice {
    discovered_target target;
    double risk = 0; ///< probability that the target fails requests
    std::optional<target_evidence> evidence; ///< the last before the choice
    bool suspected = false; ///< chosen for a trial or for lack of a better one
    bool trial = false;     ///< the suspected target is put to the test
    bool queued = false;    ///< all its slots are in use
    bool already_tried = false; ///< the request has failed there before
    std::optional<target_notice> notice;
};

/// One line of an explanation.
struct target_snapshot {
    target_id target;
    service_id service;
    std::uint32_t in_flight = 0;
    bool leaving = false;
    bool suspected = false;
    bool unreachable = false;
    double failing = 0;       ///< probability that it fails requests
    duration suspected_for{}; ///< time since the suspicion began
    bool vanished = false;    ///< its entry is gone
    bool replaced = false;    ///< another target has its address
    std::optional<target_evidence> evidence; ///< the last
};

enum class target_change_kind : std::uint8_t {
    joined,
    leaving,
    vanished, ///< its entry is gone
    returned
};

std::string_view to_string(target_change_kind value);

/// A difference between two lists of targets.
struct target_change {
    target_id target;
    service_id service;
    target_change_kind kind = target_change_kind::joined;
};

/// What this daemon believes about each target, and the choice of a target.
///
/// A single failure suspects a target at once, here and, by a notice, on all
/// daemons. A request goes where its expected worth is highest: a failing
/// target is worth little, and so is one whose queue takes the time that the
/// request has left; suspicion alone never empties a service. After a short
/// pause one request at a time, over the whole fleet, tries a suspected target,
/// if the fleet can afford to repeat it, and some successes free it everywhere.
class target_table {
public:
    target_table(failure_domain_id own_domain, std::uint64_t seed,
                 target_table_options options = {});

    /// Takes the list of targets that announce themselves now. A target that
    /// is missing from it stays for a while as a last resort, or as before
    /// when an outage of the store may be the reason. The list may have changed
    /// at any time since `changed_after`.
    /// Returns what is new.
    std::vector<target_change>
    replace(std::vector<discovered_target> const& targets, bool after_outage,
            time_point now, std::optional<time_point> changed_after = {});
    /// Drops vanished targets whose hold has ended.
    void expire(time_point now);

    std::optional<choice> choose(choice_request const& wanted, time_point now);
    /// True while the service's good targets have slots to spare.
    bool has_spare_capacity(service_id const& service, time_point now) const;
    /// The targets among which `choose` would find one.
    other_targets others(choice_request const& wanted, time_point now) const;

    void on_start(target_id const& id);
    /// Takes the end of an attempt that began at `started`; returns what to
    /// tell the peers.
    std::optional<target_notice> on_end(target_id const& id,
                                        attempt_outcome outcome,
                                        time_point started, time_point now);
    /// An attempt that takes long and goes on.
    std::optional<target_notice> on_overdue(target_id const& id,
                                            time_point now);
    /// An attempt that was given up; says nothing about the target.
    void on_cancel(target_id const& id);

    void on_peer_notice(target_notice const& notice, time_point now);
    /// What a daemon of this failure domain has at a target.
    void on_peer_activity(daemon_id const& peer,
                          target_activity const& activity, time_point now);
    /// What all daemons of another failure domain have; targets that are left
    /// out have nothing of theirs.
    void on_domain_activity(failure_domain_id const& domain,
                            std::vector<target_activity> const& activities,
                            time_point now);
    /// What this daemon has at a target, for its peers.
    std::optional<target_activity> activity(target_id const& id) const;
    /// What the daemons of this failure domain have, the most loaded targets
    /// first.
    std::vector<target_activity> domain_activity(time_point now) const;

    /// What is learnt of the services' requests; choices use it.
    service_loads& loads() { return loads_; }
    service_loads const& loads() const { return loads_; }

    std::size_t size(service_id const& service) const;
    std::size_t size() const { return records_.size(); }
    std::vector<target_snapshot> snapshots(time_point now) const;
    std::optional<target_snapshot> snapshot_of(target_id const& id,
                                               time_point now) const;

private:
    struct peer_load {
        std::uint32_t in_flight = 0;
        time_point received_at{};
    };

    struct record {
        discovered_target info;
        std::uint64_t listing = 0;            ///< the last list that names it
        std::uint32_t in_flight = 0;          ///< of this daemon
        std::map<daemon_id, peer_load> peers; ///< of this failure domain
        std::map<failure_domain_id, peer_load> domains; ///< the others
        failure_estimate estimate;
        std::optional<target_evidence> evidence;
        std::optional<time_point> suspected_since;
        time_point next_trial{};
        time_point unreachable_until{};
        duration unreachable_hold{};
        time_point full_until{};
        time_point warm_at{};
        std::optional<time_point> vanished_at;
        bool address_taken = false;
        bool vanish_trusted = true; ///< the store was sound meanwhile
        time_point usable_until{};  ///< used for lack of others till then

        bool usable() const;
        bool unreachable(time_point now) const;
    };

    struct ranked {
        record* entry = nullptr;
        int tier = 0;     ///< lower is better
        double value = 0; ///< expected, of the request at this target
    };

    record* find(target_id const& id);
    std::optional<target_change_kind> update(discovered_target const& info,
                                             time_point now);
    std::vector<record*> candidates(choice_request const& wanted,
                                    time_point now);
    bool samples_trial(service_id const& service);
    ranked rank(record& entry, choice_request const& wanted,
                request_conditions const& request, time_point now) const;
    int tier_of(record const& entry, choice_request const& wanted,
                time_point now) const;
    std::uint32_t domain_in_flight(record const& entry, time_point now) const;
    double in_flight(record const& entry, time_point now) const;
    request_conditions
    request_conditions_of(choice_request const& wanted) const;
    target_conditions conditions_of(record const& entry, time_point now) const;
    bool listed(record const& entry) const;
    std::vector<record*> newly_missing();
    std::set<service_id> services_with_mass_loss() const;
    time_point vanish_hold(bool trusted, time_point changed_after,
                           time_point now) const;
    double probability(record const& entry, time_point now) const;
    bool suspected(record const& entry, time_point now) const;
    void apply_evidence(record& entry, double factor, time_point now);
    target_snapshot describe(record const& entry, time_point now) const;
    void note_doubt(record& entry, time_point now);
    void note_success(record& entry, time_point now);
    void suspect(record& entry, time_point now);

    failure_domain_id own_domain_;
    target_table_options options_;
    std::mt19937_64 random_;
    std::map<target_id, record> records_;
    std::uint64_t listing_ = 0; ///< number of the last list
    service_loads loads_;
};

} // namespace yuccabeam::placement
