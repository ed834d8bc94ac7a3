#include "yuccabeam/daemon/proxy.hpp"

#include "proxy_fixture.hpp"

#include <future>

namespace yuccabeam::daemon {
namespace {

std::string free_address() {
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Guards against libcurl's own repetition of a request on a reused
// connection, which would run a non-idempotent request twice.
TEST_CASE("a POST whose target closes without an answer arrives once") {
    std::atomic<int> posts{0};
    scripted_target target([&](tcp::socket& socket, std::string const& text) {
        if (text.starts_with("POST")) {
            ++posts;
            return false;
        }
        send_text(socket, ok("x"));
        return true;
    });
    fixture daemon({target.address()});
    REQUIRE(status_of(daemon.ask(get("/"))) == 200);
    auto const answer = daemon.ask(post("/"));
    CHECK(posts == 1);
    CHECK(status_of(answer) == 502);
    CHECK(has(answer, "Yuccabeam-Outcome: unknown"));
}

// Guards against telling a caller that nothing ran after bytes were sent,
// and against saying unknown when nothing was.
TEST_CASE("outcome of a POST by what its target does") {
    struct row {
        char const* name;
        char const* reply; // null: nothing listens
        int status;
        char const* outcome;
    };
    row const rows[] = {
        {"refused", nullptr, 503, "Yuccabeam-Outcome: not-run"},
        {"closes", "", 502, "Yuccabeam-Outcome: unknown"},
        {"declared not run",
         "HTTP/1.1 503 Busy\r\nYuccabeam-Not-Run: 1\r\n"
         "Content-Length: 0\r\n\r\n",
         503, "Yuccabeam-Outcome: not-run"},
        {"half a head", "HTTP/1.1 200 OK\r\nContent-", 502,
         "Yuccabeam-Outcome: unknown"},
        {"error of the application",
         "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\nfail", 500, "fail"},
        {"a length with a rest",
         "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nhello", 502,
         "Yuccabeam-Outcome: unknown"},
        {"an encoding that hides the end",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhel", 502,
         "Yuccabeam-Outcome: unknown"},
        {"no framing", "HTTP/1.1 200 OK\r\n\r\nhello", 502,
         "Yuccabeam-Outcome: unknown"},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        scripted_target target([&](tcp::socket& socket, std::string const&) {
            send_text(socket, row.reply ? row.reply : "");
            return false;
        });
        fixture daemon({row.reply ? target.address() : free_address()});
        auto const answer = daemon.ask(post("/"));
        CHECK(status_of(answer) == row.status);
        CHECK(has(answer, row.outcome));
        CHECK(target.requests() == (row.reply ? 1 : 0));
    }
}

// Guards against an idempotent request that fails although another target
// works.
TEST_CASE("a GET goes to another target after a failure") {
    char const* const failures[] = {
        "", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nCont"};
    for (auto const* failure : failures) {
        CAPTURE(failure);
        std::atomic<int> count{0};
        // Whichever target is chosen first fails.
        auto script = [&](tcp::socket& socket, std::string const&) {
            send_text(socket, count++ == 0 ? failure : ok("fine"));
            return false;
        };
        scripted_target first(script);
        scripted_target second(script);
        fixture daemon({first.address(), second.address()});
        auto const answer = daemon.ask(get("/"));
        CHECK(status_of(answer) == 200);
        CHECK(has(answer, "fine"));
        CHECK(first.requests() == 1);
        CHECK(second.requests() == 1);
    }
}

// Guards against a caller that waits for the end of a body that it doesn't
// get, while its target sends without end.
TEST_CASE("an endless body that no caller gets is cut off") {
    struct row {
        char const* name;
        std::string request;
        char const* head;
        int status;
        int arrivals;
    };
    row const rows[] = {
        {"without framing", post("/"), "HTTP/1.1 200 OK\r\n\r\n", 502, 1},
        {"of an error", get("/"),
         "HTTP/1.1 500 Oops\r\nContent-Length: 1000000000000\r\n\r\n", 200, 2},
    };
    constexpr std::size_t most_repeated = 64u << 20;
    // One round of libcurl's reads and what the sockets' buffers hold.
    constexpr std::size_t most_sent = 16u << 20;
    std::string const block(16u << 10, 'x');
    for (auto const& row : rows) {
        CAPTURE(row.name);
        std::atomic<int> count{0};
        std::atomic<std::size_t> sent{0};
        {
            auto script = [&](tcp::socket& socket, std::string const&) {
                if (count++ > 0) {
                    send_text(socket, ok("fine"));
                    return false;
                }
                send_text(socket, row.head);
                asio::error_code error;
                while (!error && sent < most_repeated)
                    sent += asio::write(socket, asio::buffer(block), error);
                return false;
            };
            scripted_target first(script);
            scripted_target second(script);
            fixture daemon({first.address(), second.address()});
            CHECK(status_of(daemon.ask(row.request)) == row.status);
        }
        CHECK(count == row.arrivals);
        CHECK(sent.load() <= most_sent);
    }
}

// Guards against a short answer that looks whole to the caller.
TEST_CASE("a truncated answer reaches the caller as a broken one") {
    struct row {
        char const* reply;
        char const* end_of_whole_answer;
    };
    row const rows[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", "1234567890"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5\r\n12345\r\n",
         "0\r\n\r\n"},
    };
    for (auto const& row : rows) {
        CAPTURE(row.reply);
        scripted_target target([&](tcp::socket& socket, std::string const&) {
            send_text(socket, row.reply);
            return false;
        });
        fixture daemon({target.address()});
        auto const answer = daemon.ask(get("/"));
        CHECK(status_of(answer) == 200);
        CHECK_FALSE(answer.ends_with(row.end_of_whole_answer));
    }
}

std::string const download_head =
    "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nAccept-Ranges: bytes\r\n"
    "Content-Length: 10\r\n\r\n";

// Guards against a download that is lost, or mixed from two versions, when
// its target fails in the middle.
TEST_CASE("a broken download goes on at another target") {
    struct row {
        char const* name;
        char const* rest;
        bool whole;
    };
    row const rows[] = {
        {"same content",
         "HTTP/1.1 206 Partial\r\nETag: \"v1\"\r\n"
         "Content-Range: bytes 4-9/10\r\nContent-Length: 6\r\n\r\n456789",
         true},
        {"other version",
         "HTTP/1.1 200 OK\r\nETag: \"v2\"\r\nContent-Length: 10\r\n\r\n"
         "abcdefghij",
         false},
        {"other offset",
         "HTTP/1.1 206 Partial\r\nETag: \"v1\"\r\n"
         "Content-Range: bytes 3-9/10\r\nContent-Length: 7\r\n\r\n3456789",
         false},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        std::string ranged;
        auto script = [&](tcp::socket& socket, std::string const& text) {
            if (has(text, "Range: bytes=4-")) {
                ranged = text;
                send_text(socket, row.rest);
            } else {
                send_text(socket, download_head + "0123");
            }
            return false;
        };
        scripted_target first(script);
        scripted_target second(script);
        fixture daemon({first.address(), second.address()});
        auto const answer = daemon.ask(get("/"));
        CHECK(has(ranged, "If-Range: \"v1\""));
        CHECK(answer.ends_with("\r\n\r\n0123456789") == row.whole);
        CHECK_FALSE(has(answer, "abc"));
    }
}

// Guards against requests on whose end or destination a target might
// disagree with this proxy.
TEST_CASE("malformed requests are refused and never forwarded") {
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\n";
    std::string const requests[] = {
        "GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
        head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
        head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" +
            "0\r\n\r\n",
        head + "Content-Length: x\r\n\r\nhi",
        "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\nConnection: close\r\n\r\n",
        "GET http://other/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        head + "Connection: close\r\nContent-Length: 2000\r\n\r\n" +
            std::string(2000, 'x'),
        "garbage\r\n\r\n",
    };
    scripted_target target([](tcp::socket& socket, std::string const&) {
        send_text(socket, ok("x"));
        return true;
    });
    fixture daemon({target.address()});
    for (auto const& request : requests) {
        CAPTURE(request.substr(0, 120));
        auto const status = status_of(daemon.ask(request));
        // 0: the parser closed the connection without an answer.
        CHECK((status == 0 || (status >= 400 && status < 500)));
    }
    CHECK(target.requests() == 0);
}

// Guards against fields that concern one connection only, or that a caller
// forges, reaching a target.
TEST_CASE("connection fields are not forwarded") {
    std::string seen;
    scripted_target target([&](tcp::socket& socket, std::string const& text) {
        seen = text;
        send_text(socket, "HTTP/1.1 200 OK\r\nConnection: X-Private\r\n"
                          "X-Private: 1\r\nX-Public: 2\r\n"
                          "Content-Length: 0\r\n\r\n");
        return true;
    });
    fixture daemon({target.address()});
    auto const answer = daemon.ask(
        "GET /a?b=%20c HTTP/1.1\r\nHost: h\r\n"
        "Connection: close, X-Secret\r\nX-Secret: 1\r\nTE: trailers\r\n"
        "X-Kept: 3\r\nYuccabeam-Request-Id: forged\r\n\r\n");
    CHECK(seen.starts_with("GET /a?b=%20c HTTP/1.1\r\n"));
    CHECK(has(seen, "X-Kept: 3"));
    CHECK(has(seen, "Host: h\r\n"));
    CHECK_FALSE(has(seen, "X-Secret"));
    CHECK_FALSE(has(seen, "TE:"));
    CHECK_FALSE(has(seen, "forged"));
    CHECK(has(answer, "X-Public: 2"));
    CHECK_FALSE(has(answer, "X-Private"));
}

// Guards against work that goes on at a target for a caller who has left.
TEST_CASE("a caller that goes away cancels its request") {
    std::promise<void> arrived;
    std::promise<bool> cancelled;
    scripted_target target([&](tcp::socket& socket, std::string const&) {
        arrived.set_value();
        asio::error_code error;
        char byte = 0;
        socket.read_some(asio::buffer(&byte, 1), error);
        cancelled.set_value(bool(error));
        return false;
    });
    fixture daemon({target.address()});
    {
        auto caller = daemon.connect();
        asio::write(caller, asio::buffer(get("/")));
        arrived.get_future().wait();
    }
    CHECK(cancelled.get_future().get());
}

// Guards against an answer that reaches another request of the connection.
TEST_CASE("pipelined requests get their own answers in order") {
    scripted_target target([](tcp::socket& socket, std::string const& text) {
        send_text(socket, ok(text.substr(4, 2)));
        return true;
    });
    fixture daemon({target.address()});
    auto const answer =
        daemon.ask("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/2"));
    auto const first = answer.find("\r\n\r\n/1");
    auto const second = answer.find("\r\n\r\n/2");
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(first < second);
}

// Guards against a second run of a ticket, and against a ticket that is lost
// although its request did not run.
TEST_CASE("a ticket runs at most once") {
    struct row {
        char const* name;
        char const* first_reply; // of the target
        char const* first;       // outcome of the first use
        char const* second;      // outcome of the second use
        int runs;                // requests at the target after both
    };
    row const rows[] = {
        {"answered", "HTTP/1.1 201 Done\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 201", "\"previous_status\":201", 1},
        {"unknown", "", "Yuccabeam-Outcome: unknown",
         "Yuccabeam-Outcome: unknown", 1},
        {"not run",
         "HTTP/1.1 503 Busy\r\nYuccabeam-Not-Run: 1\r\n"
         "Content-Length: 0\r\n\r\n",
         "Yuccabeam-Outcome: not-run", "HTTP/1.1 200", 2},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        std::atomic<int> count{0};
        scripted_target target([&](tcp::socket& socket, std::string const&) {
            send_text(socket, count++ == 0 ? row.first_reply : ok("x"));
            return false;
        });
        fixture daemon({target.address()});
        auto const ticket = daemon.ticket();
        CHECK(has(daemon.ask(post("/", ticket)), row.first));
        CHECK(has(daemon.ask(post("/", ticket)), row.second));
        CHECK(target.requests() == row.runs);
    }
}

// Guards against a ticket that runs again through another daemon, or after
// its owner's death.
TEST_CASE("a ticket belongs to one incarnation of one daemon") {
    scripted_target target([&](tcp::socket& socket, std::string const&) {
        send_text(socket, ok("x"));
        return true;
    });
    fixture owner({target.address()}, "owner");
    std::optional<ticket_owner> known = ticket_owner{1, owner.serve_peers()};
    proxy_options options;
    options.find_daemon = [&](auto const&) { return known; };
    fixture other({target.address()}, "other", options);

    auto const used = owner.ticket();
    CHECK(status_of(other.ask(post("/", used))) == 200);
    CHECK(has(other.ask(post("/", used)), "already-ran"));
    CHECK(has(owner.ask(post("/", used)), "already-ran"));
    CHECK(target.requests() == 1);

    auto const fresh = owner.ticket();
    known->incarnation = 2;
    CHECK(has(other.ask(post("/", fresh)), "Yuccabeam-Outcome: unknown"));
    known.reset();
    CHECK(has(other.ask(post("/", fresh)), "Yuccabeam-Outcome: unknown"));
    known = ticket_owner{1, free_address()};
    CHECK(has(other.ask(post("/", fresh)), "Yuccabeam-Outcome: unknown"));
    auto forged = fresh;
    forged.back() = forged.back() == '0' ? '1' : '0';
    CHECK(has(owner.ask(post("/", forged)), "Yuccabeam-Outcome: not-run"));
    CHECK(target.requests() == 1);
}

} // namespace
} // namespace yuccabeam::daemon
