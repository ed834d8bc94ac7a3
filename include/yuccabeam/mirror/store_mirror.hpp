#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::mirror {

/// A key of the store with its value at one revision.
struct stored_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of the item's last change

    bool operator==(stored_item const&) const = default;
};

/// One change of a key.
struct store_event {
    stored_item item; ///< the value is empty when the key was removed
    bool removed = false;

    bool operator==(store_event const&) const = default;
};

/// A page of a listing. Pages are no snapshot of the store.
struct store_page {
    std::vector<stored_item> items;
    bool more = false;
    std::uint64_t revision = 0; ///< of the store when it answered
};

/// Every change after `base` up to `revision`; with base 0 the whole state.
struct store_changes {
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::vector<store_event> events;

    bool operator==(store_changes const&) const = default;
};

/// Copy of a part of the store, fed by listings, watches and peers.
///
/// The copy only moves forward: its revision never falls, and an item is
/// replaced only by a newer revision of it. Removed keys are remembered for
/// a while, so that another daemon can be given just what it lacks.
class store_mirror {
public:
    /// Takes a whole listing. `revision` is the store's when the first page
    /// was answered; keys that changed later come again with a watch.
    /// Returns false when the copy is already newer.
    bool replace(std::vector<stored_item> items, std::uint64_t revision);

    /// Takes changes. Returns false when some before them are missing here.
    bool apply(store_changes const& changes);

    /// What a copy at `revision` lacks; the whole state when that is no
    /// longer known in parts.
    store_changes changes_since(std::uint64_t revision) const;

    std::uint64_t revision() const { return revision_; }
    stored_item const* find(std::string_view key) const;
    std::vector<stored_item const*> with_prefix(std::string_view prefix) const;

private:
    void apply_event(store_event const& event);
    void limit_removal_history();

    std::uint64_t revision_ = 0;
    std::map<std::string, stored_item, std::less<>> items_;
    std::map<std::string, std::uint64_t, std::less<>> removal_revisions_;
    /// Removals up to this revision are no longer known.
    std::uint64_t removal_history_start_ = 0;
};

} // namespace yuccabeam::mirror
