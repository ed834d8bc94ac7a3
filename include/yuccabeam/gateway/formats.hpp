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

/// Names of the header fields between callers, daemons and targets.
struct header_names {
    std::string request_id;
    std::string time_left_ms;       ///< time that the caller still waits
    std::string expected_target;    ///< id of the only target that may run it
    std::string not_run;            ///< the target did not run the request
    std::string response_signature; ///< the target's signature of its answer
};

/// How one call to the store ended, beyond its HTTP status.
enum class store_status {
    ok,
    history_gone, ///< changes since the given revision are no longer known
    conflict,
    not_found, ///< no such key or lease
    busy,      ///< refused; nothing was done
    failed     ///< no usable response; the effect is unknown
};

struct store_write {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
};

/// Calls of the key-value service: how each is written and read. Requests
/// come without address and time limits.
struct store_format {
    std::function<http1::client_request(std::string_view prefix,
                                        std::string_view after_key)>
        list;
    std::function<std::optional<mirror::store_page>(std::string const& body)>
        read_page;
    std::function<http1::client_request(std::string_view prefix,
                                        std::uint64_t after,
                                        std::chrono::milliseconds wait)>
        watch;
    /// `base` of the result is left to the caller.
    std::function<std::optional<mirror::store_changes>(std::string const& body)>
        read_changes;
    std::function<http1::client_request(std::chrono::seconds ttl)> grant_lease;
    std::function<std::optional<std::uint64_t>(std::string const& body)>
        read_lease;
    std::function<http1::client_request(std::uint64_t lease)> renew_lease;
    std::function<http1::client_request(std::uint64_t lease)> revoke_lease;
    std::function<http1::client_request(store_write const& write)> put;
    std::function<store_status(http1::client_result const&)> status;
};

/// What the keys of the store mean.
struct content_format {
    std::string policy_key;
    std::function<result<traffic_policy>(std::string const& value)> policy;
    std::string target_prefix;
    /// Fails, with a short reason, for an entry that names no usable target.
    std::function<result<discovered_target>(std::string_view id,
                                            std::string const& value)>
        target;
    std::string daemon_prefix; ///< keys of the daemons' own entries
};

/// The deployment's names and formats, as its adapter supplies them.
struct formats {
    header_names headers;
    std::string readiness_path;
    store_format store;
    content_format content;
};

} // namespace yuccabeam::gateway
