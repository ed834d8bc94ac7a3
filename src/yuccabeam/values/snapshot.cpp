#include "yuccabeam/values/snapshot.hpp"

#include <map>
#include <set>
#include <string>

namespace yuccabeam {

namespace {

using faults = std::vector<json_fault>;

std::string element_path(std::string_view list, std::size_t index,
                         std::string_view field) {
    std::string path("/");
    return path.append(list)
        .append("/")
        .append(std::to_string(index))
        .append("/")
        .append(field);
}

template <class Item>
void check_unique_ids(std::string_view list, std::vector<Item> const& items,
                      faults& out) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i)
        if (!seen.insert(items[i].id.value).second)
            out.push_back({element_path(list, i, "id"), "a unique id",
                           items[i].id.value + " a second time"});
}

void check_targets(asset_register const& reg, faults& out) {
    std::set<service_id> services;
    for (auto const& service : reg.services)
        services.insert(service.id);
    std::set<failure_domain_id> domains;
    for (auto const& domain : reg.failure_domains)
        domains.insert(domain.id);
    std::map<std::string, target_id> addresses;
    for (std::size_t i = 0; i < reg.targets.size(); ++i) {
        auto const& target = reg.targets[i];
        if (!services.contains(target.service))
            out.push_back({element_path("targets", i, "service"),
                           "a service of the register", target.service.value});
        if (!domains.contains(target.failure_domain))
            out.push_back({element_path("targets", i, "failure_domain"),
                           "a failure domain of the register",
                           target.failure_domain.value});
        auto const [other, inserted] =
            addresses.emplace(target.address, target.id);
        if (!inserted)
            out.push_back({element_path("targets", i, "address"),
                           "an address that no other target has",
                           target.address + ", also the address of " +
                               other->second.value});
    }
}

void check_floors(asset_register const& reg, faults& out) {
    std::map<service_id, std::uint64_t> capacity;
    for (auto const& target : reg.targets)
        capacity[target.service] += target.slots;
    for (std::size_t i = 0; i < reg.services.size(); ++i) {
        auto const& service = reg.services[i];
        if (service.floor_slots > capacity[service.id])
            out.push_back({element_path("services", i, "floor_slots"),
                           "at most the service's capacity of " +
                               std::to_string(capacity[service.id]) + " slots",
                           std::to_string(service.floor_slots)});
    }
}

void check_routes(asset_register const& reg, rules const& rules, faults& out) {
    std::set<service_id> services;
    for (auto const& service : reg.services)
        services.insert(service.id);
    std::map<std::pair<std::string, std::string>, route_id> matches;
    for (std::size_t i = 0; i < rules.routes.size(); ++i) {
        auto const& route = rules.routes[i];
        if (!services.contains(route.service))
            out.push_back({element_path("routes", i, "service"),
                           "a service of the register", route.service.value});
        auto const [other, inserted] =
            matches.emplace(std::pair(route.host, route.path_prefix), route.id);
        if (!inserted)
            out.push_back({element_path("routes", i, "path_prefix"),
                           "a host and path prefix that no other route has",
                           route.path_prefix + ", which route " +
                               other->second.value + " matches first"});
    }
}

} // namespace

std::vector<json_fault> check(asset_register const& reg, rules const& rules) {
    faults out;
    check_unique_ids("failure_domains", reg.failure_domains, out);
    check_unique_ids("services", reg.services, out);
    check_unique_ids("targets", reg.targets, out);
    check_unique_ids("routes", rules.routes, out);
    check_unique_ids("accounts", rules.accounts, out);
    check_targets(reg, out);
    check_floors(reg, out);
    check_routes(reg, rules, out);
    return out;
}

} // namespace yuccabeam
