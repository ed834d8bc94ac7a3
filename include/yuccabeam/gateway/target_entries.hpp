#pragma once

#include "yuccabeam/mirror/store_mirror.hpp"
#include "yuccabeam/values/traffic.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::gateway {

/// The targets that entries of the store announce. An entry is parsed when
/// its revision is new, so that a change costs the same in a large fleet.
class target_entries {
public:
    /// Empty for an entry that names no usable target.
    using parser = std::function<std::optional<discovered_target>(
        std::string_view id, std::string const& value)>;

    target_entries(std::string prefix, parser parse);

    /// Follows the store; returns how many new entries name no usable target.
    std::size_t update(mirror::store_mirror const& store);

    /// Targets in the order of their keys.
    std::vector<discovered_target> targets() const;

private:
    struct parsed_entry {
        std::uint64_t revision = 0;
        std::optional<discovered_target> target;
    };

    std::string prefix_;
    parser parse_;
    std::map<std::string, parsed_entry, std::less<>> entries_;
};

} // namespace yuccabeam::gateway
