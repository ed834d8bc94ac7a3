#pragma once

#include "yuccabeam/values/ids.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace yuccabeam::membership {

using random_engine = std::mt19937_64;

/// Set of members, served in rounds: each one comes once in a round, in a
/// random order. SWIM's bound on detection time rests on this. All
/// operations take constant time.
class probe_order {
public:
    /// Joins the current round; does nothing when already there.
    void add(daemon_id const& id);
    void remove(daemon_id const& id);

    /// Next member of the round; a new round starts after the last one.
    std::optional<daemon_id> next(random_engine& rng);

    std::size_t size() const { return ids_.size(); }
    daemon_id const& at(std::size_t index) const { return ids_[index]; }

private:
    void place(std::size_t index, daemon_id const& id);

    std::vector<daemon_id> ids_; ///< those served this round come first
    std::unordered_map<daemon_id, std::size_t> position_;
    std::size_t served_ = 0;
};

} // namespace yuccabeam::membership
