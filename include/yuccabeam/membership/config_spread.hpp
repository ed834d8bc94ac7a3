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
    /// Peers that hear of a new revision at once.
    std::uint32_t fanout = 3;
    /// Peers tried before the store.
    std::uint32_t peer_attempts = 3;
    /// A fetch without an outcome counts as failed after this.
    duration fetch_timeout = std::chrono::seconds(2);
    /// Wait after the store failed too.
    duration retry_delay = std::chrono::seconds(1);

    bool operator==(spread_options const&) const = default;
};

/// Fetch the manifest and the chunks that are missing, apply them and call
/// `applied`, or `fetch_failed`.
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
    /// Two manifests with one revision; the store's compare-and-swap rules
    /// this out, so it points at a second deployment with the same key.
    std::uint64_t conflicts = 0;

    bool operator==(spread_counters const&) const = default;
};

/// Decides whom to tell of a new revision, and whom to fetch one from.
///
/// Never asks for a revision that is not higher than the one in force. One
/// fetch runs at a time; a higher revision heard meanwhile is next.
class config_spread {
public:
    config_spread(config_digest in_force, spread_options const& settings);

    /// A revision came into force here. Lower or equal ones are ignored.
    std::vector<announcement> applied(config_digest config,
                                      std::string const& own_http_address,
                                      state const& members, random_engine& rng);

    /// A peer's digest, from a ping, ack or announcement.
    std::optional<fetch_request> digest_received(received_digest const& digest,
                                                 time_point now);

    /// The running fetch gave no complete and valid configuration.
    std::optional<fetch_request> fetch_failed(time_point now);

    /// Ends overdue fetches and retries.
    std::optional<fetch_request> tick(time_point now);

    config_digest const& in_force() const { return in_force_; }
    spread_counters const& counters() const { return counters_; }

private:
    std::optional<fetch_request> next_fetch(time_point now);

    config_digest in_force_;
    spread_options settings_;
    config_digest pending_;
    std::deque<std::string> sources_; ///< peers that have `pending_`
    std::uint32_t attempts_ = 0;
    std::optional<fetch_request> running_;
    time_point deadline_{};         ///< of the running fetch
    time_point retry_not_before_{}; ///< next try after a failed store
    spread_counters counters_;
};

} // namespace yuccabeam::membership
