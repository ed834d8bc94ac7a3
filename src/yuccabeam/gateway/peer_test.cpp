#include "yuccabeam/gateway/drain.hpp"
#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/gateway/peer_table.hpp"
#include "yuccabeam/gateway/repeat_ledger.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

heartbeat beat(std::string const& sender, std::string const& domain) {
    heartbeat out;
    out.sender = {sender};
    out.failure_domain = {domain};
    out.incarnation = 1;
    return out;
}

peer_table table_of(std::string const& self, std::string const& domain) {
    return peer_table({{self}, {domain}, 3});
}

} // namespace

TEST_CASE("messages between daemons survive their encoding") {
    heartbeat sample = beat("10.0.0.1:7", "a");
    sample.store_revision = 77;
    sample.watching = true;
    sample.counts[{"svc"}] = {12, 3};
    std::vector<peer_message> const messages = {
        sample,
        belief_message{
            {"x"},
            placement::target_notice{{"t"}, 5, placement::notice_kind::doubted},
            {"svc"},
            true},
        belief_message{{"x"}, std::nullopt, {"svc"}, true},
        belief_message{{"x"},
                       placement::target_notice{
                           {"t"}, 7, placement::notice_kind::replaced},
                       {"svc"},
                       false},
        activity_message{{"x"}, {{{"t"}, 5, 3}, {{"u"}, 6, 0}}},
        domain_activity_message{{"x"}, {"a"}, true, {{{"t"}, 5, 9}}},
        change_message{{"x"},
                       "c",
                       {3,
                        9,
                        {{{"k", std::string("\0\xff", 2), 4}, false},
                         {{"gone", "", 9}, true}}}}};
    for (auto const& message : messages)
        CHECK(decode(encode(message)) == message);
}

TEST_CASE("damaged datagrams are refused and never thrown on") {
    auto const good = encode(beat("10.0.0.1:7", "a"));
    std::mt19937 random(11);
    int refused = 0;
    for (int i = 0; i < 2'000; ++i) {
        auto bytes = good;
        bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        bytes.resize(1 + random() % bytes.size());
        refused += !decode(bytes);
    }
    CHECK(refused > 1'500);
    CHECK_FALSE(decode({}));
}

TEST_CASE("one daemon of a failure domain follows the store; another takes "
          "over when it is silent or has trouble") {
    struct row {
        char const* guards;
        bool watching;
        bool trouble;
        duration age;
        bool expected;
    };
    row const rows[] = {
        {"a lower address that follows the store", true, false, 100ms, false},
        {"nobody follows the store yet", false, false, 100ms, true},
        {"the follower is silent", true, false, 1500ms, true},
        {"the store fails the follower", false, true, 100ms, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        auto table = table_of("10.0.0.5:7", "a");
        auto message = beat("10.0.0.1:7", "a");
        message.watching = row.watching;
        message.store_trouble = row.trouble;
        table.on_heartbeat(message, start);
        CHECK(table.should_watch(start + row.age) == row.expected);
    }
    auto lowest = table_of("10.0.0.1:7", "a");
    auto higher = beat("10.0.0.5:7", "a");
    higher.watching = true;
    lowest.on_heartbeat(higher, start);
    CHECK(lowest.should_watch(start));
}

TEST_CASE("a late datagram of an earlier process changes nothing") {
    auto table = table_of("10.0.0.5:7", "a");
    auto message = beat("10.0.0.1:7", "a");
    message.incarnation = 2;
    message.store_revision = 9;
    CHECK(table.on_heartbeat(message, start));
    message.incarnation = 1;
    message.store_revision = 99;
    CHECK_FALSE(table.on_heartbeat(message, start));
    auto const ahead = table.ahead_of(5, start);
    REQUIRE(ahead);
    CHECK(ahead->store_revision == 9);
    CHECK_FALSE(table.ahead_of(9, start));
}

TEST_CASE("daemons in other failure domains send less often and stay live") {
    auto table = table_of("10.0.0.5:7", "a");
    table.on_heartbeat(beat("10.0.0.1:7", "a"), start);
    table.on_heartbeat(beat("10.1.0.1:7", "b"), start);
    CHECK(table.live_count(start + 2s) == 2);
    CHECK(table.live_count(start + 4s) == 1);
    CHECK(table.live_count(start + 8s) == 0);
}

TEST_CASE("a stopping daemon serves until the balancer has taken it out, and "
          "ends before it is killed") {
    struct row {
        duration elapsed;
        std::size_t active;
        drain_step expected;
    };
    row const rows[] = {
        {0s, 0, drain_step::serve},          {2s, 0, drain_step::serve},
        {3s, 1, drain_step::stop_accepting}, {3s, 0, drain_step::end},
        {5900ms, 1, drain_step::end},
    };
    for (auto const& row : rows)
        CHECK(next_drain_step(row.elapsed, row.active, {}) == row.expected);
}

TEST_CASE("one daemon of the fleet writes for all, and another when it is "
          "silent") {
    auto table = table_of("10.0.0.2:7", "a");
    CHECK(table.is_first(start));
    table.on_heartbeat(beat("10.0.0.3:7", "a"), start);
    CHECK(table.is_first(start));
    table.on_heartbeat(beat("10.0.0.1:7", "b"), start);
    CHECK_FALSE(table.is_first(start + 1s));
    CHECK(table.is_first(start + 20s));
}

TEST_CASE("notes of repeats survive their text; others are refused") {
    placement::repeat_counts const counts{520, 130};
    CHECK(read_repeat_note(write_repeat_note(counts)) == counts);
    for (auto const* text :
         {"", "{}", "[1,2]", "\xff", R"({"requests":"many","repeats":1})",
          R"({"requests":1,"repeats":-1})"})
        CHECK_FALSE(read_repeat_note(text));
}
