#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::mirror {

/// A key of the store with its value at a revision.
struct stored_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< revision of the item's last change

    bool operator==(stored_item const&) const = default;
};

/// A change of one key.
struct store_event {
    stored_item item; ///< the value is empty if the key was removed
    bool removed = false;

    bool operator==(store_event const&) const = default;
};

/// A page of a listing. The pages of a listing are not one consistent
/// snapshot: the store may change between them.
struct store_page {
    std::vector<stored_item> items;
    bool more = false;
    std::uint64_t revision = 0; ///< of the store at the response
};

/// Every change after `base` up to and including `revision`. If `base` is 0,
/// the events are the complete state at `revision`.
struct store_changes {
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::vector<store_event> events;

    bool operator==(store_changes const&) const = default;
};

/// Replica of a part of the store, updated from listings, watches and peers.
///
/// The revision of the replica never decreases, and an item is replaced only
/// by a newer revision of it. A bounded history of removed keys lets another
/// daemon be sent only the changes that it is missing.
class store_mirror {
public:
    /// Replaces the state by a complete listing. `revision` is the store's
    /// revision at the response with the first page; a watch from there
    /// repeats the keys that changed during the listing. Returns false if the
    /// replica is already newer.
    bool replace(std::vector<stored_item> items, std::uint64_t revision);

    /// Applies changes. Returns false if the replica is missing changes before
    /// them.
    bool apply(store_changes const& changes);

    /// Applies changes that are newer than the replica's revision although it
    /// is missing others before them, so that a small change doesn't wait for a
    /// large one. The revision stays, and what is missing is still applied
    /// later. Returns the events that changed something.
    std::vector<store_event>
    apply_early(std::vector<store_event> const& events);

    /// Changes that a replica at `revision` is missing. The complete state if
    /// the removal history no longer reaches back to `revision`.
    store_changes changes_since(std::uint64_t revision) const;

    std::uint64_t revision() const { return revision_; }
    stored_item const* find(std::string_view key) const;
    std::vector<stored_item const*> with_prefix(std::string_view prefix) const;

private:
    /// Returns whether the event changed something.
    bool apply_event(store_event const& event);
    bool has_newer(std::string const& key, std::uint64_t revision) const;
    std::vector<store_event> changes_after(std::uint64_t revision) const;
    void limit_removal_history();

    std::uint64_t revision_ = 0;
    std::map<std::string, stored_item, std::less<>> items_;
    std::map<std::string, std::uint64_t, std::less<>> removal_revisions_;
    /// Removals at or before this revision are not in the history.
    std::uint64_t removal_history_start_ = 0;
};

} // namespace yuccabeam::mirror
