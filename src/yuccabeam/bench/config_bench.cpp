// What one change of the configuration costs at the size of two years.
//
// Counts store calls and bytes of publishing, and bytes and time of a replica
// that takes each change over. Prints one JSON line per step:
//   config_bench [SEED]
#include "yuccabeam/config/publish.hpp"
#include "yuccabeam/config/replica.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace yuccabeam;

constexpr std::size_t domain_count = 11;
constexpr std::size_t service_count = 1'300;
constexpr std::size_t target_count = 36'000;
constexpr std::size_t route_count = 33'000;
constexpr std::size_t account_count = 68'000;
constexpr std::size_t change_count = 10;

/// Store in memory that counts calls and bytes.
struct counting_store {
    std::map<std::string, config::versioned_value> values;
    std::uint64_t last_version = 0;
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t bytes_read = 0;
    std::size_t bytes_written = 0;

    result<std::optional<config::versioned_value>>
    read(std::string const& key) {
        ++reads;
        auto const place = values.find(key);
        if (place == values.end())
            return std::optional<config::versioned_value>();
        bytes_read += place->second.value.size();
        return std::optional(place->second);
    }
    config::write_outcome create(std::string const& key,
                                 std::string const& value) {
        return replace(key, value, 0);
    }
    config::write_outcome replace(std::string const& key,
                                  std::string const& value,
                                  std::uint64_t version) {
        ++writes;
        bytes_written += value.size();
        auto& place = values[key];
        if (place.version != version)
            return config::write_outcome::conflict;
        place = {value, ++last_version};
        return config::write_outcome::done;
    }
    void reset_counts() { reads = writes = bytes_read = bytes_written = 0; }
};

std::string numbered(std::string prefix, std::size_t number) {
    return prefix.append(std::to_string(number));
}

config::item_map whole_configuration() {
    snapshot all;
    for (std::size_t i = 0; i < domain_count; ++i)
        all.asset_register.failure_domains.push_back(
            {{numbered("domain-", i)}});
    for (std::size_t i = 0; i < service_count; ++i)
        all.asset_register.services.push_back({{numbered("service-", i)}, 60});
    for (std::size_t i = 0; i < target_count; ++i)
        all.asset_register.targets.push_back(
            {{numbered("target-", i)},
             {numbered("service-", i % service_count)},
             {numbered("domain-", i % domain_count)},
             numbered("10.", i / 65'536) + numbered(".", i / 256 % 256) +
                 numbered(".", i % 256) + ":8080"});
    for (std::size_t i = 0; i < route_count; ++i)
        all.rules.routes.push_back({{numbered("route-", i)},
                                    numbered("host-", i % 900) + ".example",
                                    numbered("/path-", i),
                                    {numbered("service-", i % service_count)}});
    for (std::size_t i = 0; i < account_count; ++i)
        all.rules.accounts.push_back({{numbered("account-", i)}, 1});
    return config::items_of(all.asset_register, all.rules);
}

/// Turns one random account, target or route into another version of it.
config::operation random_change(config::item_map const& items,
                                std::mt19937_64& random) {
    auto const account_key =
        numbered("account/account-", random() % account_count);
    auto const target_key = numbered("target/target-", random() % target_count);
    auto const route_key = numbered("route/route-", random() % route_count);
    std::string const keys[] = {account_key, target_key, route_key};
    auto const& key = keys[random() % 3];
    auto const& old = items.at(key);
    auto changed = old;
    if (auto* value = std::get_if<account>(&changed))
        ++value->weight;
    if (auto* value = std::get_if<target>(&changed))
        ++value->slots;
    if (auto* value = std::get_if<route>(&changed))
        value->timeout += std::chrono::milliseconds(1);
    return {key, changed, config::hash_of(old)};
}

double milliseconds_since(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

struct fetched {
    std::size_t chunks = 0;
    std::size_t bytes = 0;
    double milliseconds = 0;
};

fetched take_over(config::replica& copy, config::head const& head,
                  counting_store const& store) {
    fetched out;
    auto const start = std::chrono::steady_clock::now();
    copy.announce(head);
    while (!copy.missing(1).empty())
        for (auto const& hash : copy.missing()) {
            auto const& text = store.values.at(config::chunk_key(hash)).value;
            ++out.chunks;
            out.bytes += text.size();
            copy.offer(hash, text);
        }
    out.milliseconds = milliseconds_since(start);
    return out;
}

nlohmann::json median_and_worst(std::vector<double> values) {
    std::ranges::sort(values);
    return {{"median", values[values.size() / 2]}, {"worst", values.back()}};
}

} // namespace

int main(int argc, char** argv) {
    std::uint64_t const seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20'261'204;
    std::mt19937_64 random(seed);
    counting_store store;
    config::chunk_map cache;
    config::replica copy;
    auto items = whole_configuration();

    auto start = std::chrono::steady_clock::now();
    auto outcome =
        config::publish(store,
                        config::edit{config::make_edit_id(0, random()), "bench",
                                     config::diff({}, items)},
                        cache);
    auto publish_ms = milliseconds_since(start);
    if (!std::holds_alternative<config::published>(outcome))
        return 1;
    auto head = std::get<config::published>(outcome).accepted;
    auto first = take_over(copy, head, store);
    nlohmann::json line = {{"step", "first"},
                           {"seed", seed},
                           {"items", items.size()},
                           {"store_writes", store.writes},
                           {"bytes_written", store.bytes_written},
                           {"publish_ms", publish_ms},
                           {"replica_chunks", first.chunks},
                           {"replica_bytes", first.bytes},
                           {"replica_ms", first.milliseconds}};
    std::cout << line.dump() << "\n";

    std::map<std::string, std::vector<double>> samples;
    for (std::size_t i = 0; i < change_count; ++i) {
        auto const change = random_change(items, random);
        store.reset_counts();
        start = std::chrono::steady_clock::now();
        outcome = config::publish(
            store,
            config::edit{config::make_edit_id(head.revision, random()),
                         "bench",
                         {change}},
            cache);
        publish_ms = milliseconds_since(start);
        if (!std::holds_alternative<config::published>(outcome))
            return 1;
        items.insert_or_assign(change.key, *change.value);
        head = std::get<config::published>(outcome).accepted;
        auto const got = take_over(copy, head, store);
        samples["store_writes"].push_back(static_cast<double>(store.writes));
        samples["store_reads"].push_back(static_cast<double>(store.reads));
        samples["bytes_written"].push_back(
            static_cast<double>(store.bytes_written));
        samples["publish_ms"].push_back(publish_ms);
        samples["replica_chunks"].push_back(static_cast<double>(got.chunks));
        samples["replica_bytes"].push_back(static_cast<double>(got.bytes));
        samples["replica_ms"].push_back(got.milliseconds);
    }
    line = {{"step", "change"}, {"seed", seed}, {"changes", change_count}};
    for (auto& [name, values] : samples)
        line[name] = median_and_worst(std::move(values));
    std::cout << line.dump() << "\n";

    store.reset_counts();
    config::chunk_map empty_cache;
    start = std::chrono::steady_clock::now();
    auto const read = config::read_configuration(store, empty_cache);
    line = {{"step", "read without a cache"},
            {"store_reads", store.reads},
            {"bytes_read", store.bytes_read},
            {"milliseconds", milliseconds_since(start)},
            {"same_as_expected", read && read.value().items == items},
            {"replica_same",
             *copy.current() == config::assemble(items, head.revision)}};
    std::cout << line.dump() << "\n";
    return 0;
}
