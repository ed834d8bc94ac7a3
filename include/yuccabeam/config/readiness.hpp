#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::config {

struct readiness_options {
    /// Time after the start during which answers of peers are collected.
    duration peer_wait = std::chrono::seconds(1);
    /// Maximum wait for the members of the VM list while the store is down.
    duration member_wait = std::chrono::seconds(5);
    /// Time without contact to the store or a peer after which a daemon is
    /// isolated.
    duration isolation = std::chrono::seconds(30);
    /// Relative jitter of `isolation`, so that daemons don't leave the load
    /// balancer at the same time.
    double isolation_jitter = 0.2;
};

/// Status of a peer as a starting daemon knows it.
struct peer_status {
    daemon_id id;
    bool answered = false;
    bool failed = false; ///< unreachable; a later answer clears it
    bool ready = false;
    yuccabeam::revision revision = 0;
};

enum class store_status { not_asked, answered, down };

/// Input of `decide_readiness`.
struct start_view {
    time_point started;
    time_point now;
    store_status store = store_status::not_asked;
    revision store_head = 0; ///< valid when the store answered
    bool vm_list_known = false;
    std::vector<peer_status> peers; ///< live members of the VM list and others
    revision applied = 0;
};

struct readiness {
    bool ready = false;
    revision needed = 0; ///< lowest revision to apply before being ready
    std::string reason;  ///< for operators

    bool operator==(readiness const&) const = default;
};

/// Decides whether a daemon may accept requests after its start.
readiness decide_readiness(start_view const& view,
                           readiness_options const& options = {});

/// Times of the last contact of a running daemon with the store and a peer.
struct contacts {
    std::optional<time_point> store;
    std::optional<time_point> peer;
    time_point started;
};

/// True if there was no contact with the store or a peer for the isolation
/// time. `random` in [0, 1) is drawn once per daemon and determines the jitter.
bool is_isolated(contacts const& contacts, time_point now, double random,
                 readiness_options const& options = {});

/// True for the third of the fleet, rounded up, that keeps serving when it
/// is isolated. Ranks are derived from a hash of the id, as in rendezvous
/// hashing, so all daemons with the same list agree on the result.
bool stays_when_isolated(daemon_id const& self,
                         std::vector<daemon_id> const& fleet);

} // namespace yuccabeam::config
