#include "yuccabeam/placement/target_load.hpp"

#include <xxhash.h>

namespace yuccabeam::placement {

std::uint64_t load_key(target_id const& id, std::int64_t started_ms) {
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(),
                                static_cast<std::uint64_t>(started_ms));
}

} // namespace yuccabeam::placement
