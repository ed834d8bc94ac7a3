#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/json_reader.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace yuccabeam {

struct failure_domain {
    failure_domain_id id;

    auto operator<=>(failure_domain const&) const = default;
};

struct service {
    service_id id;
    /// Minimum number of healthy slots that must remain after an ejection.
    std::uint32_t floor_slots = 0;

    auto operator<=>(service const&) const = default;
};

/// A worker process that serves requests of one service.
struct target {
    target_id id;
    service_id service;
    failure_domain_id failure_domain;
    std::string address; ///< `IP:port`
    std::uint32_t slots = 6;
    std::uint32_t connections = 330;

    auto operator<=>(target const&) const = default;
};

/// Inventory of the configured services, targets and failure domains.
struct asset_register {
    std::vector<failure_domain> failure_domains;
    std::vector<service> services;
    std::vector<target> targets;

    bool operator==(asset_register const&) const = default;
};

/// The parse functions mark each field that they read, so that
/// `json_reader::finish()` can report the unknown ones.
failure_domain parse_failure_domain(json_reader& reader);
service parse_service(json_reader& reader);
target parse_target(json_reader& reader);
asset_register parse_asset_register(json_reader& reader);

void to_json(nlohmann::json& out, failure_domain const& value);
void to_json(nlohmann::json& out, service const& value);
void to_json(nlohmann::json& out, target const& value);
void to_json(nlohmann::json& out, asset_register const& value);

} // namespace yuccabeam
