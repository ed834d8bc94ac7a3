#pragma once

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
    std::string callers;   ///< requests, `IP:port`
    std::string readiness; ///< balancer's check, `IP:port`
    std::string control;   ///< daemons, operators and metrics, `IP:port`
    std::string peers;     ///< datagrams between daemons, `IP:port`
    std::string store;     ///< key-value service, `IP:port`
    /// Control addresses of daemons to ask for what the store can't give.
    std::vector<std::string> seeds;
    std::vector<std::string> failure_domains; ///< all of the deployment
    /// Time from the stop signal to the end of the process.
    std::chrono::milliseconds grace{6'000};
    /// Time after which a leaving target must get no new work.
    std::chrono::milliseconds leaving_limit{2'000};
    /// The whole fleet starts for the first time, so it has repeated nothing.
    bool new_fleet = false;
    double repeat_ratio = 0.2; ///< repeats allowed for each request
    double repeat_slack = 50;  ///< repeats allowed on top in one window
    std::chrono::milliseconds repeat_window{10'000};

    bool operator==(settings const&) const = default;
};

/// Settings, or every fault of the text.
std::variant<settings, std::vector<json_fault>>
parse_settings(std::string_view text);

} // namespace yuccabeam::gateway
