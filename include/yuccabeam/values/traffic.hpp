#pragma once

#include "yuccabeam/values/asset_register.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/key_digest.hpp"
#include "yuccabeam/values/rules.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam {

/// Size limits and timeouts of client requests and connections.
struct request_limits {
    std::size_t max_head_bytes = 16u << 10;
    std::size_t max_body_bytes = 64u << 20;
    std::chrono::milliseconds head_timeout{10'000};
    std::chrono::milliseconds idle_timeout{60'000};

    bool operator==(request_limits const&) const = default;
};

/// A client account that authenticates its requests with keys.
struct client_account {
    account_id id;
    std::vector<key_digest> keys;
    /// Priority of its requests, 0 is the highest; takes precedence over the
    /// route's.
    std::optional<std::uint32_t> rank;
    double rate = 0;  ///< quota of the fleet in requests per second; 0: none
    double burst = 0; ///< requests that the quota allows at once in addition

    bool operator==(client_account const&) const = default;
};

/// An entry of a configuration that can't be read.
struct rejected_account {
    std::string name;
    std::string reason; ///< names the field, and shows no value of it

    bool operator==(rejected_account const&) const = default;
};

/// An accepted configuration of routes, client accounts and request limits.
struct traffic_policy {
    yuccabeam::revision revision = 0;
    std::vector<route> routes;
    request_limits limits;
    /// Requests need the key of an account, except on anonymous routes.
    bool requires_account = false;
    std::vector<client_account> accounts;
    /// Entries that were left out, as they can't be read.
    std::vector<rejected_account> rejected;

    bool operator==(traffic_policy const&) const = default;
};

/// State of a target as published by the target itself.
struct discovered_target {
    yuccabeam::target target;
    /// Start time of the target's process in milliseconds since the epoch;
    /// distinguishes incarnations of a target with the same id.
    std::int64_t started_ms = 0;
    bool leaving = false;
    /// Remaining warm-up time, during which the target responds slowly.
    std::chrono::milliseconds warm_up_left{0};

    bool operator==(discovered_target const&) const = default;
};

} // namespace yuccabeam
