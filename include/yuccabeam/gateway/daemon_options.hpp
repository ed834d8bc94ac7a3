#pragma once

#include "yuccabeam/gateway/copy_sharing.hpp"
#include "yuccabeam/gateway/drain.hpp"
#include "yuccabeam/gateway/peer_link.hpp"
#include "yuccabeam/gateway/quota_service.hpp"
#include "yuccabeam/gateway/settings.hpp"
#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/placement/retry_budget.hpp"
#include "yuccabeam/placement/target_table.hpp"
#include "yuccabeam/values/ids.hpp"

#include <cstddef>

namespace yuccabeam::gateway {

/// An incarnation for a process that starts now: microseconds of the system
/// clock.
incarnation new_incarnation();

/// Options of a daemon's components, derived from its settings.
placement::target_table_options
target_table_options_of(settings const& settings);
placement::retry_budget_options budget_options_of(settings const& settings);
placement::initial_credit initial_credit_of(settings const& settings);
peer_link_options peer_link_options_of(settings const& settings);
quota_service_options quota_service_options_of(settings const& settings);
copy_sharing_options copy_sharing_options_of(settings const& settings);
drain_options drain_options_of(settings const& settings);
/// Limits for callers, from the memory and from the descriptors that the
/// settings and the operating system allow. `system_descriptors` is the
/// process's own limit.
http1::server_options caller_options_of(settings const& settings,
                                        std::size_t system_descriptors);
/// Soft limit of open descriptors of this process.
std::size_t system_descriptor_limit();
/// Memory for the message bodies and caller connections together; the rest is
/// for the daemon's own state and the kernel's buffers.
std::size_t body_bytes_of(settings const& settings);

} // namespace yuccabeam::gateway
