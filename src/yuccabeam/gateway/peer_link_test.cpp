#include "simulated_fleet.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t target_count = 4;
constexpr std::size_t per_domain = 40;

void start_request(simulated_fleet& all, std::size_t index,
                   std::string const& target) {
    auto& one = all.at(index);
    one.table.on_start({target}, all.now());
    one.link->report_activity(*one.table.activity({target}), all.now());
}

double load_at(simulated_fleet& all, std::size_t index,
               std::string const& target) {
    for (auto const& load : all.at(index).table.domain_activity(all.now()))
        if (load.target.value == target)
            return load.in_flight;
    return 0;
}

bool suspects(simulated_fleet& all, std::size_t index,
              std::string const& target) {
    return all.at(index).table.snapshot_of({target}, all.now())->suspected;
}

} // namespace

// Guards against a daemon that is listed as live again after it has shut down,
// because a heartbeat follows its leaving message.
TEST_CASE("a daemon sends no heartbeat after its leaving message") {
    simulated_fleet all(1, 2, target_count);
    all.run_for(100ms);
    REQUIRE(all.at(1).link->table().known_count() == 1);
    all.at(0).link->send_leaving(all.now());
    all.at(0).link->announce_to_domain(all.now());
    all.run_for(10s);
    CHECK(all.at(1).link->table().known_count() == 0);
}

// Guards against a restarted daemon that serves from an old copy until the next
// periodic heartbeat of a daemon with a newer one.
TEST_CASE("a restarted daemon hears from all others at once") {
    simulated_fleet all(2, per_domain, target_count);
    all.run_for(20s);
    heartbeat restarted;
    restarted.sender = {all.at(0).address};
    restarted.failure_domain = {"a"};
    restarted.incarnation = 2;
    auto const before = all.at(1).link->counters().sent[0];
    all.at(1).link->receive(encode(restarted), all.now());
    all.run_for(100ms);
    CHECK(all.at(1).link->counters().sent[0] > before);
}

TEST_CASE("every daemon of a failure domain knows the loads of the others "
          "through one relay") {
    simulated_fleet all(2, per_domain, target_count);
    all.run_for(5s);
    for (std::size_t i = 0; i < 10; ++i)
        start_request(all, i, "t1");
    all.run_for(200ms);
    for (std::size_t i = 0; i < per_domain; ++i) {
        CAPTURE(i);
        CHECK(load_at(all, i, "t1") == 10);
    }
    CHECK(all.bad_datagrams() == 0);
    // They stay known while the requests last, and end with them.
    all.run_for(8s);
    CHECK(load_at(all, per_domain - 1, "t1") == 10);
    for (std::size_t i = 0; i < 10; ++i) {
        all.at(i).table.on_cancel({"t1"});
        all.at(i).link->report_activity({}, all.now());
    }
    all.run_for(200ms);
    CHECK(load_at(all, per_domain - 1, "t1") == 0);
}

// Guards against a target that leaves and is used until its peers have pulled
// the configuration that was changed with it.
TEST_CASE("small changes are sent ahead of a large one") {
    simulated_fleet all(2, 5, target_count);
    all.run_for(5s);
    mirror::store_changes changes{
        5, 90, {{{"configuration", std::string(500'000, 'c'), 6}, false}}};
    std::set<std::string> small;
    for (std::uint64_t i = 0; i < 60; ++i) {
        small.insert("target" + std::to_string(i));
        changes.events.push_back(
            {{"target" + std::to_string(i), std::string(200, 't'), 7 + i},
             i % 2 == 0});
    }
    all.at(0).link->forward_changes(changes, all.now());
    all.run_for(100ms);
    for (std::size_t i = 1; i < all.size(); ++i) {
        CAPTURE(i);
        CHECK(all.at(i).changed_keys == small);
    }
    CHECK(all.bad_datagrams() == 0);
}

// Guards against loads and evidence that depend on a daemon that is gone.
TEST_CASE("when the relay is killed or can't be heard, the others take another "
          "one within a second") {
    for (bool const killed : {true, false}) {
        CAPTURE(killed);
        simulated_fleet all(2, per_domain, target_count);
        all.run_for(5s);
        auto* const found = all.root_of(0);
        REQUIRE(found);
        auto& root = *found;
        root.runs = !killed;
        for (std::size_t i = 0; i < all.size(); ++i)
            if (!killed)
                all.cut(root.address, all.at(i).address);
        all.run_for(1s);
        std::size_t sender = 0;
        while (&all.at(sender) == &root)
            ++sender;
        start_request(all, sender, "t2");
        all.run_for(200ms);
        for (std::size_t i = 0; i < per_domain; ++i) {
            CAPTURE(i);
            if (&all.at(i) != &root)
                CHECK(load_at(all, i, "t2") == 1);
        }
    }
}

TEST_CASE(
    "a notice reaches every daemon of a large fleet within 100 ms, once") {
    simulated_fleet all(2, per_domain, target_count);
    all.run_for(5s);
    auto& sender = all.at(per_domain + 3);
    sender.link->broadcast({{"t0"}, 1, placement::notice_kind::failed},
                           all.now());
    all.run_for(100ms);
    for (std::size_t i = 0; i < 2 * per_domain; ++i) {
        CAPTURE(i);
        if (&all.at(i) != &sender)
            CHECK(suspects(all, i, "t0"));
    }
    // Without spare capacity a single doubt doesn't suffice for a suspicion; a
    // second copy of it would.
    for (std::size_t i = 0; i < all.size(); ++i) {
        auto& loads = all.at(i).table.loads();
        loads.on_answer({"svc"}, {500ms, false, false, 0});
        loads.set_fleet_rate({"svc"}, 100);
    }
    sender.link->broadcast({{"t3"}, 1, placement::notice_kind::doubted},
                           all.now());
    all.run_for(1s);
    for (std::size_t i = 0; i < 2 * per_domain; ++i) {
        CAPTURE(i);
        CHECK_FALSE(suspects(all, i, "t3"));
    }
}

// Guards against a failure domain that learns of changes only from its own
// watcher.
TEST_CASE("changes reach a failure domain whose daemons can't read the store") {
    simulated_fleet all(2, per_domain, target_count);
    all.run_for(5s);
    mirror::store_changes const changes{3, 4, {{{"k", "v", 4}, false}}};
    all.at(0).link->forward_changes(changes, all.now());
    all.run_for(50ms);
    for (std::size_t i = 1; i < 2 * per_domain; ++i) {
        CAPTURE(i);
        CHECK(all.at(i).changes >= 1);
        // The second comes from the daemon of the domain that forwards it.
        CHECK(all.at(i).changes <= 3);
    }
}

// Guards against a cost of a daemon that grows with its fleet.
TEST_CASE("an idle daemon sends no more datagrams in a larger fleet") {
    constexpr std::size_t seconds = 20;
    std::vector<double> rates;
    for (std::size_t const size : {40, 120}) {
        simulated_fleet all(2, size, target_count);
        all.run_for(10s);
        auto const before = all.sent();
        all.run_for(std::chrono::seconds(seconds));
        rates.push_back(static_cast<double>(all.sent() - before) / seconds /
                        static_cast<double>(all.size()));
    }
    CAPTURE(rates[0]);
    CHECK(rates[1] <= rates[0] * 1.2);
}
