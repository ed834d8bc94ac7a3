#include "yuccabeam/http1/server.hpp"

#include "scripted_peer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam::http1;

namespace {

using tcp = asio::ip::tcp;

// A server whose handler responds at once with the request's body, or holds
// the responder if `hold` is set.
struct fixture {
    asio::io_context context;
    caller_limits limits;
    std::vector<incoming_request> seen;
    std::vector<responder_ptr> held;
    bool hold = false;
    server under_test{
        context.get_executor(), [this] { return limits; },
        [this](incoming_request request, responder_ptr caller) {
            seen.push_back(std::move(request));
            if (hold)
                held.push_back(caller);
            else
                caller->send({200, {}, "got " + seen.back().body});
        }};

    fixture() { REQUIRE(under_test.listen("127.0.0.1:0")); }

    tcp::socket connect() {
        tcp::socket socket(context);
        socket.connect(
            {asio::ip::make_address("127.0.0.1"), under_test.port()});
        return socket;
    }

    // Sends the text and reads until the server closes or `answers` responses
    // have arrived.
    std::string talk(std::string const& text, std::size_t answers = 1) {
        auto socket = connect();
        asio::write(socket, asio::buffer(text));
        std::string out;
        std::array<char, 4096> buffer{};
        bool closed = false;
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buffer),
                                   [&](auto error, auto size) {
                                       out.append(buffer.data(), size);
                                       closed = static_cast<bool>(error);
                                       if (!closed)
                                           read();
                                   });
        };
        read();
        run_until(context, [&] {
            std::size_t heads = 0;
            for (auto at = out.find("HTTP/1.1 "); at != std::string::npos;
                 at = out.find("HTTP/1.1 ", at + 1))
                ++heads;
            return closed || (heads >= answers && out.ends_with("got abc"));
        });
        return out;
    }
};

struct request_case {
    char const* guards;
    std::string text;
    int status;
    std::size_t handled;
};

std::vector<request_case> const cases = {
    {"a body with a length",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 200, 1},
    {"a chunked body",
     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
     "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     200, 1},
    {"two lengths (request smuggling)",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: "
     "30\r\n\r\nabc",
     400, 0},
    {"a length beside chunked framing",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n\r\n",
     400, 0},
    {"an empty length",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\nabc", 400, 0},
    {"a length with trailing characters",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3x\r\n\r\nabc", 400, 0},
    {"a length beyond 64 bits",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
     "18446744073709551619\r\n\r\nabc",
     400, 0},
    {"an unsupported transfer coding",
     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, "
     "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     400, 0},
    {"an unsupported transfer coding in two fields",
     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n"
     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     400, 0},
    {"a body whose end can't be determined",
     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
     "chunke\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     400, 0},
    {"two Host fields", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400,
     0},
    {"a body above the limit",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n", 413, 0},
    {"a head above the limit",
     "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n",
     431, 0},
    {"bytes that are not an HTTP request", "\x16\x03\x01\r\n\r\n", 400, 0},
};

} // namespace

TEST_CASE("only requests with valid framing and size reach the handler") {
    for (auto const& c : cases) {
        CAPTURE(c.guards);
        fixture f;
        f.limits.max_body_bytes = 100;
        f.limits.max_head_bytes = 500;
        auto const answer = f.talk(c.text);
        CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(c.status)));
        CHECK(f.seen.size() == c.handled);
    }
}

// Guards against an incomplete request that is passed to the handler.
TEST_CASE("only a complete request is handled, wherever its bytes end") {
    std::string const requests[] = {
        "GET /a?b=c HTTP/1.1\r\nHost: h\r\nX: 1\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n"
        "twelve bytes",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\nA;x=y\r\nten bytes.\r\n0\r\nSum: 1\r\n\r\n"};
    for (auto const& text : requests)
        for (std::size_t size = 0; size <= text.size(); ++size)
            for (bool const reset : {false, true}) {
                CAPTURE(text);
                CAPTURE(size);
                CAPTURE(reset);
                fixture f;
                f.hold = true;
                auto socket = f.connect();
                while (f.under_test.connections() == 0)
                    f.context.run_one();
                asio::write(socket, asio::buffer(text.substr(0, size)));
                if (reset)
                    socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                while (f.under_test.connections() != 0)
                    f.context.run_one();
                // A reset may discard the bytes of a complete request.
                if (size < text.size() || !reset)
                    CHECK(f.seen.size() == (size == text.size() ? 1 : 0));
            }
}

TEST_CASE("pipelined requests are answered one after the other") {
    fixture f;
    std::string const one =
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    auto const answer = f.talk(one + one, 2);
    CHECK(f.seen.size() == 2);
    CHECK(answer.find("got abc") != answer.rfind("got abc"));
}

TEST_CASE("a caller that closes is detected while its request is running") {
    fixture f;
    f.hold = true;
    auto socket = f.connect();
    asio::write(socket, asio::buffer(
                            std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
    REQUIRE(run_until(f.context, [&] { return f.held.size() == 1; }));
    bool disconnected = false;
    f.held[0]->on_disconnect([&] { disconnected = true; });
    CHECK(f.under_test.active() == 1);
    socket.close();
    REQUIRE(run_until(f.context, [&] { return disconnected; }));
    CHECK(f.under_test.active() == 0);
    f.held[0]->send({200, {}, "late"});
}

TEST_CASE("after announce_close each response closes its connection") {
    fixture f;
    f.under_test.announce_close();
    auto const answer =
        f.talk("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(f.seen.size() == 1);
}

TEST_CASE("a request whose first bytes arrive as the idle timeout expires is "
          "served") {
    fixture f;
    f.limits.idle_timeout = std::chrono::milliseconds(0);
    auto socket = f.connect();
    while (f.under_test.connections() == 0)
        f.context.run_one();
    // The timeout has expired and the bytes have arrived before the loop runs.
    asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.1\r\n")));
    f.context.poll();
    CHECK(f.under_test.counters().head_timeouts == 0);
    asio::write(socket, asio::buffer(std::string("Host: h\r\n\r\n")));
    f.context.poll();
    CHECK(f.seen.size() == 1);
}

TEST_CASE("a request that was read in the loop turn of close_idle is served") {
    fixture f;
    auto socket = f.connect();
    asio::write(socket, asio::buffer(
                            std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
    while (f.under_test.connections() == 0)
        f.context.run_one();
    f.under_test.close_idle();
    f.context.poll();
    CHECK(f.seen.size() == 1);
}

// Guards against callers whose requests are reset when a daemon stops, because
// it had not read them yet.
TEST_CASE("requests that were sent before the server stopped accepting are "
          "answered") {
    struct row {
        char const* guards;
        bool accepted; ///< before the server stops accepting
    };
    row const rows[] = {
        {"a connection in the queue of the acceptor", false},
        {"an idle connection whose request is not read yet", true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        fixture f;
        auto socket = f.connect();
        if (row.accepted)
            run_until(f.context,
                      [&] { return f.under_test.connections() == 1; });
        std::string const text = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        asio::write(socket, asio::buffer(text));
        f.under_test.announce_close();
        f.under_test.stop_accepting();
        f.under_test.close_idle();
        std::string answer;
        std::array<char, 4096> buffer{};
        bool ended = false;
        socket.async_read_some(asio::buffer(buffer),
                               [&](std::error_code, std::size_t size) {
                                   answer.assign(buffer.data(), size);
                                   ended = true;
                               });
        run_until(f.context, [&] { return ended; });
        CHECK(answer.starts_with("HTTP/1.1 200"));
    }
}
