#include "yuccabeam/mirror/store_mirror.hpp"

#include <algorithm>

namespace yuccabeam::mirror {

namespace {

// Size of the removal history, in keys. The history is cleared when it
// exceeds this size.
constexpr std::size_t max_remembered_removals = 2'000;

} // namespace

bool store_mirror::replace(std::vector<stored_item> items,
                           std::uint64_t revision) {
    if (revision < revision_)
        return false;
    std::map<std::string, stored_item, std::less<>> next;
    for (auto& item : items) {
        auto key = item.key;
        next.emplace(std::move(key), std::move(item));
    }
    items_ = std::move(next);
    revision_ = revision;
    // A listing doesn't show which keys were removed since the old revision.
    removal_revisions_.clear();
    removal_history_start_ = revision;
    return true;
}

void store_mirror::apply_event(store_event const& event) {
    auto const& item = event.item;
    // The replica contains every change up to its revision, removals
    // included, so an older event could only restore a removed key.
    if (item.revision <= revision_)
        return;
    auto const existing = items_.find(item.key);
    if (existing != items_.end() && existing->second.revision >= item.revision)
        return;
    if (event.removed) {
        if (existing != items_.end())
            items_.erase(existing);
        removal_revisions_[item.key] = item.revision;
    } else {
        removal_revisions_.erase(item.key);
        items_[item.key] = item;
    }
}

void store_mirror::limit_removal_history() {
    if (removal_revisions_.size() <= max_remembered_removals)
        return;
    removal_revisions_.clear();
    removal_history_start_ = revision_;
}

bool store_mirror::apply(store_changes const& changes) {
    if (changes.base == 0 && changes.revision > 0) {
        if (changes.revision <= revision_)
            return true;
        std::vector<stored_item> items;
        for (auto const& event : changes.events)
            if (!event.removed)
                items.push_back(event.item);
        return replace(std::move(items), changes.revision);
    }
    if (changes.base > revision_)
        return false;
    for (auto const& event : changes.events)
        apply_event(event);
    revision_ = std::max(revision_, changes.revision);
    limit_removal_history();
    return true;
}

store_changes store_mirror::changes_since(std::uint64_t revision) const {
    bool const incremental = revision > 0 && revision >= removal_history_start_;
    store_changes out{incremental ? revision : 0, revision_, {}};
    for (auto const& [key, item] : items_)
        if (!incremental || item.revision > revision)
            out.events.push_back({item, false});
    if (incremental)
        for (auto const& [key, at] : removal_revisions_)
            if (at > revision)
                out.events.push_back({{key, "", at}, true});
    return out;
}

stored_item const* store_mirror::find(std::string_view key) const {
    auto const found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second;
}

std::vector<stored_item const*>
store_mirror::with_prefix(std::string_view prefix) const {
    std::vector<stored_item const*> out;
    for (auto at = items_.lower_bound(prefix);
         at != items_.end() && at->first.starts_with(prefix); ++at)
        out.push_back(&at->second);
    return out;
}

} // namespace yuccabeam::mirror
