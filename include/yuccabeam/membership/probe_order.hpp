#pragma once

#include "yuccabeam/values/ids.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace yuccabeam::membership {

using random_engine = std::mt19937_64;

/// Randomized round-robin over a set of members: each member is returned once
/// per round, in random order. SWIM's bound on detection time depends on this.
/// All operations take constant time.
class probe_order {
public:
    /// Adds a member to the current round; no effect if it is present.
    void add(daemon_id const& id);
    void remove(daemon_id const& id);

    /// Next member of the round; a new round starts after the last one.
    std::optional<daemon_id> next(random_engine& rng);

    std::size_t size() const { return ids_.size(); }
    daemon_id const& at(std::size_t index) const { return ids_[index]; }

private:
    void place(std::size_t index, daemon_id const& id);

    std::vector<daemon_id> ids_; ///< members returned this round come first
    std::unordered_map<daemon_id, std::size_t> position_;
    std::size_t served_ = 0;
};

} // namespace yuccabeam::membership
