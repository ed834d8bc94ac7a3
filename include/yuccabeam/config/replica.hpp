#pragma once

#include "yuccabeam/config/tree.hpp"
#include "yuccabeam/values/snapshot.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccabeam::config {

/// A daemon's copy of the configuration, fed by announcements and chunks.
///
/// Announcements may be lost, duplicated or reordered, and chunks may come from
/// any peer: a chunk is accepted only if its text has the requested hash, and a
/// revision is applied only if it is complete and higher than the applied one.
///
/// @code
/// replica copy;
/// copy.announce(head);
/// while (!copy.missing().empty())
///     for (auto const& hash : copy.missing())
///         copy.offer(hash, fetch(hash));
/// use(copy.current());
/// @endcode
class replica {
public:
    /// Records that a revision exists. Revisions up to the applied one are
    /// ignored.
    void announce(head const& announced);

    /// Hashes to fetch next for the highest announced revision. Empty when
    /// nothing is pending. More hashes become known as inner nodes arrive.
    std::vector<chunk_hash> missing(std::size_t limit = SIZE_MAX) const;

    enum class offer_outcome {
        stored,        ///< stored; more chunks are missing
        applied,       ///< stored, and the revision is complete and in force
        not_requested, ///< not requested, or no longer needed
        wrong_hash,    ///< the text doesn't have the hash
        unreadable     ///< the revision can't be parsed and is abandoned
    };
    offer_outcome offer(chunk_hash const& hash, std::string text);

    /// Drops the highest announced revision, which no source can supply, and
    /// continues with the next lower one above the applied one.
    void abandon();

    /// Configuration in force; empty before the first one.
    snapshot_ptr current() const { return current_; }
    head const& applied() const { return applied_; }
    /// Highest announced revision that is not applied yet.
    std::optional<head> pending() const;

    /// Text of a chunk that a peer requests; null if it is not held.
    std::string const* chunk(chunk_hash const& hash) const;
    std::size_t chunk_bytes() const;

    /// Number of revisions that could not be parsed, such as one written by a
    /// newer release.
    std::uint64_t rejected() const { return rejected_; }

private:
    void start_highest();
    bool add_to_pending(chunk_hash const& hash);
    bool expand(chunk_hash const& hash);
    void apply_pending();

    snapshot_ptr current_;
    head applied_;
    std::set<chunk_hash> leaves_; ///< of the applied revision
    std::map<chunk_hash, std::string> chunks_;
    std::map<revision, chunk_hash> announced_;
    std::set<chunk_hash> unreadable_manifests_; ///< never fetched again
    std::set<chunk_hash> missing_;
    std::set<chunk_hash> visited_; ///< tree of the pending revision
    std::set<chunk_hash> pending_leaves_;
    std::uint64_t rejected_ = 0;
};

} // namespace yuccabeam::config
