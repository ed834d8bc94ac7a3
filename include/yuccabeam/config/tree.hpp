#pragma once

#include "yuccabeam/config/chunk.hpp"
#include "yuccabeam/config/item.hpp"
#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/ids.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccabeam::config {

/// Target size of a leaf. A change writes one leaf and the inner nodes above
/// it; with 8 KiB one change in two years' configuration (137,000 items)
/// costs each daemon a few KiB, which 2 KB/s of control traffic can carry.
inline constexpr std::size_t leaf_bytes = 8192;

/// Chunk texts by hash.
using chunk_map = std::map<chunk_hash, std::string>;

/// Items as a Merkle tree of chunks.
///
/// The hexadecimal digits of the SHA-256 of its key determine an item's
/// position. A node whose items exceed `leaf_bytes` is split by the next digit,
/// so the tree depends on the items only and not on the order of edits.
struct tree {
    chunk_hash root;
    chunk_map chunks;
};

tree build_tree(item_map const& items);

/// Published record of one accepted edit.
struct manifest {
    yuccabeam::revision revision = 0;
    chunk_hash previous; ///< empty for the first revision
    chunk_hash root;
    std::string edit_id;
    std::string author;

    bool operator==(manifest const&) const = default;
};

/// Value of the store's `head` and content of an announcement.
struct head {
    yuccabeam::revision revision = 0;
    chunk_hash manifest;

    auto operator<=>(head const&) const = default;
};

std::string text_of(manifest const& value);
std::string text_of(head const& value);

struct leaf {
    std::vector<item> items;
};

struct inner {
    std::vector<chunk_hash> children;
};

using parsed_chunk = std::variant<manifest, inner, leaf>;

result<parsed_chunk> parse_chunk(std::string_view text);
result<head> parse_head(std::string_view text);

} // namespace yuccabeam::config
