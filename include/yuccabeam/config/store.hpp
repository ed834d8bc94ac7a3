#pragma once

#include "yuccabeam/config/tree.hpp"
#include "yuccabeam/values/fault.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace yuccabeam::config {

struct versioned_value {
    std::string value;
    std::uint64_t version = 0; ///< a store never uses a version twice

    bool operator==(versioned_value const&) const = default;
};

enum class write_outcome {
    done,
    conflict,       ///< the key has another version
    unknown_effect, ///< the write may or may not have taken effect
    unreachable     ///< the write has not taken effect and will not
};

/// Key-value store with compare-and-swap.
template <class Store>
concept store = requires(Store& store, std::string const& key,
                         std::string const& value, std::uint64_t version) {
    /// Empty when the key is absent.
    { store.read(key) } -> std::same_as<result<std::optional<versioned_value>>>;
    /// Creates the key if it is absent.
    { store.create(key, value) } -> std::same_as<write_outcome>;
    /// Replaces the value if the key has this version.
    { store.replace(key, value, version) } -> std::same_as<write_outcome>;
};

/// Head with the version that a compare-and-swap needs.
struct stored_head {
    head value; ///< revision 0: nothing is accepted yet
    std::uint64_t version = 0;
};

/// Configuration with its head and tree as read from the store.
struct stored_configuration {
    stored_head head;
    item_map items;
    chunk_map chunks; ///< nodes of the tree
};

/// Reads the head.
template <store Store>
result<stored_head> read_head(Store& store) {
    auto read = store.read(std::string(head_key));
    if (!read)
        return read.error();
    if (!read.value())
        return stored_head{};
    auto parsed = parse_head(read.value()->value);
    if (!parsed)
        return parsed.error();
    return stored_head{parsed.value(), read.value()->version};
}

/// Reads a chunk from `cache` or the store and checks its hash. A chunk that
/// is read from the store is added to the cache.
template <store Store>
result<parsed_chunk> read_chunk(Store& store, chunk_hash const& hash,
                                chunk_map& cache) {
    auto place = cache.find(hash);
    if (place == cache.end()) {
        auto read = store.read(chunk_key(hash));
        if (!read)
            return read.error();
        if (!read.value() || hash_of(read.value()->value) != hash)
            return make_fault(fault_code::not_found,
                              "the store has no intact chunk " + hash.value);
        place = cache.emplace(hash, std::move(read.value()->value)).first;
    }
    return parse_chunk(place->second);
}

/// Reads a manifest; a chunk of another kind is a fault.
template <store Store>
result<manifest> read_manifest(Store& store, chunk_hash const& hash,
                               chunk_map& cache) {
    auto chunk = read_chunk(store, hash, cache);
    if (!chunk)
        return chunk.error();
    if (auto* found = std::get_if<manifest>(&chunk.value()))
        return std::move(*found);
    return make_fault(fault_code::invalid_input,
                      "chunk " + hash.value + " is not a manifest");
}

/// Reads the whole tree below `root`.
template <store Store>
result<stored_configuration> read_tree(Store& store, chunk_hash const& root,
                                       chunk_map& cache) {
    stored_configuration out;
    std::vector<chunk_hash> open{root};
    while (!open.empty()) {
        auto const hash = std::move(open.back());
        open.pop_back();
        auto chunk = read_chunk(store, hash, cache);
        if (!chunk)
            return chunk.error();
        out.chunks.emplace(hash, cache.at(hash));
        if (auto* node = std::get_if<inner>(&chunk.value()))
            open.insert(open.end(), node->children.begin(),
                        node->children.end());
        else if (auto* end = std::get_if<leaf>(&chunk.value()))
            for (auto& value : end->items)
                out.items.emplace(key_of(value), std::move(value));
        else
            return make_fault(fault_code::invalid_input,
                              "chunk " + hash.value + " is not a tree node");
    }
    return out;
}

/// Reads the configuration that `head` names.
template <store Store>
result<stored_configuration>
read_configuration(Store& store, stored_head const& head, chunk_map& cache) {
    if (head.value.revision == 0)
        return stored_configuration{};
    auto found = read_manifest(store, head.value.manifest, cache);
    if (!found)
        return found.error();
    auto tree = read_tree(store, found.value().root, cache);
    if (tree)
        tree.value().head = head;
    return tree;
}

/// Reads the newest configuration.
template <store Store>
result<stored_configuration> read_configuration(Store& store,
                                                chunk_map& cache) {
    auto head = read_head(store);
    if (!head)
        return head.error();
    return read_configuration(store, head.value(), cache);
}

/// Newest manifest at or below `from` for which `matches(manifest)` is true.
/// Stops below revision `oldest`.
template <store Store, class Matches>
result<std::optional<head>> find_manifest(Store& store, head from,
                                          revision oldest, chunk_map& cache,
                                          Matches matches) {
    while (from.revision >= oldest && from.revision > 0) {
        auto found = read_manifest(store, from.manifest, cache);
        if (!found)
            return found.error();
        if (matches(found.value()))
            return std::optional(from);
        from = {from.revision - 1, found.value().previous};
    }
    return std::optional<head>();
}

/// Searches the manifest chain from `from` down to the revision after `base`
/// for this edit.
template <store Store>
result<std::optional<head>> find_edit(Store& store, head const& from,
                                      std::string_view edit_id, revision base,
                                      chunk_map& cache) {
    return find_manifest(store, from, base + 1, cache,
                         [&](manifest const& candidate) {
                             return candidate.edit_id == edit_id;
                         });
}

/// Reads an earlier configuration; revision 0 is the empty one.
template <store Store>
result<stored_configuration> read_revision(Store& store, revision wanted,
                                           chunk_map& cache) {
    if (wanted == 0)
        return stored_configuration{};
    auto head = read_head(store);
    if (!head)
        return head.error();
    auto found = find_manifest(store, head.value().value, wanted, cache,
                               [&](manifest const& candidate) {
                                   return candidate.revision == wanted;
                               });
    if (!found)
        return found.error();
    if (!found.value())
        return make_fault(fault_code::invalid_input,
                          "there is no revision " + std::to_string(wanted));
    return read_configuration(store, {*found.value(), 0}, cache);
}

} // namespace yuccabeam::config
