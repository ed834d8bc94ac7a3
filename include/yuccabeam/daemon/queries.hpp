#pragma once

#include "yuccabeam/config/readiness.hpp"
#include "yuccabeam/daemon/config_keeper.hpp"
#include "yuccabeam/daemon/peer_hub.hpp"
#include "yuccabeam/daemon/proxy.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace yuccabeam::daemon {

/// What operators' queries read.
struct query_sources {
    health::observer_identity self;
    proxy& requests;
    peer_hub& peers;
    config_keeper& configuration;
    std::function<config::readiness()> readiness;
};

/// Answers a query of `yuccabeamctl`: `status`, `explain_config`, or with the
/// id of one thing `explain_service`, `explain_target`, `explain_request`.
///
/// The answer has the fields `text`, sentences for a person, and `data`, the
/// same facts for a program. An unknown method or name gives `error`.
nlohmann::json answer_query(query_sources const& sources,
                            std::string const& method, std::string const& id);

} // namespace yuccabeam::daemon
