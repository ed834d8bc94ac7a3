#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string_view>

namespace yuccabeam {

/// SHA-256 digest of a client account's key. Keys are compared by their
/// digests, so that the time of a look-up shows nothing about a key, and are
/// not kept.
struct key_digest {
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(key_digest const&) const = default;
};

key_digest digest_of(std::string_view key);

} // namespace yuccabeam

template <>
struct std::hash<yuccabeam::key_digest> {
    std::size_t operator()(yuccabeam::key_digest const& digest) const {
        std::size_t out = 0;
        std::memcpy(&out, digest.bytes.data(), sizeof out);
        return out;
    }
};
