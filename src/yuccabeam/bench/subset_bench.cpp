// Balance and churn of home daemons and target subsets.
//
// Prints one JSON line per fleet size:
//   subset_bench [targets per daemon]
#include "yuccabeam/routing/rendezvous.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace yuccabeam;
using namespace yuccabeam::routing;

struct fleet_size {
    std::size_t daemons = 0;
    std::size_t targets = 0;
    std::size_t services = 0;
    std::size_t failure_domains = 0;
};

struct service_targets {
    service_id id;
    std::vector<placed_target> targets;
};

using connection = std::pair<daemon_id, target_id>;

/// Connections of the whole fleet, and how many services each daemon homes.
struct placement {
    std::set<connection> connections;
    std::map<daemon_id, std::size_t> homed;
};

std::string numbered(std::string prefix, std::size_t number) {
    return prefix.append(std::to_string(number));
}

failure_domain_id domain_name(std::size_t index) {
    return {numbered("domain-", index)};
}

daemons_by_domain make_daemons(fleet_size const& size) {
    daemons_by_domain out;
    for (std::size_t i = 0; i < size.daemons; ++i)
        out[domain_name(i % size.failure_domains)].push_back(
            {numbered("daemon-", i)});
    return out;
}

// Every service gets the same number of targets, give or take one. Its
// targets are spread over all failure domains.
std::vector<service_targets> make_services(fleet_size const& size) {
    std::vector<service_targets> out(size.services);
    for (std::size_t i = 0; i < size.services; ++i)
        out[i].id = {numbered("service-", i)};
    for (std::size_t i = 0; i < size.targets; ++i) {
        auto& service = out[i % size.services];
        auto const domain =
            (i / size.services + i % size.services) % size.failure_domains;
        service.targets.push_back(
            {{numbered("target-", i)}, domain_name(domain)});
    }
    return out;
}

placement place(daemons_by_domain const& daemons,
                std::vector<service_targets> const& services,
                subset_options const& options) {
    placement out;
    for (auto const& [domain, members] : daemons)
        for (auto const& daemon : members)
            out.homed[daemon] = 0;
    for (auto const& service : services) {
        auto const homes = home_daemons(service.id, daemons);
        for (auto const& home : homes) {
            ++out.homed[home.id];
            for (auto& target : target_subset(home.id, service.id, homes,
                                              service.targets, options))
                out.connections.emplace(home.id, std::move(target));
        }
    }
    return out;
}

nlohmann::json spread(std::vector<std::size_t> counts) {
    std::ranges::sort(counts);
    std::size_t sum = 0;
    for (auto const count : counts)
        sum += count;
    double const mean =
        static_cast<double>(sum) / static_cast<double>(counts.size());
    return {{"min", counts.front()},
            {"p50", counts[counts.size() / 2]},
            {"mean", mean},
            {"max", counts.back()}};
}

template <class Key>
std::vector<std::size_t> values_of(std::map<Key, std::size_t> const& counts) {
    std::vector<std::size_t> out;
    out.reserve(counts.size());
    for (auto const& [key, count] : counts)
        out.push_back(count);
    return out;
}

/// Opened and closed connections between two placements, as a share of the
/// connections before. Those of the changed node itself can't be avoided.
nlohmann::json churn(placement const& before, placement const& after,
                     daemon_id const& daemon, target_id const& target) {
    std::size_t changed = 0;
    std::size_t unavoidable = 0;
    auto const count = [&](placement const& in, placement const& other) {
        for (auto const& link : in.connections) {
            if (other.connections.contains(link))
                continue;
            ++changed;
            unavoidable += link.first == daemon || link.second == target;
        }
    };
    count(before, after);
    count(after, before);
    return {{"changed", changed},
            {"of_changed_node", unavoidable},
            {"share", static_cast<double>(changed) /
                          static_cast<double>(before.connections.size())}};
}

nlohmann::json measure(fleet_size const& size, subset_options const& options) {
    auto const daemons = make_daemons(size);
    auto const services = make_services(size);
    auto const start = std::chrono::steady_clock::now();
    for (auto const& service : services)
        home_daemons(service.id, daemons);
    std::chrono::duration<double, std::milli> const home_time =
        std::chrono::steady_clock::now() - start;
    auto const base = place(daemons, services, options);

    std::map<daemon_id, std::size_t> per_daemon;
    for (auto const& [daemon, count] : base.homed)
        per_daemon[daemon] = 0;
    std::map<target_id, std::size_t> per_target;
    for (auto const& service : services)
        for (auto const& target : service.targets)
            per_target[target.id] = 0;
    for (auto const& [daemon, target] : base.connections) {
        ++per_daemon[daemon];
        ++per_target[target];
    }

    auto without_daemon = daemons;
    auto& members = without_daemon.begin()->second;
    auto const lost_daemon = members.front();
    members.erase(members.begin());
    auto with_daemon = daemons;
    daemon_id const new_daemon{"daemon-new"};
    with_daemon.begin()->second.push_back(new_daemon);
    auto without_target = services;
    auto const lost_target = without_target.front().targets.front().id;
    auto& targets = without_target.front().targets;
    targets.erase(targets.begin());

    return {
        {"daemons", size.daemons},
        {"targets", size.targets},
        {"services", size.services},
        {"failure_domains", size.failure_domains},
        {"targets_per_daemon_option", options.targets_per_daemon},
        {"homed_services_per_daemon", spread(values_of(base.homed))},
        {"targets_per_daemon", spread(values_of(per_daemon))},
        {"daemons_per_target", spread(values_of(per_target))},
        {"daemon_lost", churn(base, place(without_daemon, services, options),
                              lost_daemon, {})},
        {"daemon_added",
         churn(base, place(with_daemon, services, options), new_daemon, {})},
        {"target_lost",
         churn(base, place(daemons, without_target, options), {}, lost_target)},
        {"all_home_daemons_ms", home_time.count()}};
}

} // namespace

int main(int argc, char** argv) {
    subset_options options;
    if (argc > 1)
        options.targets_per_daemon = std::strtoul(argv[1], nullptr, 10);
    std::vector<fleet_size> const sizes = {
        {36, 28, 3, 3}, {64, 640, 24, 4}, {3000, 36000, 1300, 11}};
    for (auto const& size : sizes)
        std::cout << measure(size, options).dump() << "\n";
}
