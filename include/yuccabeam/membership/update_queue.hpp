#pragma once

#include "yuccabeam/membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yuccabeam::membership {

/// Upper bound of the encoded size of an update, in bytes.
std::size_t encoded_size(member const& update);

/// Updates to piggyback on messages, least often transmitted ones first.
///
/// An update leaves the queue after a bounded number of transmissions; a
/// newer one about the same member replaces it.
class update_queue {
public:
    void push(member update);

    /// Returns updates that fit into `bytes`. Each update is returned at most
    /// `transmissions` times over all calls. An update about `first` is placed
    /// first.
    std::vector<member> take(std::size_t bytes, std::uint32_t transmissions,
                             daemon_id const& first);

    std::size_t size() const { return entries_.size(); }

private:
    struct key {
        std::uint32_t sent = 0;
        std::uint64_t age = 0; ///< newer updates have a lower value
        auto operator<=>(key const&) const = default;
    };
    struct entry {
        key place;
        member update;
    };

    void count_transmission(daemon_id const& id, std::uint32_t transmissions);

    std::unordered_map<daemon_id, entry> entries_;
    std::map<key, daemon_id> by_place_;
    std::uint64_t next_age_ = ~std::uint64_t(0);
};

} // namespace yuccabeam::membership
