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

/// An entry that doesn't describe a usable target.
struct rejected_entry {
    std::string key;
    std::uint64_t revision = 0;
    std::string reason;

    bool operator==(rejected_entry const&) const = default;
};

/// Result of an update.
struct entry_update {
    std::size_t rejected = 0; ///< new or changed entries that were rejected
    /// The rejected entries whose reason differs from that of the key's
    /// previous value, so that a writer that repeats an invalid value doesn't
    /// fill the log.
    std::vector<rejected_entry> reasons;
};

/// The targets registered in the store. Only entries with a new revision are
/// parsed, so the parsing cost of a change doesn't grow with the fleet.
class target_entries {
public:
    /// Fails for an entry that doesn't describe a usable target.
    using parser = std::function<result<discovered_target>(
        std::string_view id, std::string const& value)>;

    target_entries(std::string prefix, parser parse);

    /// Parses the entries that changed and drops those that were removed.
    entry_update update(mirror::store_mirror const& store);

    /// The usable targets in key order.
    std::vector<discovered_target> targets() const;

private:
    struct parsed_entry {
        std::uint64_t revision = 0;
        std::optional<discovered_target> target;
        std::string reason; ///< why the entry was rejected; empty for a target
    };

    void parse(mirror::stored_item const& item, parsed_entry& entry,
               entry_update& out) const;

    std::string prefix_;
    parser parse_;
    std::map<std::string, parsed_entry, std::less<>> entries_;
};

} // namespace yuccabeam::gateway
