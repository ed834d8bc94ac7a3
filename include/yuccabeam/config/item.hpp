#pragma once

#include "yuccabeam/config/chunk.hpp"
#include "yuccabeam/values/snapshot.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccabeam::config {

/// Smallest part of a configuration that an edit can change.
using item = std::variant<service, target, failure_domain, route, account,
                          ejection_policy>;

/// Items by key, such as `target/stock-3` or `policy`.
using item_map = std::map<std::string, item>;

std::string key_of(item const& value);

nlohmann::json json_of(item const& value);

/// Hash of an item's canonical text; edits identify the item that they are
/// based on by this hash.
chunk_hash hash_of(item const& value);

/// Reads the item with this key. Faults are added with paths below `path`;
/// the id in the item must match the key.
std::optional<item> parse_item(std::string const& key,
                               nlohmann::json const& value, std::string path,
                               std::vector<json_fault>& faults);

/// Splits a register and rules into items. Ids must be unique.
item_map items_of(asset_register const& reg);
item_map items_of(rules const& rules);
item_map items_of(asset_register const& reg, rules const& rules);

/// Builds a snapshot from items; each list is sorted by id.
snapshot assemble(item_map const& items, yuccabeam::revision revision);

/// Replaces the items of `removed` by those of `added` in a snapshot whose
/// lists are sorted by id. Costs a copy of the snapshot and no parsing.
snapshot replace_items(snapshot base, std::vector<item> const& removed,
                       std::vector<item> const& added);

/// Faults of the whole configuration; see `yuccabeam::check`.
std::vector<json_fault> check(item_map const& items);

} // namespace yuccabeam::config
