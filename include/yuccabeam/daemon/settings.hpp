#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/json_reader.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccabeam::daemon {

/// Settings of one daemon process.
struct settings {
    std::string deployment;
    daemon_id daemon;
    failure_domain_id failure_domain;
    std::string listen;       ///< callers, `IP:port`
    std::string metrics;      ///< Prometheus, `IP:port`
    std::string peer;         ///< UDP messages from daemons, `IP:port`
    std::string peer_http;    ///< chunks and relayed requests, `IP:port`
    std::string operator_rpc; ///< JSON-RPC from yuccabeamctl, `IP:port`
    std::string store;        ///< key-value service, `IP:port`
    std::string vm_list;      ///< platform's VM list, `IP:port`
    std::string shared_key;   ///< authenticates messages between daemons
    unsigned threads = 2;     ///< for callers; one more serves targets
    std::size_t max_body_bytes = 1 << 20;
    /// Time between the loss of readiness and the end of accepting.
    std::chrono::milliseconds drain_notice{2'000};
    /// Time for running requests to end after a stop signal.
    std::chrono::milliseconds drain_limit = std::chrono::hours(1);
    std::string log_level = "info";
    std::string log_file;

    bool operator==(settings const&) const = default;
};

/// Settings, or every fault of the text.
std::variant<settings, std::vector<json_fault>>
parse_settings(std::string_view text);

} // namespace yuccabeam::daemon
