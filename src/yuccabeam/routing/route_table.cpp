#include "yuccabeam/routing/route_table.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace yuccabeam::routing {

namespace {

// Maximum length of a DNS host name; a longer one can't match a route.
constexpr std::size_t max_host_bytes = 253;

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view without_port(std::string_view host) {
    auto const colon = host.rfind(':');
    auto const bracket = host.rfind(']');
    if (colon == std::string_view::npos ||
        (bracket != std::string_view::npos && colon < bracket))
        return host;
    return host.substr(0, colon);
}

bool ends_segment(std::string_view path, std::size_t length) {
    if (length == path.size() || length == 0 || path[length - 1] == '/')
        return true;
    return path[length] == '/';
}

} // namespace

std::size_t route_table::text_hash::operator()(std::string_view text) const {
    return XXH3_64bits(text.data(), text.size());
}

route_table::route_table(std::vector<route> routes)
    : routes_(std::move(routes)) {
    for (std::uint32_t i = 0; i < routes_.size(); ++i) {
        std::string host(without_port(routes_[i].host));
        std::ranges::transform(host, host.begin(), lower);
        auto& of_host = by_host_[host];
        auto const& prefix = routes_[i].path_prefix;
        of_host.by_prefix.emplace(prefix, i);
        auto const at = std::ranges::lower_bound(of_host.lengths, prefix.size(),
                                                 std::greater<>());
        if (at == of_host.lengths.end() || *at != prefix.size())
            of_host.lengths.insert(at, prefix.size());
    }
}

route const* route_table::find(std::string_view host,
                               std::string_view path) const {
    path = path.substr(0, path.find_first_of("?#"));
    host = without_port(host);
    if (!host.empty() && host.size() <= max_host_bytes) {
        std::array<char, max_host_bytes> lowered;
        std::ranges::transform(host, lowered.begin(), lower);
        auto const of_host =
            by_host_.find(std::string_view(lowered.data(), host.size()));
        if (of_host != by_host_.end())
            if (auto const* found = find(of_host->second, path))
                return found;
    }
    auto const any_host = by_host_.find(std::string_view());
    return any_host == by_host_.end() ? nullptr : find(any_host->second, path);
}

route const* route_table::find(host_routes const& routes,
                               std::string_view path) const {
    for (auto const length : routes.lengths) {
        if (length > path.size() || !ends_segment(path, length))
            continue;
        auto const found = routes.by_prefix.find(path.substr(0, length));
        if (found != routes.by_prefix.end())
            return &routes_[found->second];
    }
    return nullptr;
}

} // namespace yuccabeam::routing
