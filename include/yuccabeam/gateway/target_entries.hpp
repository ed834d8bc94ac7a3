#pragma once

#include "yuccabeam/mirror/store_mirror.hpp"
#include "yuccabeam/values/fault.hpp"
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

/// An entry that names no usable target.
struct rejected_entry {
    std::string key;
    std::uint64_t revision = 0;
    std::string reason;

    bool operator==(rejected_entry const&) const = default;
};

/// What an update found.
struct entry_update {
    std::size_t rejected = 0; ///< new entries that name no usable target
    /// Those of them that are not rejected for the reason of the key's last
    /// entry: another writer may write the same again and again.
    std::vector<rejected_entry> reasons;
};

/// The targets that entries of the store announce. An entry is parsed when
/// its revision is new, so that a change costs the same in a large fleet.
class target_entries {
public:
    /// Fails for an entry that names no usable target.
    using parser = std::function<result<discovered_target>(
        std::string_view id, std::string const& value)>;

    target_entries(std::string prefix, parser parse);

    /// Follows the store.
    entry_update update(mirror::store_mirror const& store);

    /// Targets in the order of their keys.
    std::vector<discovered_target> targets() const;

private:
    struct parsed_entry {
        std::uint64_t revision = 0;
        std::optional<discovered_target> target;
        std::string reason; ///< why there is no target
    };

    void parse(mirror::stored_item const& item, parsed_entry& entry,
               entry_update& out) const;

    std::string prefix_;
    parser parse_;
    std::map<std::string, parsed_entry, std::less<>> entries_;
};

} // namespace yuccabeam::gateway
