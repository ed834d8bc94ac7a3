#pragma once

#include "yuccabeam/config/edit.hpp"
#include "yuccabeam/config/tree.hpp"
#include "yuccabeam/values/fault.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace yuccabeam::config {

struct versioned_value {
    std::string value;
    std::uint64_t version = 0; ///< a store never uses a version twice
};

enum class write_outcome {
    done,
    conflict,       ///< the key has another version
    unknown_effect, ///< the write may or may not have taken effect
    unreachable     ///< the write has not taken effect
};

/// Key-value service as publishing uses it.
template <class Store>
concept store = requires(Store& store, std::string const& key,
                         std::string const& value, std::uint64_t version) {
    { store.read(key) } -> std::same_as<result<std::optional<versioned_value>>>;
    /// Creates the key if it is absent.
    { store.create(key, value) } -> std::same_as<write_outcome>;
    /// Replaces the value if the key has this version.
    { store.replace(key, value, version) } -> std::same_as<write_outcome>;
};

/// The edit is in force from this revision on.
struct published {
    head accepted;
    bool operator==(published const&) const = default;
};
/// Everything already is as the edit wants it; nothing was written.
struct unchanged {
    yuccabeam::revision revision = 0;
    bool operator==(unchanged const&) const = default;
};
struct conflicted {
    yuccabeam::revision revision = 0;
    std::vector<conflict> conflicts;
};
struct invalid {
    std::vector<json_fault> faults;
};
/// The edit may or may not be in force, now or later; `settle` finds out.
struct unknown {
    std::string message;
};
/// The edit is not in force and will not be.
struct not_published {
    fault reason;
};

using publish_outcome = std::variant<published, unchanged, conflicted, invalid,
                                     unknown, not_published>;

struct publish_options {
    /// Tries against a head that other operators move.
    int rebases = 16;
    /// Tries of one step whose reply was lost.
    int repeats = 4;
};

/// A configuration as the store holds it.
struct stored_configuration {
    yuccabeam::config::head head; ///< revision 0: nothing accepted yet
    std::uint64_t head_version = 0;
    yuccabeam::config::manifest manifest;
    item_map items;
    chunk_map chunks; ///< of the tree, for comparison and as a cache
};

struct stored_head {
    yuccabeam::config::head head;
    std::uint64_t version = 0;
};

/// Whether an edit was accepted.
struct settled {
    std::optional<revision> accepted; ///< empty: never was, never will be
    yuccabeam::revision head = 0;
};

} // namespace yuccabeam::config
