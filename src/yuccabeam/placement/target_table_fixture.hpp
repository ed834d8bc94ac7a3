#pragma once

#include "yuccabeam/placement/target_table.hpp"

#include <set>
#include <string>
#include <vector>

/// Targets, requests and choices for the tests of the target table.
namespace yuccabeam::placement {

using namespace std::chrono_literals;

inline constexpr time_point start{1'000s};

inline discovered_target target_named(std::string const& id,
                                      std::string const& domain = "a") {
    discovered_target out;
    out.target = {{id}, {"svc"}, {domain}, "127.0.0.1:1", 6, 330};
    out.started_ms = 1;
    return out;
}

inline std::vector<discovered_target>
targets_named(std::vector<std::string> const& ids) {
    std::vector<discovered_target> out;
    out.reserve(ids.size());
    for (auto const& id : ids)
        out.push_back(target_named(id));
    return out;
}

inline choice_request wants(bool idempotent,
                            std::vector<target_id> exclude = {}) {
    choice_request out;
    out.service = {"svc"};
    out.idempotent = idempotent;
    out.retryable = idempotent && exclude.empty();
    out.time_left = 4s;
    out.objective_left = 2s;
    out.exclude = std::move(exclude);
    return out;
}

// The store has returned at `now`, if there was an outage.
inline removal_evidence after_outage(bool outage, time_point now) {
    removal_evidence out;
    if (outage)
        out.store_returned_at = now;
    return out;
}

// Adds in-flight requests of a peer at a target.
inline void load(target_table& table, std::string const& id,
                 std::uint32_t in_flight, time_point now) {
    table.on_peer_activity({"peer"}, {{id}, 1, in_flight}, now);
}

// Ids of the targets chosen by many calls at one time, without sending
// anything.
inline std::set<std::string>
chosen(target_table& table, choice_request const& wanted, time_point now) {
    std::set<std::string> out;
    for (int i = 0; i < 100; ++i)
        if (auto const choice = table.choose(wanted, now))
            out.insert(choice->target.target.id.value);
    return out;
}

using ids = std::set<std::string>;

// Ids of the targets that get some of `requests` sent in sequence and all still
// in flight: a recovered target gets a share of the load.
inline ids sharing(target_table& table, choice_request const& wanted,
                   time_point now, int requests = 10) {
    ids out;
    std::vector<target_id> sent;
    for (int i = 0; i < requests; ++i)
        if (auto const choice = table.choose(wanted, now)) {
            sent.push_back(choice->target.target.id);
            table.on_start(sent.back(), now);
            out.insert(sent.back().value);
        }
    for (auto const& id : sent)
        table.on_cancel(id);
    return out;
}

} // namespace yuccabeam::placement
