#include "yuccabeam/gateway/target_entries.hpp"

#include <utility>

namespace yuccabeam::gateway {

target_entries::target_entries(std::string prefix, parser parse)
    : prefix_(std::move(prefix)), parse_(std::move(parse)) {}

void target_entries::parse(mirror::stored_item const& item, parsed_entry& entry,
                           entry_update& out) const {
    entry.revision = item.revision;
    auto read =
        parse_(std::string_view(item.key).substr(prefix_.size()), item.value);
    if (read) {
        entry.target = std::move(read.value());
        entry.reason.clear();
        return;
    }
    entry.target.reset();
    ++out.rejected;
    if (entry.reason == read.error().message)
        return;
    entry.reason = read.error().message;
    out.reasons.push_back({item.key, item.revision, entry.reason});
}

// Merges two sequences sorted by key: the parsed entries and the store's items.
entry_update target_entries::update(mirror::store_mirror const& store) {
    entry_update out;
    auto at = entries_.begin();
    for (auto const* item : store.with_prefix(prefix_)) {
        while (at != entries_.end() && at->first < item->key)
            at = entries_.erase(at);
        bool const known = at != entries_.end() && at->first == item->key;
        if (!known)
            at = entries_.emplace_hint(at, item->key, parsed_entry{});
        if (!known || at->second.revision != item->revision)
            parse(*item, at->second, out);
        ++at;
    }
    entries_.erase(at, entries_.end());
    return out;
}

std::vector<discovered_target> target_entries::targets() const {
    std::vector<discovered_target> out;
    out.reserve(entries_.size());
    for (auto const& [key, entry] : entries_)
        if (entry.target)
            out.push_back(*entry.target);
    return out;
}

} // namespace yuccabeam::gateway
