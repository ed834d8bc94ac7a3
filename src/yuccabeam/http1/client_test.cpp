#include "yuccabeam/http1/client.hpp"

#include "scripted_peer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam::http1;

namespace {

client_result ask(asio::io_context& context, client& client,
                  scripted_peer const& peer, std::string method = "GET") {
    std::optional<client_result> out;
    client_request request;
    request.address = peer.address();
    request.method = std::move(method);
    request.fields = {{"Host", "t"}};
    request.match_field = "Id";
    request.match_value = "mine";
    request.connect_timeout = request.timeout = std::chrono::seconds(30);
    client.start(request, [&](client_result result) { out = result; });
    REQUIRE(run_until(context, [&] { return out.has_value(); }));
    return *out;
}

std::string const good =
    "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok";

struct reply_case {
    char const* guards;
    scripted_peer::reply reply;
    client_status status;
    char const* body;
};

std::vector<reply_case> const replies = {
    {"a whole response", {good}, client_status::complete, "ok"},
    {"a late response to an earlier request comes first",
     {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad" + good},
     client_status::complete,
     "ok"},
    {"a body that ends early must not look complete",
     {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nok", true},
     client_status::truncated,
     "ok"},
    {"a chunked body without its end",
     {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nok\r\n",
      true},
     client_status::truncated,
     "ok"},
    {"a body without a length ends with an orderly close",
     {"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok", true},
     client_status::complete,
     "ok"},
    {"a body without a length that is reset is not complete",
     {"HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok", false, true},
     client_status::truncated,
     nullptr},
    {"bytes that are no response",
     {"garbage garbage\r\n\r\n"},
     client_status::malformed,
     ""},
    {"a connection that closes without an answer",
     {"", true},
     client_status::reset,
     ""},
    {"a head that stops in a field, then another request's response",
     {"HTTP/1.1 200 OK\r\nId: mine\r\nX: HTTP/1.1 200 OK\r\nId: "
      "other\r\nContent-Length: 3\r\n\r\nbad",
      true},
     client_status::reset,
     ""},
    {"another request's response alone",
     {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad", true},
     client_status::reset,
     ""},
};

} // namespace

TEST_CASE("what a response's bytes mean") {
    for (auto const& c : replies) {
        CAPTURE(c.guards);
        asio::io_context context;
        scripted_peer peer(context, {c.reply});
        client client(context.get_executor());
        auto const result = ask(context, client, peer);
        // A reset may drop bytes that have arrived, so either end is right.
        if (c.reply.reset && result.status == client_status::reset)
            continue;
        CHECK(to_string(result.status) == to_string(c.status));
        if (c.body)
            CHECK(result.body == c.body);
    }
}

TEST_CASE("a connection that sent bytes behind its response isn't used again") {
    for (bool const extra : {false, true}) {
        CAPTURE(extra);
        asio::io_context context;
        scripted_peer peer(context, {{extra ? good + good : good}, {good}});
        client client(context.get_executor());
        CHECK(ask(context, client, peer).body == "ok");
        auto const second = ask(context, client, peer);
        CHECK(second.body == "ok");
        CHECK(second.reused == !extra);
        CHECK(client.connections_opened() == (extra ? 2 : 1));
    }
}

TEST_CASE("a request is written once, also when a reused connection closes "
          "without an answer") {
    asio::io_context context;
    scripted_peer peer(context, {{good}, {"", true}, {good}});
    client client(context.get_executor());
    CHECK(ask(context, client, peer).body == "ok");
    auto const second = ask(context, client, peer, "POST");
    CHECK(second.status == client_status::reset);
    CHECK(second.reused);
    CHECK(peer.requests().size() == 2);
}

TEST_CASE("an address without a listener is a connect that sent nothing") {
    asio::io_context context;
    std::string address;
    {
        scripted_peer peer(context, {});
        address = peer.address();
    }
    client client(context.get_executor());
    std::optional<client_result> out;
    client_request request;
    request.address = address;
    client.start(request, [&](client_result result) { out = result; });
    REQUIRE(run_until(context, [&] { return out.has_value(); }));
    CHECK(out->status == client_status::connect_failed);
}

TEST_CASE("a kept connection that the peer has closed isn't used, also when "
          "its end has not been handled yet") {
    asio::io_context context;
    scripted_peer peer(context, {{good, true}, {good}});
    client client(context.get_executor());
    CHECK(ask(context, client, peer).body == "ok");
    auto const second = ask(context, client, peer);
    CHECK(second.body == "ok");
    CHECK_FALSE(second.reused);
}

// Guards against a request that reaches another process, as the port was cut
// to 16 bits or the host read as 0.0.0.0.
TEST_CASE("a request to an address that can't be read goes nowhere") {
    asio::io_context context;
    scripted_peer peer(context, {{good}, {good}});
    client client(context.get_executor());
    auto const local = peer.address();
    auto const port = local.substr(local.rfind(':') + 1);
    std::string const addresses[] = {
        "",
        ":" + port,
        "host:" + port,
        "0.0.0.0:" + port,
        "[::]:" + port,
        "127.0.0.256:" + port,
        "127.0.0.1:" + std::to_string(65'536 + std::stoul(port)),
        local + "x",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1",
    };
    for (auto const& address : addresses) {
        CAPTURE(address);
        client_request request;
        request.address = address;
        std::optional<client_result> out;
        client.start(request, [&](client_result result) { out = result; });
        // The handler runs later, as for every other end.
        CHECK_FALSE(out);
        REQUIRE(run_until(context, [&] { return out.has_value(); }));
        CHECK(out->status == client_status::connect_failed);
        CHECK_FALSE(out->request_begun);
    }
    CHECK(peer.connections() == 0);
}
