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
/// A route that names the host goes before routes for any host. A prefix
/// ends at a segment boundary: `/stock` matches `/stock`, `/stock/7` and
/// `/stock?id=7`, but not `/stockroom`. Host names compare without case and
/// without the port. A look-up costs one hash look-up for each distinct
/// prefix length of the host and allocates nothing.
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

    /// The matching route, or null. Valid as long as the table.
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
