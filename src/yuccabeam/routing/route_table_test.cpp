#include "yuccabeam/routing/route_table.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace yuccabeam::routing {
namespace {

std::string found(route_table const& table, std::string_view host,
                  std::string_view path) {
    auto const* route = table.find(host, path);
    return route ? route->id.value : "";
}

// Guards against requests routed to a service with a similar prefix or host.
TEST_CASE("a request matches the longest prefix of its host") {
    route_table const table({{{"any"}, "", "/", {"s"}},
                             {{"shop"}, "Shop.example", "/", {"s"}},
                             {{"stock"}, "shop.example", "/stock", {"s"}},
                             {{"deep"}, "shop.example", "/stock/eu/", {"s"}},
                             {{"only"}, "bank.example", "/pay", {"s"}},
                             {{"v6"}, "[::1]:80", "/", {"s"}}});
    struct row {
        char const* host;
        char const* path;
        char const* route;
    };
    row const rows[] = {
        {"shop.example", "/stock", "stock"},
        {"SHOP.example:8080", "/stock/7", "stock"},
        {"shop.example", "/stock?id=/stock/eu/", "stock"},
        {"shop.example", "/stockroom", "shop"},
        {"shop.example", "/stock/eu", "stock"},
        {"shop.example", "/stock/eu/1", "deep"},
        {"shop.example", "/Stock", "shop"},
        {"bank.example", "/other", "any"},
        {"bank.example", "/pay#x", "only"},
        {"unknown", "/stock", "any"},
        {"", "/stock", "any"},
        {"[::1]", "/x", "v6"},
        {"[::1]:81", "/x", "v6"},
    };
    for (auto const& row : rows) {
        CAPTURE(row.host);
        CAPTURE(row.path);
        CHECK(found(table, row.host, row.path) == row.route);
    }
    CHECK(found(table, std::string(300, 'a'), "/x") == "any");
    CHECK(found(route_table(), "a", "/") == "");
}

// Guards against a lookup that misses a route among many lengths and hosts.
TEST_CASE("the table agrees with a scan over all routes") {
    auto const hosts = rc::gen::elementOf(
        std::vector<std::string>{"", "a.example", "b.example"});
    auto const paths = rc::gen::map(
        rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("//ab"))),
        [](std::string const& rest) { return std::string("/").append(rest); });
    CHECK(rc::check([&] {
        std::vector<route> routes(*rc::gen::inRange<std::size_t>(0, 20));
        for (std::size_t i = 0; i < routes.size(); ++i)
            routes[i] = {{std::to_string(i)}, *hosts, *paths, {"s"}};
        auto const host = *hosts;
        auto const path = *paths;

        route const* best = nullptr;
        for (auto const& route : routes) {
            auto const length = route.path_prefix.size();
            bool const whole = path.starts_with(route.path_prefix) &&
                               (path.size() == length || path[length] == '/' ||
                                route.path_prefix.back() == '/');
            if (!whole || (!route.host.empty() && route.host != host))
                continue;
            auto const rank = std::pair(!route.host.empty(), length);
            if (!best ||
                rank > std::pair(!best->host.empty(), best->path_prefix.size()))
                best = &route;
        }
        route_table const table(routes);
        RC_ASSERT(found(table, host, path) == (best ? best->id.value : ""));
    }));
}

} // namespace
} // namespace yuccabeam::routing
