#pragma once

#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/peer_link.hpp"
#include "yuccabeam/gateway/quota_service.hpp"
#include "yuccabeam/gateway/store_sync.hpp"
#include "yuccabeam/http1/client.hpp"
#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/placement/target_table.hpp"
#include "yuccabeam/telemetry/event_log.hpp"
#include "yuccabeam/values/time.hpp"

namespace yuccabeam::gateway {

/// Components of a daemon whose state is exported as gauges.
struct gauge_sources {
    placement::target_table const& target_table;
    store_sync const& store;
    telemetry::event_log const& log;
    http1::client const& targets;
    http1::server const& callers;
    peer_link const& peers;
    http1::memory_budget const& memory;
};

void set_gauges(counters& out, gauge_sources const& from, time_point now);
void set_quota_gauges(counters& out, quota_service& from, time_point now);

} // namespace yuccabeam::gateway
