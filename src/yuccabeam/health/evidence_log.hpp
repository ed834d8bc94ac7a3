#pragma once

#include "yuccabeam/health/evidence.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace yuccabeam::health {

/// Window of 1 s that a time belongs to.
inline std::uint64_t window_of(time_point time) {
    return static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::seconds>(time.time_since_epoch())
            .count());
}

/// This daemon's evidence for one (target, kind) in one window.
struct evidence_cell {
    std::uint32_t target = 0;
    std::uint32_t kind = 0;
    std::uint64_t window = 0;
    window_counts counts;
    bool dirty = false;              ///< changed since it was sent
    std::uint64_t sent_sequence = 0; ///< of the report that carried it last
    time_point sent_at{};
};

/// The cells of the last 10 s, oldest first, in a ring that grows to the
/// working size and then allocates no more.
class evidence_log {
public:
    evidence_log(std::size_t targets, std::size_t kinds);

    /// The cell of a window, created if it does not exist.
    evidence_cell& at(std::uint32_t target, std::uint32_t kind,
                      std::uint64_t window);
    /// Drops cells with windows below `oldest`.
    void expire(std::uint64_t oldest);

    std::size_t size() const { return size_; }
    evidence_cell& operator[](std::size_t position) {
        return ring_[(head_ + position) % ring_.size()];
    }
    evidence_cell const& operator[](std::size_t position) const {
        return ring_[(head_ + position) % ring_.size()];
    }

private:
    void grow();

    std::size_t kinds_;
    std::vector<evidence_cell> ring_;
    std::size_t head_ = 0;
    std::size_t size_ = 0;
    std::uint64_t first_number_ = 1;  ///< serial number of the oldest cell
    std::vector<std::uint64_t> open_; ///< serial number by target and kind
};

} // namespace yuccabeam::health
