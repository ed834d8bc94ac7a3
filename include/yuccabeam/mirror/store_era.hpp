#pragma once

#include "yuccabeam/mirror/store_mirror.hpp"

#include <cstdint>

/// A store that comes back from an older copy starts a new era: it gives out
/// the revisions since that copy again. The product orders its revisions by
/// era and number, with the era in the upper bits of one integer, so that every
/// comparison of two revisions also orders their eras.
namespace yuccabeam::mirror {

/// Bits of a revision that hold the store's own number.
inline constexpr unsigned store_number_bits = 40;
inline constexpr std::uint64_t max_store_number =
    (std::uint64_t{1} << store_number_bits) - 1;
/// Keeps a revision within a signed integer.
inline constexpr std::uint64_t max_store_era =
    (std::uint64_t{1} << (63 - store_number_bits)) - 1;

constexpr std::uint64_t era_of(std::uint64_t revision) {
    return revision >> store_number_bits;
}

/// The number of a revision within its era, as the store knows it.
constexpr std::uint64_t store_number_of(std::uint64_t revision) {
    return revision & max_store_number;
}

/// Adds the era to the revisions of a response, which hold numbers of the
/// store. Returns false, with nothing changed, if the era or a number is too
/// large.
bool set_era(store_page& page, std::uint64_t era);
bool set_era(store_changes& changes, std::uint64_t era);

} // namespace yuccabeam::mirror
