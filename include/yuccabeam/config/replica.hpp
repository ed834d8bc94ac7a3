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
/// Announcements may be lost, repeated or out of order, and chunks may come
/// from anybody: a chunk counts only if its text has the hash that was asked
/// for, and a revision is applied only when it is higher and complete.
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
    /// Notes that a revision exists. Revisions up to the applied one are
    /// ignored.
    void announce(head const& announced);

    /// Hashes to fetch next for the highest announced revision. Empty when
    /// nothing is pending. Inner nodes name more hashes once they arrive.
    std::vector<chunk_hash> missing(std::size_t limit = SIZE_MAX) const;

    enum class offer_outcome {
        stored,        ///< stored; more chunks are missing
        applied,       ///< stored, and the revision is complete and in force
        not_requested, ///< not asked for (any more)
        wrong_hash,    ///< the text is not the chunk
        unreadable     ///< the revision can't be read and is given up
    };
    offer_outcome offer(chunk_hash const& hash, std::string text);

    /// Drops the highest announced revision, which nobody can supply, and
    /// goes on with the next lower one that is still above the applied one.
    void abandon();

    /// Configuration in force; empty before the first one.
    snapshot_ptr current() const { return current_; }
    head const& applied() const { return applied_; }
    /// Highest announced revision that is not applied yet.
    std::optional<head> pending() const;

    /// Text of a chunk for a peer that asks for it; null when not held.
    std::string const* chunk(chunk_hash const& hash) const;
    std::size_t chunk_bytes() const;

    /// Revisions that were complete but could not be read, such as one
    /// written by a newer release.
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
    std::set<chunk_hash>
        unreadable_manifests_; ///< manifests that can't be read
    std::set<chunk_hash> missing_;
    std::set<chunk_hash> visited_; ///< tree of the pending revision
    std::set<chunk_hash> pending_leaves_;
    std::uint64_t rejected_ = 0;
};

} // namespace yuccabeam::config
