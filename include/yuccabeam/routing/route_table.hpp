#pragma once

#include "yuccabeam/values/rules.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccabeam::routing {

/// Finds the route of a request by host and longest path prefix.
///
/// A route with a host takes precedence over routes for any host. A prefix
/// ends at a segment boundary: `/stock` matches `/stock`, `/stock/7` and
/// `/stock?id=7`, but not `/stockroom`. Host names are compared without
/// case and port. A lookup takes at most one hash lookup for the host and
/// one for each distinct prefix length of its routes, the same again for any
/// host, and allocates no memory.
///
/// @code
/// route_table table(rules.routes);
/// if (auto const* route = table.find("shop.example:80", "/stock/7"))
///     forward_to(route->service);
/// @endcode
class route_table {
public:
    route_table() = default;
    explicit route_table(std::vector<route> routes);

    /// Returns the matching route, or null. The pointer is valid as long as the
    /// table.
    route const* find(std::string_view host, std::string_view path) const;

    std::size_t size() const { return routes_.size(); }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const;
    };
    struct host_routes {
        std::unordered_map<std::string, std::uint32_t, text_hash,
                           std::equal_to<>>
            by_prefix;
        std::vector<std::size_t> lengths; ///< longest first
    };

    route const* find(host_routes const& routes, std::string_view path) const;

    std::vector<route> routes_;
    std::unordered_map<std::string, host_routes, text_hash, std::equal_to<>>
        by_host_;
};

} // namespace yuccabeam::routing
