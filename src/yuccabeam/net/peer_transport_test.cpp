#include "yuccabeam/net/peer_transport.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

namespace yuccabeam::net {
namespace {

using datagram = std::vector<std::uint8_t>;

// Two transports on loopback; the datagrams that `second` receives are stored.
struct pair {
    asio::io_context context;
    std::vector<datagram> received;
    std::string from;
    std::unique_ptr<peer_transport> first, second;

    pair() {
        first = open([](auto, auto const&) {});
        second = open([this](auto data, auto const& address) {
            received.emplace_back(data.begin(), data.end());
            from = address;
        });
    }
    std::unique_ptr<peer_transport>
    open(peer_transport::receive_callback callback) {
        return peer_transport::open(context, {}, std::move(callback)).value();
    }
    // Runs the loop until `count` datagrams were received. If one is lost, the
    // timeout of ctest ends the test program; there is no timeout here.
    void await(std::size_t count) {
        while (received.size() < count)
            context.run_one();
    }
};

// Guards against lost bytes, a wrong source address, and dropped datagrams
// that are not counted.
TEST_CASE("datagrams arrive complete, dropped ones are counted") {
    pair p;
    auto const to = p.second->local_address();
    datagram const largest(1200, 7);
    p.first->send(datagram(1201), to);
    p.first->send({1}, "localhost:1");
    p.first->send({1}, "127.0.0.1:0");
    p.first->send({1, 2, 3}, to);
    p.first->send(largest, to);
    p.await(2);
    CHECK(p.received == std::vector<datagram>{{1, 2, 3}, largest});
    CHECK(p.from == p.first->local_address());
    auto const sent = p.first->counters();
    CHECK(sent.sent == 2);
    CHECK(sent.sent_bytes == 1203);
    CHECK(sent.dropped_oversized == 1);
    CHECK(sent.dropped_bad_address == 2);
    CHECK(p.second->counters().received_bytes == 1203);
}

// Guards against a fault that stays in effect, or that affects another peer.
TEST_CASE("link faults drop and delay by address") {
    pair p;
    auto const to = p.second->local_address();
    p.first->set_faults({{to, {.drop_sent = 1}}});
    p.first->send({1}, to);
    p.first->set_faults({{"127.0.0.1:1", {.drop_sent = 1}}});
    p.first->send({2}, to);
    p.await(1);
    p.first->set_faults({{to, {.delay_sent = std::chrono::milliseconds(30)}}});
    p.first->send({4}, to);
    p.first->set_faults({});
    p.first->send({3}, to);
    p.await(3);
    CHECK(p.received == std::vector<datagram>{{2}, {3}, {4}});
    CHECK(p.first->counters().dropped_by_fault == 1);

    p.second->set_faults({{p.first->local_address(), {.drop_received = 1}}});
    p.first->send({5}, to);
    while (p.second->counters().dropped_by_fault == 0)
        p.context.run_one();
    CHECK(p.received.size() == 3);
}

// Guards against a bind error that ends the process or is ignored.
TEST_CASE("a bad bind address is reported as an error value") {
    asio::io_context context;
    pair p;
    struct row {
        std::string address;
        fault_code code;
    };
    row const rows[] = {
        {"localhost:0", fault_code::invalid_input},
        {"127.0.0.1", fault_code::invalid_input},
        {"127.0.0.1:99999", fault_code::invalid_input},
        {p.first->local_address(), fault_code::rejected},
    };
    for (auto const& row : rows) {
        CAPTURE(row.address);
        auto const got = peer_transport::open(
            context, {.bind_address = row.address}, [](auto, auto const&) {});
        REQUIRE(!got);
        CHECK(got.error().code == row.code);
    }
}

// Guards against a completion handler that erases its timer from the list
// after `close` has cleared it.
TEST_CASE(
    "closing drops a delayed datagram that is due in the same loop turn") {
    pair p;
    auto const to = p.second->local_address();
    p.context.poll();
    p.first->set_faults({{to, {.delay_sent = duration(1)}}});
    p.first->send({1}, to);
    p.context.run_one();
    p.first->close();
    p.context.poll();
    CHECK(p.first->counters().sent == 0);
    CHECK(p.received.empty());
}

} // namespace
} // namespace yuccabeam::net
