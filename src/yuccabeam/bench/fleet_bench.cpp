// Processor time of what a gateway daemon does in a fleet of 126 daemons with
// 437 targets.
//
// Prints one JSON line per operation:
//   fleet_bench
#include "operation_timer.hpp"
#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/gateway/peer_table.hpp"
#include "yuccabeam/gateway/target_entries.hpp"
#include "yuccabeam/net/peer_transport.hpp"
#include "yuccabeam/placement/fleet_budget.hpp"
#include "yuccabeam/placement/target_table.hpp"

#include <asio/io_context.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::bench;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr std::size_t daemon_count = 126;
constexpr std::size_t near_count = 24;
constexpr std::size_t domain_count = 5;
constexpr std::size_t message_targets = 35;

struct service_size {
    char const* name;
    std::size_t targets;
};

constexpr service_size services[] = {
    {"view", 155}, {"ledger", 249}, {"docs", 33}};

std::string numbered(std::string prefix, std::size_t number) {
    return prefix.append(std::to_string(number));
}

std::string domain_name(std::size_t number) {
    return numbered("domain-", number % domain_count);
}

std::string peer_name(std::size_t number) {
    return numbered(numbered("10.", number % domain_count + 1) + ".0.",
                    number / domain_count + 30)
        .append(":7540");
}

std::vector<discovered_target> all_targets() {
    std::vector<discovered_target> out;
    for (auto const& service : services)
        for (std::size_t i = 0; i < service.targets; ++i) {
            discovered_target one;
            one.target = {{numbered(std::string(service.name) + "-", i)},
                          {service.name},
                          {domain_name(i)},
                          numbered("10.9.1.", i % 250) + ":8080",
                          6,
                          1'680};
            one.started_ms = 1'764'800'000'000;
            out.push_back(one);
        }
    return out;
}

std::vector<placement::target_activity>
activities(std::vector<discovered_target> const& targets, std::size_t first) {
    std::vector<placement::target_activity> out;
    for (std::size_t i = 0; i < message_targets; ++i) {
        auto const& one = targets[(first + i * 7) % targets.size()];
        out.push_back({one.target.id, one.started_ms, 2});
    }
    return out;
}

placement::choice_request wanted_of(std::size_t number) {
    placement::choice_request out;
    out.service = {services[number % std::size(services)].name};
    out.idempotent = number % std::size(services) != 1;
    out.time_left = 12s;
    out.objective_left = 2s;
    return out;
}

using target_table_ptr = std::unique_ptr<placement::target_table>;

/// A table as in the midst of a day: requests of peers and of other failure
/// domains at the targets, some targets suspected.
target_table_ptr busy_table(std::vector<discovered_target> const& all) {
    auto out = std::make_unique<placement::target_table>(
        failure_domain_id{domain_name(0)}, 1);
    auto& table = *out;
    table.replace(all, start);
    for (std::size_t i = 0; i < all.size(); ++i) {
        auto const& id = all[i].target.id;
        table.on_peer_activity({peer_name(i * 5)}, {id, all[i].started_ms, 1},
                               start);
        if (i % 3 == 0)
            table.on_peer_notice(
                {id, all[i].started_ms, placement::notice_kind::failed}, start);
    }
    for (std::size_t domain = 1; domain < domain_count; ++domain)
        table.on_domain_activity({domain_name(domain)},
                                 activities(all, domain * 35), start);
    for (auto const& service : services) {
        for (int i = 0; i < 20; ++i)
            table.loads().on_answer({service.name}, {600ms, false, false, 900});
        table.loads().set_fleet_rate({service.name}, 400);
    }
    return out;
}

void measure_table() {
    auto const all = all_targets();
    auto const busy = busy_table(all);
    auto& table = *busy;
    auto const now = start + 100ms;
    report("choose", 2'000, [&](std::size_t i) {
        return table.choose(wanted_of(i), now).has_value();
    });
    report("others", 2'000, [&](std::size_t i) {
        return table.others(wanted_of(i), now).untried;
    });
    report("has_room", 2'000, [&](std::size_t i) {
        return table.has_spare_capacity(wanted_of(i).service, now);
    });
    report("replace, nothing new", 200,
           [&](std::size_t) { return table.replace(all, now).size(); });
    auto few = all;
    few.resize(all.size() / 2);
    report("build a table and lose half the list in an outage", 10,
           [&](std::size_t) {
               target_table_ptr const changed = busy_table(all);
               return changed->replace(few, now, {.store_returned_at = now})
                   .size();
           });
    report("expire", 2'000, [&](std::size_t) {
        table.expire(now);
        return table.size();
    });
    report("peer's doubt", 2'000, [&](std::size_t i) {
        auto const& one = all[i * 31 % all.size()];
        table.on_peer_notice(
            {one.target.id, one.started_ms, placement::notice_kind::doubted},
            now);
        return 1;
    });
    report("peer's activity", 20'000, [&](std::size_t i) {
        auto const& one = all[i * 31 % all.size()];
        table.on_peer_activity(
            {peer_name(i % near_count * domain_count)},
            {one.target.id, one.started_ms, static_cast<std::uint32_t>(i % 2)},
            now);
        return 1;
    });
    auto const told = activities(all, 35);
    report("other domain's activity", 2'000, [&](std::size_t i) {
        table.on_domain_activity({domain_name(i % 4 + 1)}, told, now);
        return 1;
    });
    report("own domain's activity", 500,
           [&](std::size_t) { return table.domain_activity(now).size(); });
}

std::string entry_text(discovered_target const& one) {
    return nlohmann::json{
        {"address", one.target.address},
        {"started", one.started_ms},
        {"description",
         {{"service", one.target.service.value},
          {"failure_domain", one.target.failure_domain.value},
          {"slots", one.target.slots},
          {"build", "2026.11.3"},
          {"labels", {{"team", "storefront"}, {"tier", "gold"}}}}},
        {"status", {{"state", "ready"}, {"load", 0.25}, {"warm_up_s", 0.0}}}}
        .dump();
}

result<discovered_target> read_entry(std::string_view id,
                                     std::string const& text) {
    auto const in = nlohmann::json::parse(text);
    auto const& description = in.at("description");
    discovered_target out;
    out.target = {{std::string(id)},
                  {description.at("service").get<std::string>()},
                  {description.at("failure_domain").get<std::string>()},
                  in.at("address").get<std::string>(),
                  description.at("slots").get<std::uint32_t>(),
                  0};
    out.started_ms = in.at("started").get<std::int64_t>();
    out.leaving = in.at("status").at("state") != "ready";
    return out;
}

void measure_entries() {
    auto const all = all_targets();
    std::string const prefix = "targets/";
    std::vector<mirror::stored_item> items;
    items.reserve(all.size());
    std::uint64_t revision = 1;
    for (auto const& one : all)
        items.push_back(
            {prefix + one.target.id.value, entry_text(one), revision++});
    mirror::store_mirror store;
    store.replace(items, revision);
    report("parse all entries", 20, [&](std::size_t) {
        std::size_t usable = 0;
        for (auto const* item : store.with_prefix(prefix))
            usable += read_entry(item->key.substr(prefix.size()), item->value)
                          .has_value();
        return usable;
    });
    gateway::target_entries entries(prefix, read_entry);
    entries.update(store);
    report("read entries after a change of one", 200, [&](std::size_t i) {
        auto changed = items[i % items.size()];
        changed.revision = ++revision;
        store.apply({revision - 1, revision, {{changed, false}}});
        entries.update(store);
        return entries.targets().size();
    });
}

gateway::heartbeat heartbeat_of(std::size_t number) {
    gateway::heartbeat out;
    out.sender = {peer_name(number)};
    out.control = peer_name(number);
    out.failure_domain = {domain_name(number)};
    out.incarnation = 1'764'800'000'000'000 + number;
    out.store_revision = 4'711;
    for (auto const& service : services)
        out.budgets[{service.name}] = {80, 0.5};
    return out;
}

void measure_message(std::string const& name,
                     gateway::peer_message const& message) {
    auto const bytes = gateway::encode(message);
    report("encode " + name, 5'000,
           [&](std::size_t) { return gateway::encode(message).size(); });
    report("decode " + name + numbered(", bytes: ", bytes.size()), 5'000,
           [&](std::size_t) { return gateway::decode(bytes).index() == 0; });
}

void measure_messages() {
    auto const all = all_targets();
    auto told = activities(all, 0);
    measure_message("heartbeat", heartbeat_of(3));
    measure_message("belief", gateway::target_notice_message{
                                  {peer_name(3)},
                                  1,
                                  gateway::reach::receiver,
                                  {{all[0].target.id, all[0].started_ms,
                                    placement::notice_kind::doubted}}});
    measure_message("domain activity",
                    gateway::domain_activity_message{
                        {peer_name(3)}, {domain_name(3)}, true, told});
    told.resize(2);
    measure_message("activity",
                    gateway::activity_message{{peer_name(3)}, told});
}

void measure_peers() {
    gateway::peer_table table({{peer_name(0)}, {domain_name(0)}, domain_count});
    placement::fleet_budget budget({}, {peer_name(0)}, 1, start - 1min);
    budget.own().on_fleet_size(daemon_count, start);
    for (std::size_t i = 1; i < daemon_count; ++i) {
        table.on_heartbeat(heartbeat_of(i), start);
        budget.on_report({peer_name(i)}, {80, 0.5}, start);
    }
    report("heartbeat", 5'000, [&](std::size_t i) {
        return table.on_heartbeat(heartbeat_of(i % daemon_count), start);
    });
    report("budget report of a peer", 5'000, [&](std::size_t i) {
        budget.on_report({peer_name(i % daemon_count)}, {80, 0.5}, start);
        return 1;
    });
    report("may repeat", 5'000,
           [&](std::size_t) { return budget.own().allows(start); });
    report("fleet's requests", 5'000, [&](std::size_t) {
        return static_cast<std::uint64_t>(
            budget.fleet_requests(daemon_count, start));
    });
    report("should watch", 5'000,
           [&](std::size_t) { return table.should_watch(start); });
    report("ahead of", 5'000, [&](std::size_t) {
        return !table.peers_with_newer_copy(4'711, start).empty();
    });
    report("near addresses", 5'000, [&](std::size_t) {
        return table.live_same_domain_addresses(start).size();
    });
}

// Sends to one receiver, so that the price of both ends is seen.
void measure_datagrams() {
    asio::io_context context;
    net::peer_transport_options options;
    options.bind_address = "127.0.0.1:0";
    options.max_datagram_bytes = 1'200;
    std::uint64_t received = 0;
    auto receiver =
        net::peer_transport::open(context, options,
                                  [&](net::peer_transport::bytes_view,
                                      std::string const&) { ++received; })
            .value();
    auto sender =
        net::peer_transport::open(context, options, [](auto&&...) {}).value();
    std::vector<std::uint8_t> const bytes(90, 1);
    std::string const to = receiver->local_address();
    context.poll();
    report("datagrams to 100 peers", 100, [&](std::size_t) {
        for (std::size_t i = 0; i < 100; ++i)
            sender->send(bytes, to);
        context.restart();
        auto const handlers = context.poll();
        return handlers > 0;
    });
    std::cout << nlohmann::json{{"datagrams_received", received}}.dump()
              << "\n";
}

void measure_counters() {
    gateway::counters counters;
    report("count a request", 5'000, [&](std::size_t i) {
        counters.on_request(services[i % 3].name, "idempotent", "answered",
                            0.6);
        return 1;
    });
    report("count an attempt", 5'000, [&](std::size_t i) {
        counters.on_attempt(services[i % 3].name, "success", 0.6);
        return 1;
    });
}

} // namespace

int main() {
    measure_table();
    measure_entries();
    measure_messages();
    measure_peers();
    measure_datagrams();
    measure_counters();
}
