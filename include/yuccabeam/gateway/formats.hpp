#pragma once

#include "yuccabeam/http1/client.hpp"
#include "yuccabeam/mirror/store_mirror.hpp"
#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/traffic.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::gateway {

/// Names of the HTTP header fields exchanged by callers, daemons and targets.
struct header_names {
    std::string request_id;
    std::string time_left_ms;    ///< remaining time until the caller's deadline
    std::string expected_target; ///< id of the only target that may execute it
    std::string not_run;         ///< the target did not execute the request
    std::string response_signature; ///< the target's signature of its response
    /// The target says with the value 1 that it leaves. Not read if empty.
    std::string leaving{};
    /// The client account of a request, for the target. Not sent if empty.
    std::string account{};
};

/// Result of one call to the store, derived from its transport and HTTP status.
enum class store_status {
    ok,
    history_gone, ///< the store no longer keeps changes since that revision
    conflict,
    not_found, ///< no such key or lease
    busy,      ///< rejected without any effect
    failed     ///< no usable response; the effect is unknown
};

struct store_write {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

/// Builds the requests to the key-value store and parses its responses.
/// Addresses and timeouts are set by the caller.
struct store_format {
    std::function<http1::client_request(
        std::string_view prefix, std::string_view after_key, bool may_be_stale)>
        list;
    std::function<std::optional<mirror::store_page>(std::string const& body)>
        read_page;
    std::function<http1::client_request(std::string_view prefix,
                                        std::uint64_t after,
                                        std::chrono::milliseconds wait)>
        watch;
    /// The caller sets `base` of the result.
    std::function<std::optional<mirror::store_changes>(std::string const& body)>
        read_changes;
    std::function<http1::client_request(std::chrono::seconds ttl)> grant_lease;
    std::function<std::optional<std::uint64_t>(std::string const& body)>
        read_lease;
    std::function<http1::client_request(std::uint64_t lease)> renew_lease;
    std::function<http1::client_request(std::uint64_t lease)> revoke_lease;
    std::function<http1::client_request(store_write const& write)> put;
    std::function<store_status(http1::client_result const&)> status;
    /// The era that a response names, 0 if it names none, and empty if the
    /// field can't be read. Without this function the store has no eras.
    std::function<std::optional<std::uint64_t>(http1::message_head const&)> era;
};

/// Keys of the store and the parsers of their values.
struct content_format {
    std::string policy_key;
    std::function<result<traffic_policy>(std::string const& value)> policy;
    std::string target_prefix;
    /// Fails, with a short reason, for an entry that doesn't describe a
    /// usable target.
    std::function<result<discovered_target>(std::string_view id,
                                            std::string const& value)>
        target;
    std::string daemon_prefix; ///< keys under which daemons register
};

/// Names and formats of the deployment, supplied by its adapter.
struct formats {
    header_names headers;
    std::string readiness_path;
    store_format store;
    content_format content;
};

} // namespace yuccabeam::gateway
