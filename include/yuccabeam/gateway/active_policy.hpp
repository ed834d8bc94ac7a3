#pragma once

#include "yuccabeam/gateway/account_table.hpp"
#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/formats.hpp"
#include "yuccabeam/routing/route_table.hpp"
#include "yuccabeam/telemetry/event_log.hpp"

#include <cstdint>

namespace yuccabeam::gateway {

/// The configuration in force. Its revision never decreases within one process,
/// and a text that can't be parsed leaves it unchanged.
class active_policy {
public:
    active_policy(content_format const& format, telemetry::event_log& log,
                  counters& counters)
        : format_(format), log_(log), counters_(counters) {}

    /// Parses the configuration in the store if its entry has changed since the
    /// last call, and applies it if its revision is newer.
    void update(mirror::store_mirror const& store, time_point now);

    bool empty() const { return policy_.revision == 0; }
    traffic_policy const& policy() const { return policy_; }
    routing::route_table const& routes() const { return routes_; }
    account_table const& accounts() const { return accounts_; }
    /// When the configuration came into force on this daemon.
    time_point applied_at() const { return applied_at_; }

private:
    void reject(mirror::stored_item const& item, fault const& reason);
    void apply(traffic_policy policy, std::uint64_t store_revision);

    content_format const& format_;
    telemetry::event_log& log_;
    counters& counters_;
    traffic_policy policy_;
    routing::route_table routes_;
    account_table accounts_;
    /// The store's revision of the last text that was read.
    std::uint64_t last_read_revision_ = 0;
    time_point applied_at_{};
};

} // namespace yuccabeam::gateway
