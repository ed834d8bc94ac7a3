// Two workers of a service leave without a word while one machine is
// partitioned from the store. See review/1/claim.txt.
#include "platform.hpp"

#include <cstdlib>
#include <iostream>

using namespace stand;

int main(int argc, char** argv) {
    if (argc != 3)
        return 2;
    std::string const dir = argv[1];
    record log(argv[2]);
    char const* const trouble_text = std::getenv("TROUBLE");
    bool const trouble = !trouble_text || std::string(trouble_text) != "0";
    constexpr double drain_s = 2;
    constexpr double requests_per_s = 60; // for each gateway
    now_s();

    store platform;
    platform.put("op/config", json{{"version", "r7"},
                                   {"resources",
                                    {route("r-stock", "shop.example", "/stock/",
                                           "idempotent", "shelfcount", 3, 2, 2),
                                     service("shelfcount"), limits()}}}
                                  .dump());
    std::vector<std::string> const zones = {"a", "b", "c"};
    std::vector<std::unique_ptr<worker>> workers;
    auto const add_worker = [&] {
        auto const n = workers.size();
        workers.push_back(
            std::make_unique<worker>(platform, log, "i-" + std::to_string(n),
                                     "shelfcount", zones[n % 3], 6, 24, 0.05));
        workers.back()->enter();
    };
    for (int i = 0; i < 6; ++i)
        add_worker();
    // The first machine of zone a is the one that watches the store for it.
    std::vector<std::unique_ptr<gateway>> fleet;
    std::vector<std::string> const zone_of = {"a", "a", "b", "c"};
    std::vector<std::string> seeds;
    auto const peer_ports = free_ports_in_order(zone_of.size());
    for (std::size_t i = 0; i < zone_of.size(); ++i) {
        fleet.push_back(std::make_unique<gateway>(
            log, dir, "edge-" + std::to_string(i + 1), zone_of[i], zones,
            platform.add_entrance(), peer_ports[i]));
        if (seeds.size() < 3)
            seeds.push_back(fleet.back()->control());
    }
    for (auto& one : fleet) {
        one->set_seeds(seeds);
        one->start();
    }
    for (auto& one : fleet)
        if (!one->wait_ready(10)) {
            log.line("not ready: " + one->name());
            return 2;
        }
    sleep_s(5);

    // The machine that is cut off is outside the judgement; clients keep to
    // the others.
    double const begin = now_s();
    std::atomic<bool> stop = false;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    for (std::size_t g = 1; g < fleet.size(); ++g)
        for (int c = 0; c < 12; ++c)
            clients.emplace_back([&, g, c] {
                double next = begin + c / requests_per_s;
                while (!stop) {
                    sleep_until_s(next);
                    next += 12 / requests_per_s;
                    auto const id =
                        "q" + std::to_string(g) + "-" + std::to_string(++sent);
                    auto const got = ask(fleet[g]->front(), "GET",
                                         "shop.example", "/stock/1", id, 6);
                    bool const good = got.result == read_result::complete &&
                                      got.answer.status() == 200;
                    served += good;
                    log.line("client: request " + id + " by " +
                             fleet[g]->name() + " gets " +
                             (got.result == read_result::complete
                                  ? std::to_string(got.answer.status())
                                  : "no answer"));
                }
            });

    // Three times: the machine that watches the store for zone a is cut off
    // from it, and two of the six workers are taken away. Two new workers
    // replace them later.
    std::vector<std::size_t> left;
    for (int round = 0; round < 3; ++round) {
        double const at = begin + 2 + 14 * round;
        sleep_until_s(at);
        if (trouble) {
            log.line("disruption: edge-1 is partitioned from the store");
            platform.set_reach(fleet[0]->store_port(), reach::silent);
        }
        sleep_until_s(at + 4.5);
        auto const first = workers.size() - 2;
        workers[first]->leave_without_word();
        sleep_s(0.02);
        workers[first + 1]->leave_without_word();
        left.insert(left.end(), {first, first + 1});
        sleep_until_s(at + 5.5);
        if (trouble) {
            log.line("disruption ends: edge-1 reaches the store");
            platform.set_reach(fleet[0]->store_port(), reach::open);
        }
        sleep_until_s(at + 10);
        for (int i = 0; i < 2; ++i)
            add_worker();
    }
    sleep_until_s(begin + 42);
    stop = true;
    for (auto& one : clients)
        one.join();

    int late = 0;
    for (auto const i : left)
        for (auto const& a : workers[i]->arrivals()) {
            double const after = a.at - workers[i]->left_at();
            if (after <= drain_s)
                continue;
            ++late;
            char text[160];
            std::snprintf(text, sizeof text,
                          "BROKEN DRAIN: request %s reached worker %s %.0f ms "
                          "after the store had removed its entry",
                          a.id.c_str(), a.worker.c_str(), after * 1000);
            log.line(text);
        }
    log.line("sent " + std::to_string(sent) + ", served " +
             std::to_string(served) + ", late arrivals " +
             std::to_string(late));
    std::cout << "late arrivals: " << late << std::endl;
    for (auto& one : fleet)
        one->kill_now();
    if (served < sent * 9 / 10) {
        log.line("too few requests were served to judge the case");
        std::_Exit(2);
    }
    std::_Exit(late > 0 ? 1 : 0);
}
