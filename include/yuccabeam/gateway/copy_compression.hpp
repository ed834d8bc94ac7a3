#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// Content coding of compressed copies of the store between daemons (RFC 8878).
inline constexpr std::string_view copy_coding = "zstd";
/// Largest copy that is decompressed, in bytes.
inline constexpr std::size_t max_copy_bytes = 32u << 20;

/// Compresses with Zstandard.
std::string compress_copy(std::string_view plain);

/// Returns nothing for bytes that aren't one whole frame, or whose content
/// exceeds `max_bytes` or has no stated size.
std::optional<std::string>
decompress_copy(std::string_view compressed,
                std::size_t max_bytes = max_copy_bytes);

} // namespace yuccabeam::gateway
