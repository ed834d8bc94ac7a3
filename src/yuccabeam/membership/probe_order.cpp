#include "yuccabeam/membership/probe_order.hpp"

#include <utility>

namespace yuccabeam::membership {

void probe_order::place(std::size_t index, daemon_id const& id) {
    ids_[index] = id;
    position_[id] = index;
}

void probe_order::add(daemon_id const& id) {
    if (!position_.emplace(id, ids_.size()).second)
        return;
    ids_.push_back(id);
}

void probe_order::remove(daemon_id const& id) {
    auto const found = position_.find(id);
    if (found == position_.end())
        return;
    std::size_t gap = found->second;
    position_.erase(found);
    // Fills the gap without moving members between the served and unserved
    // parts.
    if (gap < served_) {
        --served_;
        if (gap != served_)
            place(gap, daemon_id(ids_[served_]));
        gap = served_;
    }
    if (gap + 1 != ids_.size())
        place(gap, daemon_id(ids_.back()));
    ids_.pop_back();
}

std::optional<daemon_id> probe_order::next(random_engine& rng) {
    if (ids_.empty())
        return std::nullopt;
    if (served_ == ids_.size())
        served_ = 0;
    std::uniform_int_distribution<std::size_t> pick(served_, ids_.size() - 1);
    std::size_t const chosen = pick(rng);
    if (chosen != served_) {
        daemon_id const moved = ids_[served_];
        place(served_, daemon_id(ids_[chosen]));
        place(chosen, moved);
    }
    return ids_[served_++];
}

} // namespace yuccabeam::membership
