#include "yuccabeam/gateway/peer_link.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <memory>

using namespace yuccabeam;
using namespace yuccabeam::gateway;

namespace {

constexpr time_point start{std::chrono::seconds(1'000)};

std::string address_of(asio::ip::udp::socket const& socket) {
    return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

peer_link_options options_for(std::string address) {
    peer_link_options out;
    out.address = std::move(address);
    return out;
}

struct link_pair {
    asio::io_context context;
    int notices = 0; ///< target notices that `second` received
    std::unique_ptr<peer_link> first;
    std::unique_ptr<peer_link> second;

    link_pair() {
        asio::ip::udp::endpoint const any(asio::ip::address_v4::loopback(), 0);
        std::string addresses[2];
        {
            asio::ip::udp::socket one(context, any);
            asio::ip::udp::socket other(context, any);
            addresses[0] = address_of(one);
            addresses[1] = address_of(other);
        }
        first =
            std::make_unique<peer_link>(options_for(addresses[0]), callbacks());
        second =
            std::make_unique<peer_link>(options_for(addresses[1]), callbacks());
        REQUIRE(first->open(context));
        REQUIRE(second->open(context));
        first->table().add_address(addresses[1], start);
    }

    peer_link_callbacks callbacks() {
        peer_link_callbacks out;
        out.fill_heartbeat = [](heartbeat&) {};
        out.on_heartbeat = [](heartbeat const&, bool) {};
        out.on_target_notice = [this](target_notice_message const&) {
            ++notices;
        };
        out.on_malformed = [] { FAIL("malformed datagram"); };
        return out;
    }

    // Datagrams on loopback keep their order, so all datagrams that were sent
    // before the notice have been received when this returns.
    void await_notice() {
        auto const before = notices;
        first->broadcast({{"t"}, 1, placement::notice_kind::failed});
        context.restart();
        while (notices == before)
            context.run_one();
    }
};

} // namespace

// Guards against a daemon that is listed as live again after it has shut down,
// because a heartbeat follows its leaving message.
TEST_CASE("a daemon sends no heartbeat after its leaving message") {
    link_pair links;
    links.first->announce(start);
    links.await_notice();
    REQUIRE(links.second->table().known_count() == 1);
    links.first->send_leaving(start);
    links.first->announce_to_domain(start);
    links.first->announce(start);
    links.await_notice();
    CHECK(links.second->table().known_count() == 0);
}
