#pragma once

#include "yuccabeam/limits/quota.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/json_reader.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccabeam::gateway {

/// Settings of one gateway process.
struct settings {
    std::string vm; ///< name of this VM in logs
    failure_domain_id failure_domain;
    std::string callers;   ///< listens for callers' requests, `IP:port`
    std::string readiness; ///< listens for readiness checks, `IP:port`
    std::string control;   ///< listens for daemons, operators and the metrics
                           ///< collector, `IP:port`
    std::string peers;     ///< datagram socket for other daemons, `IP:port`
    std::string store;     ///< address of the key-value store, `IP:port`
    /// Control addresses of daemons that supply a copy of the store while the
    /// store itself can't be read.
    std::vector<std::string> seeds;
    std::vector<std::string> failure_domains; ///< all of the deployment
    /// Cores that this VM may use. Larger VMs become relays first.
    double processor_share = 1;
    /// Speed of this VM's link in Mbit/s. Half of it serves other daemons that
    /// pull a large copy of the store.
    double link_mbps = 100;
    /// Memory that this process may use, in MB (10^6 bytes). Message bodies and
    /// connections of callers take up to half of it together.
    double memory_mb = 256;
    /// Descriptors that this process may open, some of them for files.
    std::size_t max_descriptors = 4'096;
    /// Time from the stop signal to the end of the process.
    std::chrono::milliseconds grace{6'000};
    /// Time after which a leaving target must get no new requests.
    std::chrono::milliseconds leaving_limit{2'000};
    /// Time between two writes of a target that keep its entry in the store.
    /// The entry expires after three of them without a write.
    std::chrono::milliseconds target_heartbeat{1'500};
    /// Turns requests with keys away while the copy of the configuration wasn't
    /// confirmed for `revocation_limit`, as a key may have been removed.
    bool strict_revocation = false;
    std::chrono::milliseconds revocation_limit{5'000};
    /// The whole fleet starts for the first time. It has sent no retries yet,
    /// so its daemons start with full retry credit.
    bool new_fleet = false;
    /// What the fleet may run beyond the quota of a client account.
    limits::quota_bound quota;
    double repeat_ratio = 0.2; ///< retries allowed per request
    /// Retries that the whole fleet may send per window in addition.
    double repeat_slack = 50;
    std::chrono::milliseconds repeat_window{10'000};

    bool operator==(settings const&) const = default;
};

/// Parses settings; returns all errors of the text if there are any.
std::variant<settings, std::vector<json_fault>>
parse_settings(std::string_view text);

} // namespace yuccabeam::gateway
