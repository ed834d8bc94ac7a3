#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace yuccabeam::adapters {

/// What a client reads of one answer before it ends the call and closes the
/// connection, in bytes. libcurl may read 100 of its buffers more before it
/// notices that the framing has reached its limit.
struct answer_limits {
    static constexpr std::uint64_t unlimited =
        std::numeric_limits<std::int64_t>::max();

    /// Status lines and fields: of the answer, of interim answers before it
    /// and of its trailers.
    std::size_t max_head_bytes = 64u << 10;
    /// Chunk sizes and extensions.
    std::size_t max_framing_bytes = 1u << 20;
    std::uint64_t max_body_bytes = unlimited;

    bool operator==(answer_limits const&) const = default;
};

} // namespace yuccabeam::adapters
