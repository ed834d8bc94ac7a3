// Time of the decisions on the path of a request.
//
// Prints one JSON line per decision:
//   decision_bench
#include "yuccabeam/limits/admission_queue.hpp"
#include "yuccabeam/retry/ticket.hpp"
#include "yuccabeam/retry/ticket_table.hpp"
#include "yuccabeam/routing/route_table.hpp"
#include "yuccabeam/routing/select.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace yuccabeam;

std::string numbered(std::string prefix, std::size_t number) {
    return prefix.append(std::to_string(number));
}

/// Median of seven rounds, so that one disturbed round doesn't count.
template <class Operation>
void report(std::string const& name, std::size_t operations,
            Operation operation) {
    std::vector<double> rounds;
    rounds.reserve(7);
    std::uint64_t check = 0;
    for (int round = 0; round < 7; ++round) {
        auto const start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < operations; ++i)
            check += operation(i);
        std::chrono::duration<double, std::nano> const spent =
            std::chrono::steady_clock::now() - start;
        rounds.push_back(spent.count() / static_cast<double>(operations));
    }
    std::ranges::sort(rounds);
    nlohmann::json const line = {{"decision", name},
                                 {"operations", operations},
                                 {"ns_median", rounds[3]},
                                 {"ns_worst", rounds[6]},
                                 {"check", check}};
    std::cout << line.dump() << "\n";
}

void measure_routes() {
    constexpr std::size_t count = 33'000;
    std::vector<route> routes(count);
    std::vector<std::string> paths(count);
    for (std::size_t i = 0; i < count; ++i) {
        auto path = numbered("/area-", i % 300);
        if (i >= 300)
            path.append(numbered("/kind-", i / 300));
        routes[i].id.value = numbered("route-", i);
        routes[i].host = numbered("host-", i % 100).append(".example");
        routes[i].path_prefix = path;
        paths[i] = path.append("/item/17?count=3");
    }
    routing::route_table const table(routes);
    report("route of 33,000", count, [&](std::size_t i) {
        auto const at = i * 7'919 % count;
        return table.find(routes[at].host, paths[at]) != nullptr;
    });
}

void measure_select(std::size_t targets) {
    std::mt19937_64 random(1);
    std::vector<routing::candidate> candidates(targets);
    for (std::uint32_t i = 0; i < targets; ++i) {
        candidates[i].index = i;
        candidates[i].in_flight = static_cast<std::uint32_t>(random() % 5);
        candidates[i].failure_domain = i % 3;
    }
    report(numbered("select of ", targets), 1'000'000, [&](std::size_t) {
        return routing::select(candidates, {}, {}, random).index;
    });
}

// A queue that stays at `depth` entries: each round pushes one and takes one.
void measure_queue(std::size_t depth, std::size_t accounts) {
    limits::queue_options options;
    options.capacity = depth + 1;
    limits::admission_queue queue(options);
    std::mt19937_64 random(1);
    time_point now{};
    limits::entry_id next = 0;
    auto const push = [&] {
        limits::queue_entry entry;
        entry.id = next++;
        entry.account.value = numbered("account-", random() % accounts);
        entry.priority = static_cast<priority>(random() % 3);
        entry.deadline = now + std::chrono::hours(1);
        return queue.push(entry, now).size();
    };
    while (queue.size() < depth)
        push();
    report(numbered("push and take at depth ", depth), 200'000,
           [&](std::size_t) {
               now += std::chrono::microseconds(10);
               return push() + queue.take(1, now).size();
           });
}

void measure_tickets() {
    std::string const key(32, 'k');
    retry::ticket_table table({"daemon-17"}, 1);
    report("ticket issue, format, parse and use", 100'000, [&](std::size_t) {
        auto const text = retry::format_ticket(table.issue(), key);
        auto const ticket = retry::parse_ticket(text, key).value();
        auto const answer = table.use(ticket);
        table.finish(ticket, retry::run_outcome::ran, 200);
        return answer.use == retry::ticket_use::run;
    });
}

} // namespace

int main() {
    measure_routes();
    measure_select(7);
    measure_select(36);
    measure_queue(64, 16);
    measure_queue(1'024, 512);
    measure_tickets();
}
