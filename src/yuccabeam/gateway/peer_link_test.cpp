#include "yuccabeam/gateway/peer_link.hpp"

#include "yuccabeam/values/virtual_time.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr duration tick_period = 50ms;
constexpr duration link_delay = 3ms;
constexpr std::size_t target_count = 4;

std::string domain_name(std::size_t domain) {
    return std::string(1, static_cast<char>('a' + domain));
}

std::string address_of(std::size_t domain, std::size_t index) {
    return "10." + std::to_string(domain) + ".0." + std::to_string(index + 10) +
           ":7";
}

std::vector<discovered_target> targets() {
    std::vector<discovered_target> out;
    for (std::size_t i = 0; i < target_count; ++i) {
        discovered_target one;
        one.target = {
            {"t" + std::to_string(i)}, {"svc"}, {"a"}, "127.0.0.1:1", 6, 330};
        one.started_ms = 1;
        out.push_back(one);
    }
    return out;
}

struct member {
    std::string address;
    std::size_t domain;
    placement::target_table table;
    std::unique_ptr<peer_link> link;
    bool runs = true;
    int changes = 0; ///< received for the first time

    member(std::size_t domain, std::size_t index)
        : address(address_of(domain, index)), domain(domain),
          table({domain_name(domain)}, index) {
        table.replace(targets(), false, start);
    }
};

/// Daemons whose links exchange real datagrams in virtual time.
class fleet {
public:
    fleet(std::size_t domains, std::size_t per_domain) {
        for (std::size_t d = 0; d < domains; ++d)
            for (std::size_t i = 0; i < per_domain; ++i)
                members_.push_back(std::make_unique<member>(d, i));
        for (auto& one : members_) {
            one->link = std::make_unique<peer_link>(
                options_of(*one), one->table, callbacks(*one));
            for (auto const& other : members_)
                one->link->table().add_address(other->address, start);
            tick(*one);
        }
    }

    void run_for(duration length) { time_.run_until(now() + length); }
    time_point now() const { return time_.now(); }
    member& at(std::size_t index) { return *members_[index]; }
    std::vector<std::unique_ptr<member>>& members() { return members_; }

    /// Datagrams between these daemons are lost, in this direction.
    void cut(std::string const& from, std::string const& to) {
        cut_.insert({from, to});
    }

    member& root_of(std::size_t domain) {
        for (auto& one : members_)
            if (one->runs && one->domain == domain &&
                !one->link->relays().relay())
                return *one;
        FAIL("a failure domain without a relay");
        return at(0);
    }

    std::uint64_t sent(std::size_t index) const {
        std::uint64_t out = 0;
        for (auto const count : members_[index]->link->counters().sent)
            out += count;
        return out;
    }

private:
    peer_link_options options_of(member const& one) const {
        peer_link_options out;
        out.address = one.address;
        out.failure_domain = {domain_name(one.domain)};
        out.failure_domains = 2;
        out.incarnation = 1;
        out.processor_percent = 10;
        return out;
    }

    peer_link_callbacks callbacks(member& one) {
        peer_link_callbacks out;
        out.send = [this, &one](std::vector<std::uint8_t> const& bytes,
                                std::vector<std::string> const& addresses) {
            for (auto const& to : addresses)
                deliver(one.address, to, bytes);
        };
        out.fill_heartbeat = [](heartbeat&) {};
        out.on_heartbeat = [](heartbeat const&, bool) {};
        out.on_changes = [&one](change_message const&) {
            return ++one.changes == 1;
        };
        out.on_rejected = [](codec::message_fault) {
            FAIL("malformed datagram");
        };
        return out;
    }

    void deliver(std::string const& from, std::string const& to,
                 std::vector<std::uint8_t> const& bytes) {
        if (cut_.contains({from, to}))
            return;
        CHECK(bytes.size() <= max_datagram_bytes);
        auto const found = std::ranges::find(
            members_, to, [](auto const& one) { return one->address; });
        if (found == members_.end())
            return;
        time_.after(link_delay, [this, receiver = found->get(), bytes] {
            if (receiver->runs)
                receiver->link->receive(bytes, now());
        });
    }

    void tick(member& one) {
        if (one.runs)
            one.link->tick(now());
        time_.after(tick_period, [this, &one] { tick(one); });
    }

    virtual_time time_{start};
    std::vector<std::unique_ptr<member>> members_;
    std::set<std::pair<std::string, std::string>> cut_;
};

constexpr std::size_t per_domain = 40;

void start_request(fleet& all, std::size_t index, std::string const& target) {
    auto& one = all.at(index);
    one.table.on_start({target}, all.now());
    one.link->report_activity(*one.table.activity({target}), all.now());
}

double load_at(fleet& all, std::size_t index, std::string const& target) {
    for (auto const& load : all.at(index).table.domain_activity(all.now()))
        if (load.target.value == target)
            return load.in_flight;
    return 0;
}

bool suspects(fleet& all, std::size_t index, std::string const& target) {
    return all.at(index).table.snapshot_of({target}, all.now())->suspected;
}

} // namespace

// Guards against a daemon that is listed as live again after it has shut down,
// because a heartbeat follows its leaving message.
TEST_CASE("a daemon sends no heartbeat after its leaving message") {
    fleet all(1, 2);
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
    fleet all(2, per_domain);
    all.run_for(20s);
    heartbeat restarted;
    restarted.sender = {all.at(0).address};
    restarted.failure_domain = {"a"};
    restarted.incarnation = 2;
    auto const before = all.at(1).link->counters().sent[0];
    all.at(1).link->receive(encode(restarted), all.now());
    all.run_for(2 * tick_period);
    CHECK(all.at(1).link->counters().sent[0] > before);
}

TEST_CASE("every daemon of a failure domain knows the loads of the others "
          "through one relay") {
    fleet all(2, per_domain);
    all.run_for(5s);
    for (std::size_t i = 0; i < 10; ++i)
        start_request(all, i, "t1");
    all.run_for(200ms);
    for (std::size_t i = 0; i < per_domain; ++i) {
        CAPTURE(i);
        CHECK(load_at(all, i, "t1") == 10);
    }
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

// Guards against loads and evidence that depend on a daemon that is gone.
TEST_CASE("when the relay is killed or can't be heard, the others take another "
          "one within a second") {
    for (bool const killed : {true, false}) {
        CAPTURE(killed);
        fleet all(2, per_domain);
        all.run_for(5s);
        auto& root = all.root_of(0);
        root.runs = !killed;
        for (auto const& one : all.members())
            if (!killed)
                all.cut(root.address, one->address);
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
    fleet all(2, per_domain);
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
    for (auto const& one : all.members()) {
        one->table.loads().on_answer({"svc"}, {500ms, false, false, 0});
        one->table.loads().set_fleet_rate({"svc"}, 100);
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
    fleet all(2, per_domain);
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
        fleet all(2, size);
        all.run_for(10s);
        std::uint64_t before = 0;
        std::uint64_t after = 0;
        for (std::size_t i = 0; i < 2 * size; ++i)
            before += all.sent(i);
        all.run_for(std::chrono::seconds(seconds));
        for (std::size_t i = 0; i < 2 * size; ++i)
            after += all.sent(i);
        rates.push_back(static_cast<double>(after - before) / seconds /
                        static_cast<double>(2 * size));
    }
    CAPTURE(rates[0]);
    CHECK(rates[1] <= rates[0] * 1.2);
}
