#include "yuccabeam/gateway/target_entries.hpp"

#include <utility>

namespace yuccabeam::gateway {

target_entries::target_entries(std::string prefix, parser parse)
    : prefix_(std::move(prefix)), parse_(std::move(parse)) {}

// Both sides are in the order of their keys.
std::size_t target_entries::update(mirror::store_mirror const& store) {
    std::size_t rejected = 0;
    auto at = entries_.begin();
    for (auto const* item : store.with_prefix(prefix_)) {
        while (at != entries_.end() && at->first < item->key)
            at = entries_.erase(at);
        bool const known = at != entries_.end() && at->first == item->key;
        if (!known)
            at = entries_.emplace_hint(at, item->key, parsed_entry{});
        if (!known || at->second.revision != item->revision) {
            auto const id = std::string_view(item->key).substr(prefix_.size());
            at->second = {item->revision, parse_(id, item->value)};
            rejected += !at->second.target;
        }
        ++at;
    }
    entries_.erase(at, entries_.end());
    return rejected;
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
