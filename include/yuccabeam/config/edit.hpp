#pragma once

#include "yuccabeam/config/chunk.hpp"
#include "yuccabeam/config/item.hpp"

#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::config {

/// Change of one item.
struct operation {
    std::string key;
    std::optional<item> value;      ///< empty: delete
    std::optional<chunk_hash> base; ///< hash before the change; empty: absent

    bool operator==(operation const&) const = default;
};

/// Atomic change of one or more items.
struct edit {
    std::string id; ///< see `make_edit_id`
    std::string author;
    std::vector<operation> operations;

    bool operator==(edit const&) const = default;
};

/// Id of an edit that starts from revision `base`: `r<base>-<random>`. The
/// revision bounds how far back the manifest chain has to be searched.
std::string make_edit_id(revision base, std::uint64_t random);

/// Revision in an edit id; empty when the id has another form.
std::optional<revision> base_of_edit_id(std::string_view id);

/// Concurrent changes of one item.
struct conflict {
    std::string key;
    std::optional<chunk_hash> base; ///< hash of the item this edit is based on
    std::optional<item> accepted;   ///< item in force
    std::optional<item> wanted;     ///< item as this edit sets it

    bool operator==(conflict const&) const = default;
};

/// Operations that turn `from` into `to`.
std::vector<operation> diff(item_map const& from, item_map const& to);

struct rebased {
    item_map items;
    std::vector<conflict> conflicts;
};

/// Applies an edit to the configuration in force. An item that already has
/// the value the edit sets is no conflict; any other item whose hash differs
/// from the operation's base is one.
rebased rebase(item_map current, edit const& edit);

} // namespace yuccabeam::config
