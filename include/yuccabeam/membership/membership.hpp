#pragma once

#include "yuccabeam/membership/messages.hpp"
#include "yuccabeam/membership/options.hpp"
#include "yuccabeam/membership/probe_order.hpp"
#include "yuccabeam/membership/update_queue.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace yuccabeam::membership {

using probe_message = std::variant<ping, ping_req, ack>;

/// Sender or receiver of a message: authenticated id and address.
struct peer {
    daemon_id id;
    std::string address;

    auto operator<=>(peer const&) const = default;
};

/// Entry of the VM list.
struct vm_list_entry {
    daemon_id id;
    std::string udp_address;
    bool leaving = false;

    auto operator<=>(vm_list_entry const&) const = default;
};

struct outgoing {
    peer to;
    probe_message message;

    bool operator==(outgoing const&) const = default;
};

enum class event_kind {
    joined,    ///< new member, or alive again after it was dead or restarted
    changed,   ///< new addresses or readiness
    suspected, ///< still treated as live
    recovered, ///< a suspicion was refuted
    died,
    left,
    forgotten ///< the record of a dead member was removed
};

struct member_event {
    event_kind kind;
    yuccabeam::membership::member member;

    bool operator==(member_event const&) const = default;
};

/// Configuration digest received from a peer; input of `config_spread`.
struct received_digest {
    daemon_id from;
    std::string http_address;
    config_digest config;

    bool operator==(received_digest const&) const = default;
};

/// Output of a step, to be processed by the caller.
struct actions {
    std::vector<outgoing> messages;
    std::vector<member_event> events;
    std::vector<received_digest> digests;
    std::vector<target_id> leaving_targets;
};

struct counters {
    std::uint64_t probes = 0;
    std::uint64_t probe_failures = 0;
    std::uint64_t indirect_probes = 0;
    std::uint64_t refutations = 0;
    /// Updates that named this daemon's id with a higher incarnation.
    std::uint64_t superseded = 0;
    std::uint64_t stale_updates = 0;

    bool operator==(counters const&) const = default;
};

/// Failure detector and member list of one daemon.
///
/// SWIM (Das, Gupta, Motivala 2002) with suspicion, and local health and
/// confirmations after Lifeguard (Dadgar, Phillips, Currey 2018). Each
/// period it probes one member, so the cost is independent of the fleet size.
///
/// An update about a member is accepted only if its (incarnation, counter,
/// status) is higher than the recorded one, and only the member itself raises
/// the first two. A message from a member that is recorded as dead therefore
/// does not revive it: the reply carries the dead status, and the member
/// refutes it with a higher counter. This keeps two members stable when
/// messages between them are lost in one direction only.
///
/// @code
/// membership::state members(self, {}, now);
/// members.set_vm_list(vm_list, now);
/// auto todo = members.tick(now, rng); // send todo.messages
/// @endcode
class state {
public:
    /// `self.status` and `self.counter` are ignored.
    state(member self, options const& settings, time_point now);

    /// Runs everything that is due at `now`. A call later than
    /// `next_tick()` by more than the probe timeout is treated as a pause of
    /// this daemon, and the probe in flight is dropped.
    actions tick(time_point now, random_engine& rng);

    /// Handles an authenticated message.
    actions receive(probe_message const& message, peer const& from,
                    time_point now);

    /// Replaces the VM list. Its entries are presumed members (incarnation
    /// 0) until the first probe confirms them or fails.
    actions set_vm_list(std::vector<vm_list_entry> const& vms, time_point now);

    /// Updates the data that this daemon publishes about itself.
    void set_info(member_info info);
    void set_config(config_digest config) { config_ = config; }
    void set_leaving_targets(std::vector<target_id> targets);

    /// Announces that this daemon stops, and ends probing. The messages go to
    /// `options::indirect_probes` (3 by default) random members; later pings
    /// are answered with status `left`.
    actions leave(time_point now, random_engine& rng);

    /// Earliest time at which `tick` has something to do.
    time_point next_tick() const;

    /// This daemon's own record. Its incarnation rises whenever
    /// `counters().superseded` does; the message envelope must use it.
    member const& self() const { return self_; }

    /// Record of a member; presumed members have incarnation 0.
    std::optional<member> find(daemon_id const& id) const;

    /// Alive and suspect members except this daemon, ordered by id.
    std::vector<member> live_members() const;
    std::size_t live_count() const { return live_.size(); }

    /// Up to `count` distinct live members.
    std::vector<member> sample(std::size_t count, random_engine& rng) const;

    /// Whether the VM list marks this member as leaving.
    bool is_leaving(daemon_id const& id) const;

    /// Incremented with each change of the member list.
    std::uint64_t version() const { return version_; }
    std::uint32_t local_health() const { return local_health_; }
    membership::counters const& counters() const { return counters_; }

private:
    struct record {
        membership::member member;
        time_point status_since;
        std::string vm_list_address; ///< from the VM list
        bool listed = false;         ///< present in the VM list
        bool leaving = false;        ///< marked as leaving in the VM list
    };
    struct suspicion {
        time_point since;
        std::set<daemon_id> reporters;
        /// Another daemon already declared the member dead.
        bool declared_dead = false;
    };
    struct probe {
        daemon_id subject;
        std::uint64_t sequence = 0;
        time_point direct_deadline;
        time_point deadline;
        bool indirect = false;
        std::uint32_t missing_nacks = 0;
    };
    struct relay {
        peer requester;
        std::uint64_t requester_sequence = 0;
        daemon_id subject;
        time_point deadline;
    };

    // Member list, implemented in membership.cpp.
    void apply(member const& update, time_point now, actions& out);
    void apply_to_self(member const& update);
    void add(member const& update, time_point now, actions& out);
    void adopt_alive(record& known, member const& update, time_point now,
                     actions& out);
    void suspect(record& known, member const& claim, time_point now,
                 actions& out);
    void confirm(record& known, daemon_id const& reporter);
    void set_status(record& known, member_status status, time_point now);
    void forget(daemon_id const& id, actions& out);
    void announce_self();

    // Messages and timers, implemented in probing.cpp.
    void handle(ping const& message, peer const& from, time_point now,
                actions& out);
    void handle(ping_req const& message, peer const& from, time_point now,
                actions& out);
    void handle(ack const& message, peer const& from, time_point now,
                actions& out);
    void process_heartbeat(heartbeat const& beat, peer const& from,
                           time_point now, actions& out);
    void resume_after_pause(duration pause);
    void start_probe(time_point now, random_engine& rng, actions& out);
    void probe_dead(time_point now, random_engine& rng, actions& out);
    void send_indirect_probes(time_point now, random_engine& rng, actions& out);
    void end_probe(time_point now, actions& out);
    void end_relays(time_point now, actions& out);
    void end_suspicions(time_point now, actions& out);
    void forget_old(time_point now, actions& out);

    heartbeat make_heartbeat(daemon_id const& to, std::size_t bytes);
    void append_records(heartbeat& beat, std::size_t bytes, std::size_t most);
    void adjust_local_health(int by);
    duration scaled(duration d) const;
    duration shortest_suspicion() const;
    time_point deadline(suspicion const& s) const;
    std::uint32_t transmissions() const;

    member self_;
    options settings_;
    config_digest config_;
    std::vector<target_id> leaving_targets_;
    std::unordered_map<daemon_id, record> members_;
    probe_order live_;
    probe_order dead_;
    std::map<daemon_id, suspicion> suspicions_;
    std::map<std::uint64_t, relay> relays_; ///< by sequence of the own ping
    std::optional<probe> probe_;
    update_queue updates_;
    time_point next_probe_;
    time_point next_dead_probe_;
    time_point next_forget_;
    std::uint64_t sequence_ = 0;
    std::size_t record_cursor_ = 0;
    std::uint64_t version_ = 0;
    std::uint32_t local_health_ = 0;
    bool left_ = false;
    membership::counters counters_;
};

} // namespace yuccabeam::membership
