#pragma once

#include "yuccabeam/values/asset_register.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/rules.hpp"

#include <memory>

namespace yuccabeam {

/// One accepted configuration. Immutable once shared.
struct snapshot {
    yuccabeam::revision revision = 0;
    yuccabeam::asset_register asset_register;
    yuccabeam::rules rules;

    bool operator==(snapshot const&) const = default;
};

using snapshot_ptr = std::shared_ptr<snapshot const>;

/// Checks references and totals over the whole configuration: unknown
/// service or failure domain, duplicate id or address, floor above capacity,
/// route that can never match. Returns every fault.
std::vector<json_fault> check(asset_register const& reg, rules const& rules);

} // namespace yuccabeam
