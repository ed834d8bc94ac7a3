#pragma once

#include "yuccabeam/values/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace yuccabeam::routing {

/// Daemons that are considered alive, by failure domain.
using daemons_by_domain = std::map<failure_domain_id, std::vector<daemon_id>>;

struct placed_daemon {
    daemon_id id;
    failure_domain_id failure_domain;

    auto operator<=>(placed_daemon const&) const = default;
};

struct placed_target {
    target_id id;
    failure_domain_id failure_domain;

    auto operator<=>(placed_target const&) const = default;
};

struct home_options {
    std::size_t per_failure_domain = 3;
    /// In a fleet of at most this many daemons, all are home daemons.
    std::size_t small_fleet_size = 64;
};

struct subset_options {
    /// Home daemons that connect to one target. At 6 slots each, 36 daemons use
    /// 216 of a target's 330 connections; the rest is for probes, new
    /// connections and daemons that take over.
    std::size_t homes_per_target = 36;
    /// Targets that one home daemon connects to, if the service has more.
    std::size_t targets_per_daemon = 32;
    /// Minimum number of home daemons of a target.
    std::size_t min_homes = 2;
    /// A daemon connects to at most this multiple of the mean number of
    /// targets, unless a target would get too few home daemons.
    double slack = 1.25;
};

/// Weight of a node for a key (rendezvous hashing; Thaler and Ravishankar,
/// "Using name-based mappings to increase hit rates", 1998). The node with the
/// highest weight is chosen.
std::uint64_t rendezvous_score(std::string_view key, std::string_view node);

/// The home daemons of a service, in rendezvous order over all failure
/// domains. The first one that is alive is the service's arbiter.
std::vector<placed_daemon> home_daemons(service_id const& service,
                                        daemons_by_domain const& daemons,
                                        home_options const& options = {});

/// The daemons that watch the store's `head`, in rendezvous order.
std::vector<placed_daemon> watchers(daemons_by_domain const& daemons,
                                    std::size_t per_failure_domain = 2);

/// The targets of a service that home daemon `self` connects to.
///
/// Each target gets the same number of home daemons, those of its failure
/// domain first and then in rendezvous order, among the daemons below their
/// load bound (consistent hashing with bounded loads; Mirrokni, Thorup and
/// Zadimoghaddam 2018). All daemons compute the same result from the same
/// input.
std::vector<target_id> target_subset(daemon_id const& self,
                                     service_id const& service,
                                     std::span<placed_daemon const> homes,
                                     std::span<placed_target const> targets,
                                     subset_options const& options = {});

} // namespace yuccabeam::routing
