#pragma once

#include "yuccabeam/values/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <utility>

namespace yuccabeam::gateway {

/// The last messages that were received, to detect copies on another way.
class message_history {
public:
    explicit message_history(std::size_t capacity = 1'024)
        : capacity_(capacity) {}

    /// Adds a message. Returns false if it is known already.
    bool add(daemon_id const& sender, std::uint64_t number);

private:
    using key = std::pair<std::uint64_t, std::uint64_t>;

    std::size_t capacity_;
    std::set<key> known_;
    std::deque<key> order_; ///< oldest first
};

} // namespace yuccabeam::gateway
