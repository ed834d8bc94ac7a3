#include "yuccabeam/http1/client.hpp"

#include "scripted_peer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam::http1;

namespace {

client_request post_to(scripted_peer const& peer) {
    client_request out;
    out.address = peer.address();
    out.method = "POST";
    out.body = "x";
    return out;
}

} // namespace

TEST_CASE("a connect timeout that expires in the same loop turn as the "
          "connect does not report a written request as unsent") {
    asio::io_context context;
    scripted_peer peer(
        context, {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true}});
    client client(context.get_executor());
    std::optional<client_result> out;
    auto request = post_to(peer);
    request.timeout = std::chrono::seconds(30);
    request.connect_timeout = std::chrono::milliseconds(0);
    client.start(request,
                 [&](client_result result) { out = std::move(result); });
    peer.await_connection();
    REQUIRE(
        run_until(context, [&] { return out && !peer.requests().empty(); }));
    CHECK(to_string(out->status) == to_string(client_status::complete));
}

TEST_CASE("a timeout that expires after the request was written does not "
          "report it as unsent") {
    asio::io_context context;
    scripted_peer peer(context, {});
    client client(context.get_executor());
    std::optional<client_result> out;
    auto request = post_to(peer);
    request.timeout = std::chrono::milliseconds(0);
    client.start(request,
                 [&](client_result result) { out = std::move(result); });
    peer.await_connection();
    REQUIRE(run_until(context, [&] { return out.has_value(); }));
    CHECK(out->request_begun);
    CHECK(to_string(out->status) == to_string(client_status::timed_out));
}
