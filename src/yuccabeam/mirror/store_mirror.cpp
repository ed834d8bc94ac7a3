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
    auto const early = changes_after(revision);
    items_ = std::move(next);
    revision_ = revision;
    // A listing doesn't show which keys were removed since the old revision.
    removal_revisions_.clear();
    removal_history_start_ = revision;
    apply_early(early);
    return true;
}

std::vector<store_event>
store_mirror::changes_after(std::uint64_t revision) const {
    std::vector<store_event> out;
    for (auto const& [key, item] : items_)
        if (item.revision > revision)
            out.push_back({item, false});
    for (auto const& [key, at] : removal_revisions_)
        if (at > revision)
            out.push_back({{key, "", at}, true});
    return out;
}

bool store_mirror::has_newer(std::string const& key,
                             std::uint64_t revision) const {
    auto const item = items_.find(key);
    auto const removal = removal_revisions_.find(key);
    return (item != items_.end() && item->second.revision >= revision) ||
           (removal != removal_revisions_.end() && removal->second >= revision);
}

bool store_mirror::apply_event(store_event const& event) {
    auto const& item = event.item;
    // The replica contains every change up to its revision, removals included,
    // so an older event could only restore a removed key.
    if (item.revision <= revision_ || has_newer(item.key, item.revision))
        return false;
    if (event.removed) {
        items_.erase(item.key);
        removal_revisions_[item.key] = item.revision;
    } else {
        removal_revisions_.erase(item.key);
        items_[item.key] = item;
    }
    return true;
}

std::vector<store_event>
store_mirror::apply_early(std::vector<store_event> const& events) {
    std::vector<store_event> out;
    for (auto const& event : events)
        if (apply_event(event))
            out.push_back(event);
    return out;
}

void store_mirror::limit_removal_history() {
    if (removal_revisions_.size() <= max_remembered_removals)
        return;
    std::erase_if(removal_revisions_,
                  [&](auto const& one) { return one.second <= revision_; });
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
    if (incremental)
        return {revision, revision_, changes_after(revision)};
    store_changes out{0, revision_, {}};
    for (auto const& [key, item] : items_)
        out.events.push_back({item, false});
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
