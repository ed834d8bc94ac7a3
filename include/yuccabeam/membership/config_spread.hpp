#pragma once

#include "yuccabeam/membership/membership.hpp"
#include "yuccabeam/membership/messages.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace yuccabeam::membership {

struct spread_options {
    /// Peers that receive an announcement when a new revision is applied.
    std::uint32_t fanout = 3;
    /// Peers to fetch from before falling back to the store.
    std::uint32_t peer_attempts = 3;
    /// Time after which a fetch without an outcome is treated as failed.
    duration fetch_timeout = std::chrono::seconds(2);
    /// Delay before the next fetch after a fetch from the store failed.
    duration retry_delay = std::chrono::seconds(1);

    bool operator==(spread_options const&) const = default;
};

/// Asks the caller to fetch the manifest and the missing chunks, apply them
/// and call `applied`, or to call `fetch_failed`.
struct fetch_request {
    config_digest config;
    /// Peer's HTTP address; empty means the store.
    std::string http_address;

    bool operator==(fetch_request const&) const = default;
};

struct announcement {
    peer to;
    config_announce message;

    bool operator==(announcement const&) const = default;
};

struct spread_counters {
    std::uint64_t announced = 0;
    std::uint64_t fetches = 0;
    std::uint64_t fetch_failures = 0;
    /// Digests with the same revision and different manifests. The store's
    /// compare-and-swap prevents this within one deployment, so a conflict
    /// indicates a second deployment that uses the same key.
    std::uint64_t conflicts = 0;

    bool operator==(spread_counters const&) const = default;
};

/// Selects the peers to announce a new revision to and the source to fetch
/// one from.
///
/// Requests only revisions that are higher than the one in force. At most one
/// fetch is in flight; a higher revision received meanwhile is fetched next.
class config_spread {
public:
    config_spread(config_digest in_force, spread_options const& settings);

    /// Records a revision that this daemon applied and returns the
    /// announcements to send. Lower or equal revisions are ignored.
    std::vector<announcement> applied(config_digest config,
                                      std::string const& own_http_address,
                                      state const& members, random_engine& rng);

    /// Processes a peer's digest from a ping, ack or announcement.
    std::optional<fetch_request> digest_received(received_digest const& digest,
                                                 time_point now);

    /// Records that the fetch in flight yielded no complete and valid
    /// configuration.
    std::optional<fetch_request> fetch_failed(time_point now);

    /// Times out an overdue fetch and retries.
    std::optional<fetch_request> tick(time_point now);

    config_digest const& in_force() const { return in_force_; }
    spread_counters const& counters() const { return counters_; }

private:
    std::optional<fetch_request> next_fetch(time_point now);

    config_digest in_force_;
    spread_options settings_;
    config_digest pending_;
    std::deque<std::string> sources_; ///< peers that announced `pending_`
    std::uint32_t attempts_ = 0;
    std::optional<fetch_request> running_;
    time_point deadline_{};         ///< of the fetch in flight
    time_point retry_not_before_{}; ///< earliest time of the next fetch
    spread_counters counters_;
};

} // namespace yuccabeam::membership
