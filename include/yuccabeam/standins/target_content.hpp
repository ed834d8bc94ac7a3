#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace yuccabeam::standins {

/// Body of `size` bytes that depends only on its seed, so that a client can
/// check each byte and every target serves the same one.
struct content {
    std::uint64_t seed = 0;
    std::uint64_t size = 0;

    bool operator==(content const&) const = default;
};

/// Half-open part of a body.
struct byte_range {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;

    bool operator==(byte_range const&) const = default;
};

/// Content named by a path with `/bytes/N` in it; the whole path goes into
/// the seed, so that different paths have different bodies of one size.
std::optional<content> content_of_path(std::string_view path,
                                       std::uint64_t seed);

/// Writes the bytes from `offset` on. The bytes of a 64-bit word are
/// SplitMix64 (Steele, Lea, Flood 2014) of the seed and the word's number.
void fill_content(content const& what, std::uint64_t offset,
                  std::span<char> out);

/// Strong entity tag, with its quotes.
std::string etag_of(content const& what);

enum class range_kind { whole, part, unsatisfiable };

struct range_choice {
    range_kind kind = range_kind::whole;
    byte_range range;

    bool operator==(range_choice const&) const = default;
};

/// Part that `Range` and `If-Range` ask for (RFC 9110, 13.1.5 and 14.2).
/// Several ranges and malformed fields give the whole body.
range_choice choose_range(content const& what, std::string_view range,
                          std::string_view if_range);

} // namespace yuccabeam::standins
