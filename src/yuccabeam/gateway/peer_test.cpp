#include "yuccabeam/gateway/drain.hpp"
#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/gateway/peer_table.hpp"
#include "yuccabeam/gateway/service_budgets.hpp"

#include <cmath>
#include <doctest/doctest.h>
#include <limits>
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

bool accepted(std::span<std::uint8_t const> bytes) {
    return std::holds_alternative<peer_message>(decode(bytes));
}

peer_table table_of(std::string const& self, std::string const& domain) {
    return peer_table({{self}, {domain}, 3});
}

} // namespace

TEST_CASE("messages between daemons are unchanged by encoding and decoding") {
    heartbeat sample = beat("10.0.0.1:7", "a");
    sample.store_revision = 77;
    sample.watching = true;
    sample.copy_age = 640ms;
    sample.store_available = {{90s, 600ms}};
    sample.budgets[{"svc"}] = {12, 0.75};
    std::vector<peer_message> const messages = {
        sample,
        target_notice_message{{"x"},
                              1ULL << 60,
                              reach::fleet,
                              {{{"t"}, 5, placement::notice_kind::doubted},
                               {{"u"}, -1, placement::notice_kind::replaced}}},
        credit_request_message{{"x"}, {"svc"}, {1ULL << 63, 0.8}},
        credit_grant_message{{"x"}, {"svc"}, {1ULL << 63, 0.8, 0.25}},
        activity_message{{"x"}, {{{"t"}, 5, 3}, {{"u"}, 6, 0}}},
        domain_activity_message{{"x"}, {"a"}, true, {{{"t"}, 5, 9}}},
        load_report_message{{"x"}, {{~0ULL, 3, true}, {5, 0, false}}},
        domain_load_message{{"x"}, {}},
        quota_request_message{
            {"x"}, ~0ULL, {7, ~0ULL, 0.01, 1ULL << 63}, {"a"}},
        quota_request_message{{"x"}, 0, {7, 0, 1, 0}, {}},
        quota_grant_message{{"x"}, ~0ULL, true, true, 0ms},
        quota_grant_message{{"x"}, 1, false, true, 1'250ms},
        quota_release_message{{"x"}},
        change_message{{"x"},
                       "c",
                       true,
                       {3,
                        9,
                        {{{"k", std::string("\0\xff", 2), 4}, false},
                         {{"gone", "", 9}, true}}}}};
    for (auto const& message : messages) {
        CAPTURE(message.index());
        auto const read = decode(encode(message));
        REQUIRE(std::holds_alternative<peer_message>(read));
        CHECK(std::get<peer_message>(read) == message);
    }
}

TEST_CASE("damaged datagrams are rejected without an exception") {
    auto const good = encode(beat("10.0.0.1:7", "a"));
    std::mt19937 random(11);
    int refused = 0;
    for (int i = 0; i < 2'000; ++i) {
        auto bytes = good;
        bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        bytes.resize(1 + random() % bytes.size());
        refused += !accepted(bytes);
    }
    CHECK(refused > 1'500);
    CHECK_FALSE(accepted({}));
}

TEST_CASE("a message or a body of changes truncated at any byte is rejected") {
    auto const message = encode(beat("10.0.0.1:7", "a"));
    REQUIRE(accepted(message));
    for (std::size_t size = 0; size < message.size(); ++size)
        CHECK_FALSE(accepted(std::span(message).first(size)));
    auto const changes =
        encode_changes({3, 9, {{{"k", "v", 4}, false}}}, {"p"});
    REQUIRE(decode_changes(changes));
    for (std::size_t size = 0; size < changes.size(); ++size)
        CHECK_FALSE(decode_changes(changes.substr(0, size)));
}

TEST_CASE("a credit grant with an impossible amount is rejected") {
    for (double const amount : {-0.5, 1e9, std::nan("")}) {
        CAPTURE(amount);
        CHECK_FALSE(accepted(
            encode(credit_grant_message{{"x"}, {"svc"}, {1, amount, 0}})));
    }
}

// Guards against watchers whose slow links delay what the whole failure domain
// learns from them.
TEST_CASE(
    "the daemons on the largest VMs of a failure domain watch the store") {
    struct row {
        char const* guards;
        std::uint32_t own;
        std::uint32_t other;
        std::string other_address;
        bool expected;
    };
    row const rows[] = {
        {"a smaller VM with a lower address", 50, 24, "10.0.0.1:7", true},
        {"a larger VM with a higher address", 24, 50, "10.0.0.9:7", false},
        {"an equal VM with a lower address", 24, 24, "10.0.0.1:7", false},
        {"an equal VM with a higher address", 24, 24, "10.0.0.9:7", true},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        peer_table_options options{{"10.0.0.5:7"}, {"a"}, 3};
        options.processor_percent = row.own;
        peer_table table(options);
        auto message = beat(row.other_address, "a");
        message.watching = true;
        message.processor_percent = row.other;
        table.on_heartbeat(message, start);
        CHECK(table.should_watch(start) == row.expected);
    }
}

// Guards against a pool that counts more than a whole quota for one daemon.
TEST_CASE("a loan of an impossible share is rejected") {
    for (double const share :
         {-0.001, 1.001, std::nan(""), -std::numeric_limits<double>::infinity(),
          std::numeric_limits<double>::infinity()}) {
        CAPTURE(share);
        CHECK_FALSE(accepted(
            encode(quota_request_message{{"x"}, 1, {1, 1, share, 0}, {"a"}})));
    }
    for (double const share : {0., 1.})
        CHECK(accepted(
            encode(quota_request_message{{"x"}, 1, {1, 1, share, 0}, {"a"}})));
}

// Guards against a response that asks a caller to retry in the past.
TEST_CASE("an answer of a pool with a negative time is rejected") {
    for (auto const time : {-1ms, std::chrono::milliseconds::min()}) {
        CAPTURE(time.count());
        CHECK_FALSE(
            accepted(encode(quota_grant_message{{"x"}, 1, false, true, time})));
    }
}

// Guards against a datagram cut short that lends or grants something.
TEST_CASE("a message on quotas truncated at any byte is rejected") {
    std::vector<peer_message> const messages = {
        quota_request_message{{"x"}, 1, {1, 1, 0.5, 0}, {"a"}},
        quota_grant_message{{"x"}, 1, true, true, 0ms},
        quota_release_message{{"x"}}};
    for (auto const& message : messages) {
        CAPTURE(message.index());
        auto const bytes = encode(message);
        REQUIRE(accepted(bytes));
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(accepted(std::span(bytes).first(size)));
    }
}

// Guards against a copy that is regarded as current forever, because its
// confirmation lies in the future.
TEST_CASE("a heartbeat with a negative copy age is rejected") {
    auto message = beat("10.0.0.1:7", "a");
    message.copy_age = -1ms;
    CHECK_FALSE(accepted(encode(message)));
}

// Guards against an outage of the store that stays hidden behind an answer in
// the future.
TEST_CASE("a heartbeat with impossible ages of the store's answers is "
          "rejected") {
    for (available_ages const ages : {available_ages{5s, -1ms}, {1s, 2s}}) {
        auto message = beat("10.0.0.1:7", "a");
        message.store_available = ages;
        CHECK_FALSE(accepted(encode(message)));
    }
}

TEST_CASE("a heartbeat of an earlier version, without the ages of the store's "
          "answers, is accepted") {
    auto message = beat("10.0.0.1:7", "a");
    auto bytes = encode(message);
    // The last field is an empty array, and the record one field shorter.
    REQUIRE(bytes.back() == 0x90);
    bytes.pop_back();
    constexpr std::size_t record = 3; // after the version and the kind
    --bytes[record];
    auto const read = decode(bytes);
    REQUIRE(std::holds_alternative<peer_message>(read));
    CHECK(std::get<peer_message>(read) == peer_message(message));
}

TEST_CASE("a rejected datagram is counted by its reason") {
    struct row {
        char const* guards;
        std::vector<std::uint8_t> bytes;
        codec::message_fault expected;
    };
    auto const good = encode(domain_load_message{{"x"}, {}});
    auto const with = [&](std::size_t at, std::uint8_t value) {
        auto out = good;
        out[at] = value;
        return out;
    };
    auto longer = good;
    longer.push_back(0xc0);
    std::string nested(1'000, '\x91');
    row const rows[] = {
        {"a daemon of an earlier version beside this one", with(1, 2),
         codec::message_fault::unknown_version},
        {"a daemon of a later version beside this one", with(1, 4),
         codec::message_fault::unknown_version},
        {"an unknown kind", with(2, 99), codec::message_fault::unknown_kind},
        {"bytes after the message", longer, codec::message_fault::malformed},
        {"an array of four billion elements",
         {0x93, 3, 1, 0xdd, 0xff, 0xff, 0xff, 0xff},
         codec::message_fault::malformed},
        {"a string of four billion bytes",
         {0x93, 3, 1, 0x91, 0xdb, 0xff, 0xff, 0xff, 0xff},
         codec::message_fault::malformed},
        {"deeply nested arrays",
         {nested.begin(), nested.end()},
         codec::message_fault::malformed},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        auto const read = decode(row.bytes);
        REQUIRE(std::holds_alternative<codec::message_fault>(read));
        CHECK(std::get<codec::message_fault>(read) == row.expected);
    }
}

TEST_CASE("one daemon of a failure domain watches the store; another takes "
          "over when it sends no heartbeats or its calls to the store fail") {
    struct row {
        char const* guards;
        bool watching;
        bool trouble;
        duration age;
        bool expected;
    };
    row const rows[] = {
        {"a daemon with a lower address watches the store", true, false, 100ms,
         false},
        {"no daemon watches the store yet", false, false, 100ms, true},
        {"the watcher sends no heartbeats", true, false, 1500ms, true},
        {"the watcher's calls to the store fail", false, true, 100ms, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        auto table = table_of("10.0.0.5:7", "a");
        auto message = beat("10.0.0.1:7", "a");
        message.watching = row.watching;
        message.store_call_failed = row.trouble;
        table.on_heartbeat(message, start);
        CHECK(table.should_watch(start + row.age) == row.expected);
    }
    auto lowest = table_of("10.0.0.1:7", "a");
    auto higher = beat("10.0.0.5:7", "a");
    higher.watching = true;
    lowest.on_heartbeat(higher, start);
    CHECK(lowest.should_watch(start));
}

TEST_CASE("a delayed datagram of an earlier incarnation is ignored") {
    auto table = table_of("10.0.0.5:7", "a");
    auto message = beat("10.0.0.1:7", "a");
    message.incarnation = 2;
    message.store_revision = 9;
    CHECK(table.on_heartbeat(message, start));
    message.incarnation = 1;
    message.store_revision = 99;
    CHECK_FALSE(table.on_heartbeat(message, start));
    CHECK(table.peers_with_newer_copy(8, start) ==
          std::vector<newer_copy>{{message.control, 9}});
    CHECK(table.peers_with_newer_copy(9, start).empty());
}

TEST_CASE("daemons in other failure domains have a longer heartbeat timeout") {
    auto table = table_of("10.0.0.5:7", "a");
    table.on_heartbeat(beat("10.0.0.1:7", "a"), start);
    table.on_heartbeat(beat("10.1.0.1:7", "b"), start);
    CHECK(table.live_count(start + 2s) == 2);
    CHECK(table.live_count(start + 4s) == 1);
    CHECK(table.live_count(start + 8s) == 0);
}

// Guards against a service that is first used after the fleet size was set and
// then gets the retry budget of a fleet of one daemon.
TEST_CASE("each service's retry budget accounts for the fleet size") {
    service_budgets ledger({}, {"10.0.0.1:7"}, 1, start - 1min,
                           placement::initial_credit::none);
    auto const credit_of = [&](service_id const& service) {
        auto& own = ledger.of(service).own();
        for (int i = 0; i < 1'000; ++i)
            own.on_request(start);
        return own.credit(start);
    };
    ledger.of({"early"});
    ledger.on_fleet_size(40, start);
    CHECK(credit_of({"early"}) == doctest::Approx(credit_of({"late"})));
    CHECK(credit_of({"late"}) < 2);
}

TEST_CASE("a stopping daemon serves until the load balancer has removed it, "
          "and exits before it is killed") {
    struct row {
        duration elapsed;
        std::size_t connections;
        drain_step expected;
    };
    row const rows[] = {
        {0s, 0, drain_step::serve},
        {2s, 0, drain_step::serve},
        {3s, 1, drain_step::stop_accepting},
        {3s, 0, drain_step::end},
        {5500ms, 1, drain_step::stop_accepting},
        {5900ms, 1, drain_step::end},
    };
    for (auto const& row : rows)
        CHECK(next_drain_step(row.elapsed, row.connections, {}) ==
              row.expected);
}

// Guards against a response whose nesting overflows the stack of the recursive
// decoder and crashes the daemon.
TEST_CASE("deeply nested changes are rejected") {
    for (std::size_t const levels : {5u, 1'000u, 1'000'000u}) {
        CAPTURE(levels);
        CHECK_FALSE(decode_changes(std::string(levels, '\x91')));
        CHECK_FALSE(decode_changes(std::string(levels, '\x81')));
    }
    mirror::store_changes const changes{
        3, 5, {{{"k", std::string("\xff\x00", 2), 5}, false}}};
    auto const read = decode_changes(encode_changes(changes, {"p"}));
    REQUIRE(read);
    CHECK(read->changes == changes);
}
