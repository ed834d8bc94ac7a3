#include "proxy_fixture.hpp"

namespace yuccabeam::daemon {
namespace {

std::string id_in(std::string const& request) {
    std::string const name = "Yuccabeam-Request-Id: ";
    auto const at = request.find(name) + name.size();
    return request.substr(at, request.find("\r\n", at) - at);
}

std::string with_id(std::string const& id, std::string const& status,
                    std::string const& body) {
    return "HTTP/1.1 " + status + "\r\nYuccabeam-Request-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// Guards against an answer of an earlier request that a caller gets.
TEST_CASE("a stray answer beside an idle connection reaches no caller") {
    for (bool const behind_answer : {true, false}) {
        CAPTURE(behind_answer);
        std::atomic<tcp::socket*> kept{nullptr};
        scripted_target target([&](tcp::socket& socket, std::string const&) {
            bool const first = !kept.exchange(&socket);
            if (first)
                send_text(socket, ok("old") + (behind_answer ? ok("old") : ""));
            else
                send_text(socket, ok("new"));
            return true;
        });
        fixture daemon({target.address()});
        REQUIRE(status_of(daemon.ask(get("/"))) == 200);
        if (!behind_answer)
            send_text(*kept, ok("old"));
        auto const answer = daemon.ask(get("/"));
        CHECK(status_of(answer) == 200);
        CHECK(answer.ends_with("new"));
        CHECK(target.requests() == 2);
    }
}

// Guards against an answer of an earlier request that a caller gets, and
// against a promise of "not run" that belongs to another request.
TEST_CASE("an answer with another request's id reaches no caller") {
    for (std::string const status :
         {"200 OK", "404 Not Found", "429 Busy", "503 Busy"})
        for (bool const idempotent : {true, false}) {
            CAPTURE(status);
            CAPTURE(idempotent);
            std::string first_id;
            scripted_target target(
                [&](tcp::socket& socket, std::string const& text) {
                    auto const id = id_in(text);
                    bool const first = first_id.empty();
                    if (first)
                        first_id = id;
                    else
                        send_text(socket, with_id(first_id, status, "old"));
                    send_text(socket, with_id(id, "200 OK", "new"));
                    return true;
                });
            fixture daemon({target.address()});
            REQUIRE(status_of(daemon.ask(get("/"))) == 200);
            auto const answer = daemon.ask(idempotent ? get("/") : post("/"));
            CHECK(status_of(answer) == 502);
            CHECK(has(answer, "Yuccabeam-Outcome: unknown"));
            CHECK(target.requests() == 2);
            auto const next = daemon.ask(get("/"));
            CHECK_FALSE(next.ends_with("old"));
        }
}

// Guards against targets that return no id, which the check must let pass,
// and against a connection for each request.
TEST_CASE("answers with the request's own id or none are passed on, and "
          "their connection is kept") {
    for (bool const with_field : {true, false}) {
        CAPTURE(with_field);
        std::atomic<tcp::socket*> last{nullptr};
        std::atomic<int> connections{0};
        scripted_target target([&](tcp::socket& socket,
                                   std::string const& text) {
            connections += last.exchange(&socket) != &socket;
            send_text(socket, with_field ? with_id(id_in(text), "200 OK", "new")
                                         : ok("new"));
            return true;
        });
        fixture daemon({target.address()});
        for (int i = 0; i < 3; ++i)
            CHECK(daemon.ask(get("/")).ends_with("new"));
        CHECK(connections == 1);
    }
}

} // namespace
} // namespace yuccabeam::daemon
