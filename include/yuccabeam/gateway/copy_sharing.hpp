#pragma once

#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

struct copy_sharing_options {
    /// Speed of this VM's link, in bytes per second.
    double link_bytes_per_s = 12.5e6;
    /// Part of the link that copies may take; the rest is for callers.
    double share = 0.5;
    /// A copy is sent while those before it need at most this long.
    duration backlog = std::chrono::milliseconds(100);
    /// Peers that are named to one that isn't sent a copy.
    std::size_t most_referrals = 8;
};

/// Decides which peers a daemon sends a large copy of the store to while many
/// ask at once. The others are referred to peers that have been sent it, so a
/// copy spreads as a tree, and no link is shared by so many transfers that each
/// of them is slow.
class copy_sharing {
public:
    explicit copy_sharing(copy_sharing_options options = {})
        : options_(options) {}

    /// Whether a copy of `bytes` at `revision` may be sent to `receiver`, a
    /// control address, now.
    bool admit(std::string const& receiver, std::uint64_t revision,
               std::size_t bytes, time_point now);
    /// Control addresses of peers that were sent the newest copy, the last one
    /// first.
    std::vector<std::string> referrals() const;

private:
    copy_sharing_options options_;
    /// When the copies that were admitted have been sent.
    time_point free_at_{};
    std::uint64_t revision_ = 0;
    std::deque<std::string> receivers_;
};

/// A peer whose copy of the store is newer than this daemon's.
struct newer_copy {
    std::string control; ///< its control address
    std::uint64_t revision = 0;

    bool operator==(newer_copy const&) const = default;
};

struct pull_source_options {
    /// Pause before a peer that had no room for another copy is asked again.
    duration busy_pause = std::chrono::milliseconds(150);
    /// The same for a peer from which a transfer failed.
    duration failure_pause = std::chrono::seconds(1);
};

/// Chooses the peers from which a daemon pulls the changes that it is missing.
class pull_sources {
public:
    explicit pull_sources(pull_source_options options = {})
        : options_(options) {}

    /// One of the peers with the newest copies `ahead` and of those that a busy
    /// one has named, or an empty string if all of them are to be asked later.
    /// `random` is a random number: daemons that all asked the same peer would
    /// fill its link.
    std::string choose(std::vector<newer_copy> const& ahead,
                       std::uint64_t random, time_point now) const;
    void on_busy(std::string const& source,
                 std::vector<std::string> const& named, time_point now);
    void on_failed(std::string const& source, time_point now);
    /// The copy is as new as any known one.
    void on_current();

private:
    bool may_ask(std::string const& source, time_point now) const;

    pull_source_options options_;
    std::set<std::string> named_;
    std::map<std::string, time_point> not_before_;
};

} // namespace yuccabeam::gateway
