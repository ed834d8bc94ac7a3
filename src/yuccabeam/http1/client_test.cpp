#include "yuccabeam/http1/client.hpp"

#include "scripted_peer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam::http1;

namespace {

client_result ask(asio::io_context& context, client& client,
                  scripted_peer const& peer, std::string method = "GET",
                  std::string id = "mine") {
    std::optional<client_result> out;
    client_request request;
    request.address = peer.address();
    request.method = std::move(method);
    request.fields = {{"Host", "t"}};
    request.match_field = "Id";
    request.match_value = std::move(id);
    request.connect_timeout = request.timeout = std::chrono::seconds(30);
    client.start(request,
                 [&](client_result result) { out = std::move(result); });
    REQUIRE(run_until(context, [&] { return out.has_value(); }));
    return std::move(*out);
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
    {"a truncated body must not be reported as complete",
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
    {"bytes that are not an HTTP response",
     {"garbage garbage\r\n\r\n"},
     client_status::malformed,
     ""},
    {"a connection that closes without an answer",
     {"", true},
     client_status::reset,
     ""},
    {"a head that ends within a field, then another request's response",
     {"HTTP/1.1 200 OK\r\nId: mine\r\nX: HTTP/1.1 200 OK\r\nId: "
      "other\r\nContent-Length: 3\r\n\r\nbad",
      true},
     client_status::malformed,
     ""},
    {"another request's response alone",
     {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad", true},
     client_status::reset,
     ""},
    {"a response with its own and another request's id",
     {"HTTP/1.1 200 OK\r\nId: mine\r\nId: other\r\n"
      "Content-Length: 3\r\n\r\nbad",
      true},
     client_status::reset,
     ""},
    {"another request's response without a length hides what follows",
     {"HTTP/1.1 503 Busy\r\nId: other\r\n\r\n" + good, true},
     client_status::reset,
     ""},
    {"another request's response that is shorter than its Content-Length",
     {"HTTP/1.1 503 Busy\r\nId: other\r\nContent-Length: 7\r\n\r\n" + good},
     client_status::malformed,
     ""},
    {"a rejection with a truncated body",
     {"HTTP/1.1 503 Busy\r\nId: mine\r\nContent-Length: 5\r\n\r\nbu", true},
     client_status::truncated,
     "bu"},
};

std::string stray_response(std::string const& status, std::string const& ids) {
    return "HTTP/1.1 " + status + "\r\n" + ids +
           "Not-Run: 1\r\nContent-Length: 3\r\n\r\nbad";
}

struct stray_case {
    std::string what;
    std::string bytes;
    bool interim = false; ///< part of the response that follows
};

std::vector<stray_case> const strays = {
    {"a 503", stray_response("503 Busy", "Id: first\r\n")},
    {"a 429", stray_response("429 Busy", "Id: first\r\n")},
    {"a 421", stray_response("421 Other", "Id: first\r\n")},
    {"a 400", stray_response("400 Bad", "Id: first\r\n")},
    {"a success", stray_response("200 OK", "Id: first\r\n")},
    {"a refusal twice", stray_response("503 Busy", "Id: first\r\n") +
                            stray_response("503 Busy", "Id: first\r\n")},
    {"a refusal without id", stray_response("503 Busy", "")},
    {"a refusal with an empty id", stray_response("503 Busy", "Id:\r\n")},
    {"a refusal whose second id is right",
     stray_response("503 Busy", "Id: first\r\nId: mine\r\n")},
    {"a refusal whose first id is right",
     stray_response("503 Busy", "Id: mine\r\nId: first\r\n")},
    {"a refusal with a longer id", stray_response("503 Busy", "Id: mine1\r\n")},
    {"a refusal without a body",
     "HTTP/1.1 503 Busy\r\nId: first\r\nContent-Length: 0\r\n\r\n"},
    {"an interim response with the Not-Run field",
     "HTTP/1.1 102 Processing\r\nId: mine\r\nNot-Run: 1\r\n\r\n", true},
    {"an interim response", "HTTP/1.1 100 Continue\r\n\r\n", true},
};

enum class moment { behind_earlier, while_idle, ahead_of_own };

std::vector<std::pair<moment, std::string>> const moments = {
    {moment::behind_earlier, "behind the earlier response"},
    {moment::while_idle, "while the connection is idle"},
    {moment::ahead_of_own, "when the next request has been written"},
};

} // namespace

// Guards against a response that is passed to another request than its own.
TEST_CASE("a response that a peer sends twice is not passed to another "
          "request, and its connection isn't reused") {
    for (auto const& c : strays)
        for (auto const& entry : moments) {
            auto const moment = entry.first;
            CAPTURE(c.what);
            CAPTURE(entry.second);
            auto const earlier =
                "HTTP/1.1 503 Busy\r\nId: first\r\n"
                "Content-Length: 0\r\n\r\n" +
                (moment == moment::behind_earlier ? c.bytes : std::string());
            auto const ahead =
                moment == moment::ahead_of_own ? c.bytes : std::string();
            asio::io_context context;
            scripted_peer peer(
                context, {{earlier}, {good, false, false, "", ahead}, {good}});
            client client(context.get_executor());
            CHECK(ask(context, client, peer, "GET", "first").head.status ==
                  503);
            if (moment == moment::while_idle)
                peer.send(c.bytes);
            auto const second = ask(context, client, peer);
            CHECK(second.head.status == 200);
            CHECK(second.body == "ok");
            CHECK(second.reused == (moment == moment::ahead_of_own));
            auto const third = ask(context, client, peer);
            CHECK(third.body == "ok");
            bool const two = moment != moment::ahead_of_own || !c.interim;
            CHECK(client.connections_opened() == (two ? 2 : 1));
        }
}

// Guards against a late response from the store that is matched to the next
// call on the connection.
TEST_CASE("a connection whose call was cancelled or timed out isn't "
          "reused") {
    std::string const late = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
    std::string const own = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (bool const times_out : {false, true}) {
        CAPTURE(times_out);
        asio::io_context context;
        scripted_peer peer(context, {{""}, {own}});
        client client(context.get_executor());
        std::optional<client_result> first;
        client_request request;
        request.address = peer.address();
        request.timeout =
            times_out ? std::chrono::milliseconds(0) : std::chrono::seconds(30);
        auto const call = client.start(
            request, [&](client_result result) { first = std::move(result); });
        peer.await_connection();
        REQUIRE(run_until(context, [&] {
            return !peer.requests().empty() && (!times_out || first);
        }));
        client::cancel(call);
        peer.send(late);
        std::optional<client_result> second;
        request.timeout = std::chrono::seconds(30);
        client.start(request,
                     [&](client_result result) { second = std::move(result); });
        REQUIRE(run_until(context, [&] { return second.has_value(); }));
        CHECK(second->body == "ok");
        CHECK_FALSE(second->reused);
        CHECK(client.connections_opened() == 2);
    }
}

TEST_CASE("the status of a call follows from the response's bytes") {
    for (auto const& c : replies) {
        CAPTURE(c.guards);
        asio::io_context context;
        scripted_peer peer(context, {c.reply});
        client client(context.get_executor());
        auto const result = ask(context, client, peer);
        // A reset may discard bytes that have arrived, so both results are
        // valid.
        if (c.reply.reset && result.status == client_status::reset)
            continue;
        CHECK(to_string(result.status) == to_string(c.status));
        if (c.body)
            CHECK(result.body == c.body);
    }
}

TEST_CASE("a connection with bytes after its response isn't reused") {
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

TEST_CASE("a request is written only once, also if a reused connection "
          "closes without a response") {
    asio::io_context context;
    scripted_peer peer(context, {{good}, {"", true}, {good}});
    client client(context.get_executor());
    CHECK(ask(context, client, peer).body == "ok");
    auto const second = ask(context, client, peer, "POST");
    CHECK(second.status == client_status::reset);
    CHECK(second.reused);
    CHECK(peer.requests().size() == 2);
}

TEST_CASE("a refused connection is reported as connect_failed") {
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
    client.start(request,
                 [&](client_result result) { out = std::move(result); });
    REQUIRE(run_until(context, [&] { return out.has_value(); }));
    CHECK(out->status == client_status::connect_failed);
}

TEST_CASE("an idle connection that the peer has closed isn't reused, also if "
          "the close has not been handled yet") {
    asio::io_context context;
    scripted_peer peer(context, {{good, true}, {good}});
    client client(context.get_executor());
    CHECK(ask(context, client, peer).body == "ok");
    auto const second = ask(context, client, peer);
    CHECK(second.body == "ok");
    CHECK_FALSE(second.reused);
}

// Guards against a request that reaches another process because the port was
// truncated to 16 bits or the host parsed as 0.0.0.0.
TEST_CASE("a request to an invalid address isn't sent") {
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
        client.start(request,
                     [&](client_result result) { out = std::move(result); });
        // The handler never runs within `start`.
        CHECK_FALSE(out);
        REQUIRE(run_until(context, [&] { return out.has_value(); }));
        CHECK(out->status == client_status::connect_failed);
        CHECK_FALSE(out->request_begun);
    }
    CHECK(peer.connections() == 0);
}
