#include "yuccabeam/config/replica.hpp"

#include <iterator>
#include <utility>

namespace yuccabeam::config {

namespace {

/// Maximum number of announced revisions that are kept, as fallbacks in case
/// no source can supply the highest.
constexpr std::size_t max_announced = 8;

} // namespace

void replica::announce(head const& announced) {
    if (announced.revision <= applied_.revision ||
        unreadable_manifests_.contains(announced.manifest))
        return;
    auto const before = pending();
    announced_.emplace(announced.revision, announced.manifest);
    if (announced_.size() > max_announced)
        announced_.erase(announced_.begin());
    if (pending() != before)
        start_highest();
}

std::optional<head> replica::pending() const {
    if (announced_.empty())
        return std::nullopt;
    return head{announced_.rbegin()->first, announced_.rbegin()->second};
}

std::vector<chunk_hash> replica::missing(std::size_t limit) const {
    std::vector<chunk_hash> out;
    for (auto const& hash : missing_) {
        if (out.size() == limit)
            break;
        out.push_back(hash);
    }
    return out;
}

std::string const* replica::chunk(chunk_hash const& hash) const {
    auto const place = chunks_.find(hash);
    return place == chunks_.end() ? nullptr : &place->second;
}

std::size_t replica::chunk_bytes() const {
    std::size_t bytes = 0;
    for (auto const& [hash, text] : chunks_)
        bytes += text.size();
    return bytes;
}

replica::offer_outcome replica::offer(chunk_hash const& hash,
                                      std::string text) {
    if (!missing_.contains(hash))
        return offer_outcome::not_requested;
    if (hash_of(std::string_view(text)) != hash)
        return offer_outcome::wrong_hash;
    missing_.erase(hash);
    chunks_.insert_or_assign(hash, std::move(text));
    if (!expand(hash)) {
        ++rejected_;
        unreadable_manifests_.insert(pending()->manifest);
        abandon();
        return offer_outcome::unreadable;
    }
    if (!missing_.empty())
        return offer_outcome::stored;
    apply_pending();
    return offer_outcome::applied;
}

void replica::abandon() {
    if (announced_.empty())
        return;
    announced_.erase(std::prev(announced_.end()));
    start_highest();
}

void replica::start_highest() {
    while (auto const next = pending()) {
        missing_.clear();
        visited_.clear();
        pending_leaves_.clear();
        if (add_to_pending(next->manifest)) {
            if (missing_.empty())
                apply_pending();
            return;
        }
        ++rejected_;
        unreadable_manifests_.insert(next->manifest);
        announced_.erase(std::prev(announced_.end()));
    }
    missing_.clear();
}

/// Adds a chunk to the pending tree. False if the tree can't be parsed.
// The depth is bounded: a chunk can't contain its own hash.
// NOLINTNEXTLINE(misc-no-recursion)
bool replica::add_to_pending(chunk_hash const& hash) {
    if (!visited_.insert(hash).second)
        return true;
    if (chunks_.contains(hash))
        return expand(hash);
    missing_.insert(hash);
    return true;
}

// NOLINTNEXTLINE(misc-no-recursion)
bool replica::expand(chunk_hash const& hash) {
    if (leaves_.contains(hash)) {
        pending_leaves_.insert(hash);
        return true;
    }
    auto const parsed = parse_chunk(chunks_.at(hash));
    if (!parsed)
        return false;
    auto const next = pending();
    auto const* found = std::get_if<manifest>(&parsed.value());
    if ((found != nullptr) != (hash == next->manifest))
        return false;
    if (found)
        return found->revision == next->revision && add_to_pending(found->root);
    if (auto const* node = std::get_if<inner>(&parsed.value())) {
        for (auto const& child : node->children)
            if (!add_to_pending(child))
                return false;
        return true;
    }
    pending_leaves_.insert(hash);
    return true;
}

/// Makes the complete pending revision the current one.
void replica::apply_pending() {
    std::vector<item> removed;
    std::vector<item> added;
    auto const collect = [&](chunk_hash const& hash, std::vector<item>& out) {
        auto parsed = parse_chunk(chunks_.at(hash));
        auto& items = std::get<leaf>(parsed.value()).items;
        out.insert(out.end(), std::make_move_iterator(items.begin()),
                   std::make_move_iterator(items.end()));
    };
    for (auto const& hash : leaves_)
        if (!pending_leaves_.contains(hash))
            collect(hash, removed);
    for (auto const& hash : pending_leaves_)
        if (!leaves_.contains(hash))
            collect(hash, added);
    auto next =
        replace_items(current_ ? *current_ : snapshot{}, removed, added);
    applied_ = *pending();
    next.revision = applied_.revision;
    current_ = std::make_shared<snapshot const>(std::move(next));
    leaves_ = std::move(pending_leaves_);
    pending_leaves_.clear();
    std::erase_if(chunks_, [&](auto const& chunk) {
        return !visited_.contains(chunk.first);
    });
    visited_.clear();
    announced_.clear();
}

} // namespace yuccabeam::config
