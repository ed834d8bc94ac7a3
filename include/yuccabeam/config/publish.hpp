#pragma once

#include "yuccabeam/config/edit.hpp"
#include "yuccabeam/config/store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace yuccabeam::config {

/// The edit is in force from this revision on.
struct published {
    head accepted;

    bool operator==(published const&) const = default;
};

/// The configuration already contains the edit; nothing was written.
struct unchanged {
    yuccabeam::revision revision = 0;

    bool operator==(unchanged const&) const = default;
};

/// Another operator changed the same items. The edit is not in force.
struct conflicted {
    yuccabeam::revision revision = 0;
    std::vector<conflict> conflicts;
};

/// The resulting configuration is invalid. The edit is not in force.
struct invalid {
    std::vector<json_fault> faults;
};

/// The edit may be in force, now or later; `settle` determines whether it is.
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
    /// Maximum attempts while other operators change the head.
    int rebases = 16;
    /// Maximum attempts of one write that got no reply.
    int repeats = 4;
};

/// Manifest and tree of the revision that an edit creates.
struct prepared {
    head next;
    chunk_map chunks; ///< chunks that the current revision lacks
};

/// Builds the revision after `current`.
prepared prepare(stored_configuration const& current, item_map const& items,
                 edit const& edit);

/// Publishes one edit.
///
/// A retried compare-and-swap uses the same version and the same value, so at
/// most one of the attempts takes effect. Once the head has another version,
/// none of them can take effect any more, and the manifest chain shows whether
/// one did. Only then is the edit rebased and written again.
template <store Store>
class publisher {
public:
    publisher(Store& store, publish_options options, chunk_map& cache)
        : store_(&store), options_(options), cache_(&cache) {}

    publish_outcome run(edit const& edit) {
        for (int i = 0; i < options_.rebases; ++i)
            if (auto outcome = try_on_newest(edit))
                return *std::move(outcome);
        return stop(make_fault(fault_code::conflict,
                               "other operators changed the configuration at "
                               "each of " +
                                   std::to_string(options_.rebases) +
                                   " tries"));
    }

private:
    using maybe_outcome = std::optional<publish_outcome>;

    publish_outcome stop(fault reason) const {
        if (uncertain_version_)
            return unknown{std::move(reason.message)};
        return not_published{std::move(reason)};
    }

    /// Empty if the head changed and the edit has to be rebased.
    maybe_outcome try_on_newest(edit const& edit) {
        auto const base = base_of_edit_id(edit.id);
        if (!base)
            return not_published{make_fault(fault_code::invalid_input,
                                            "the edit has no valid id")};
        auto const head = read_head(*store_);
        if (!head)
            return stop(head.error());
        // The store reported a version conflict for the compare-and-swap with
        // the unknown outcome, so this head comes from a lagging replica of
        // the store.
        if (uncertain_version_ && head.value().version <= *uncertain_version_)
            return std::nullopt;
        auto const found =
            find_edit(*store_, head.value().value, edit.id, *base, *cache_);
        if (!found)
            return stop(found.error());
        if (found.value())
            return published{*found.value()};
        uncertain_version_.reset();
        auto const current = read_configuration(*store_, head.value(), *cache_);
        if (!current)
            return stop(current.error());
        return apply(edit, current.value());
    }

    maybe_outcome apply(edit const& edit, stored_configuration const& current) {
        auto next = rebase(current.items, edit);
        auto const revision = current.head.value.revision;
        if (!next.conflicts.empty())
            return conflicted{revision, std::move(next.conflicts)};
        if (next.items == current.items)
            return unchanged{revision};
        if (auto faults = check(next.items); !faults.empty())
            return invalid{std::move(faults)};
        auto const prepared = prepare(current, next.items, edit);
        // Content that the replicas could not parse must not be accepted.
        for (auto const& [hash, text] : prepared.chunks)
            if (auto const read = parse_chunk(text); !read)
                return not_published{read.error()};
        for (auto const& [hash, text] : prepared.chunks)
            if (!write_chunk(hash, text))
                return stop(make_fault(fault_code::unreachable,
                                       "the store takes no chunks"));
        return swap_head(edit, prepared.next, current.head.version);
    }

    bool write_chunk(chunk_hash const& hash, std::string const& text) {
        for (int i = 0; i < options_.repeats; ++i) {
            switch (store_->create(chunk_key(hash), text)) {
            case write_outcome::done:
            case write_outcome::conflict: // the same content by construction
                cache_->emplace(hash, text);
                return true;
            case write_outcome::unknown_effect:
            case write_outcome::unreachable:
                break;
            }
        }
        return false;
    }

    maybe_outcome swap_head(edit const& edit, head const& next,
                            std::uint64_t version) {
        auto const key = std::string(head_key);
        auto const value = text_of(next);
        for (int i = 0; i < options_.repeats; ++i) {
            auto const outcome = version == 0
                                     ? store_->create(key, value)
                                     : store_->replace(key, value, version);
            if (outcome == write_outcome::done)
                return published{next};
            if (outcome == write_outcome::conflict)
                return std::nullopt;
            if (outcome == write_outcome::unknown_effect)
                uncertain_version_ = version;
        }
        return look_up(edit);
    }

    /// Searches the chain once more after no attempt was answered.
    publish_outcome look_up(edit const& edit) {
        auto const no_reply = make_fault(fault_code::unreachable,
                                         "the store does not answer writes");
        if (!uncertain_version_)
            return stop(no_reply);
        auto const head = read_head(*store_);
        if (!head)
            return stop(no_reply);
        auto const found = find_edit(*store_, head.value().value, edit.id,
                                     *base_of_edit_id(edit.id), *cache_);
        if (found && found.value())
            return published{*found.value()};
        return stop(no_reply);
    }

    Store* store_;
    publish_options options_;
    chunk_map* cache_;
    /// The compare-and-swap against this version may have taken effect without
    /// a reply.
    std::optional<std::uint64_t> uncertain_version_;
};

/// Publishes one edit; see `publisher`. The edit's id must be unused.
template <store Store>
publish_outcome publish(Store& store, edit const& edit, chunk_map& cache,
                        publish_options const& options = {}) {
    return publisher<Store>(store, options, cache).run(edit);
}

/// Final outcome of an edit whose outcome was unknown.
struct settled {
    std::optional<head> accepted; ///< empty: not accepted, and never will be
    revision newest = 0; ///< newest revision when the outcome was determined
};

/// Determines whether an edit was accepted, after its publisher has stopped.
///
/// If the chain does not contain the edit, its compare-and-swap may still be
/// in flight. Writing the head again with the same value changes its
/// version, after which that compare-and-swap can't take effect.
template <store Store>
result<settled> settle(Store& store, std::string_view edit_id, chunk_map& cache,
                       publish_options const& options = {}) {
    auto const base = base_of_edit_id(edit_id);
    if (!base)
        return make_fault(fault_code::invalid_input,
                          std::string(edit_id) + " is not the id of an edit");
    for (int i = 0; i < options.repeats; ++i) {
        auto const head = read_head(store);
        if (!head)
            return head.error();
        auto const& [value, version] = head.value();
        auto const found = find_edit(store, value, edit_id, *base, cache);
        if (!found)
            return found.error();
        if (found.value())
            return settled{found.value(), value.revision};
        if (version != 0 && store.replace(std::string(head_key), text_of(value),
                                          version) == write_outcome::done)
            return settled{std::nullopt, value.revision};
    }
    return make_fault(fault_code::unknown_effect,
                      "the edit is not accepted yet, but its write may still "
                      "be on the way");
}

} // namespace yuccabeam::config
