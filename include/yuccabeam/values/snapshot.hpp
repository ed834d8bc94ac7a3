#pragma once

#include "yuccabeam/values/asset_register.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/rules.hpp"

#include <memory>

namespace yuccabeam {

/// An accepted configuration, immutable once shared.
struct snapshot {
    yuccabeam::revision revision = 0;
    yuccabeam::asset_register asset_register;
    yuccabeam::rules rules;

    bool operator==(snapshot const&) const = default;
};

using snapshot_ptr = std::shared_ptr<snapshot const>;

/// Validates the configuration as a whole and returns all faults: unknown
/// service or failure domain, duplicate id or address, capacity floor above the
/// service's capacity, and route that can never match because an earlier one
/// has the same host and path prefix.
std::vector<json_fault> check(asset_register const& reg, rules const& rules);

} // namespace yuccabeam
