#include "yuccabeam/config/chunk.hpp"

#include <array>
#include <openssl/sha.h>

namespace yuccabeam::config {

chunk_hash hash_of(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           digest.data());
    chunk_hash out;
    out.value.reserve(digest.size() * 2);
    for (auto byte : digest) {
        out.value += digits[byte >> 4U];
        out.value += digits[byte & 15U];
    }
    return out;
}

std::string chunk_key(chunk_hash const& hash) {
    return "chunk/" + hash.value;
}

} // namespace yuccabeam::config
