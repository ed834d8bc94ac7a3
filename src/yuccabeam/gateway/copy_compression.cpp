#include "yuccabeam/gateway/copy_compression.hpp"

#include <stdexcept>
#include <zstd.h>

namespace yuccabeam::gateway {

namespace {

// The fastest level: a configuration shrinks to a few percent with it, and a
// small VM has little processor time.
constexpr int compression_level = 1;

} // namespace

std::string compress_copy(std::string_view plain) {
    std::string out(ZSTD_compressBound(plain.size()), '\0');
    auto const size = ZSTD_compress(out.data(), out.size(), plain.data(),
                                    plain.size(), compression_level);
    if (ZSTD_isError(size))
        throw std::runtime_error(ZSTD_getErrorName(size));
    out.resize(size);
    out.shrink_to_fit();
    return out;
}

std::optional<std::string> decompress_copy(std::string_view compressed,
                                           std::size_t max_bytes) {
    auto const stated =
        ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (stated == ZSTD_CONTENTSIZE_UNKNOWN ||
        stated == ZSTD_CONTENTSIZE_ERROR || stated > max_bytes)
        return std::nullopt;
    std::string out(stated, '\0');
    auto const size = ZSTD_decompress(out.data(), out.size(), compressed.data(),
                                      compressed.size());
    if (ZSTD_isError(size) || size != stated)
        return std::nullopt;
    return out;
}

} // namespace yuccabeam::gateway
