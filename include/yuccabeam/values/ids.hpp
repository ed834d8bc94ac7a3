#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace yuccabeam {

/// Strongly typed string identifier. Identifiers with different tags are
/// distinct types and can't be assigned to or compared with each other.
template <class Tag>
struct identifier {
    std::string value;

    auto operator<=>(identifier const&) const = default;
    bool empty() const { return value.empty(); }
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, identifier<Tag> const& id) {
    return out << id.value;
}

using service_id = identifier<struct service_tag>;
using target_id = identifier<struct target_tag>;
using failure_domain_id = identifier<struct failure_domain_tag>;
using route_id = identifier<struct route_tag>;
using account_id = identifier<struct account_tag>;
using daemon_id = identifier<struct daemon_tag>;

/// Start time of a daemon process in microseconds since the epoch. Of two
/// incarnations of one daemon, the higher is the newer.
using incarnation = std::uint64_t;

/// Revision number of an accepted configuration; 0 means none.
using revision = std::uint64_t;

} // namespace yuccabeam

template <class Tag>
struct std::hash<yuccabeam::identifier<Tag>> {
    std::size_t operator()(yuccabeam::identifier<Tag> const& id) const {
        return std::hash<std::string>{}(id.value);
    }
};
