#include "yuccabeam/standins/http_reader.hpp"
#include "yuccabeam/standins/target_server.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <thread>

namespace yuccabeam::standins {
namespace {

using asio::ip::tcp;

/// Two targets on free loopback ports, served by one thread.
struct fixture {
    asio::io_context context{1};
    target_directory directory;
    std::shared_ptr<target_server> first;
    std::shared_ptr<target_server> second;
    std::thread thread;

    explicit fixture(unsigned slots = 6) {
        target_options options;
        options.slots = slots;
        options.service_time = {};
        options.slot_wait = {};
        options.connection_cost = {};
        first = add(options);
        second = add(options);
        thread = std::thread([this] { context.run(); });
    }

    ~fixture() {
        asio::post(context, [this] {
            first->stop();
            second->stop();
        });
        thread.join();
    }

    std::shared_ptr<target_server> add(target_options const& options) {
        auto target = std::make_shared<target_server>(context, directory,
                                                      "127.0.0.1", 0, options);
        directory.add(target);
        target->start();
        return target;
    }
};

/// Blocking client of one connection.
struct client {
    asio::io_context context;
    tcp::socket socket{context};

    explicit client(std::uint16_t port) {
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(std::string const& head, std::string const& body = {}) {
        auto text = head + "\r\nHost: t\r\n";
        if (!body.empty())
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        asio::write(socket, asio::buffer(text + "\r\n" + body));
    }

    /// The answer; a status of 0 when the connection ends before its end.
    http_message receive() {
        http_reader reader(http_kind::response, 1U << 20U);
        char bytes[4096];
        while (reader.progress() == http_progress::headers ||
               reader.progress() == http_progress::body) {
            std::error_code error;
            auto const n = socket.read_some(asio::buffer(bytes), error);
            if (error)
                return {};
            reader.feed({bytes, n});
        }
        return reader.message();
    }
};

http_message ask(std::uint16_t port, std::string const& head,
                 std::string const& body = {}) {
    client c(port);
    c.send(head, body);
    return c.receive();
}

nlohmann::json stats(std::uint16_t port) {
    return nlohmann::json::parse(ask(port, "GET /stats HTTP/1.1").body);
}

/// Asks until the field has the value; a bound on the requests ends the wait.
bool reaches(std::uint16_t port, char const* field, std::uint64_t value) {
    for (int i = 0; i < 20'000; ++i)
        if (stats(port).at(field) == value)
            return true;
    return false;
}

// Guards against a failure that runs the request when it should not, or that
// does not: the proxy's at-most-once tests rely on these counts.
TEST_CASE("each failure runs the request and answers as its name says") {
    struct row {
        char const* fail;
        int status; ///< 0: no complete answer
        std::uint64_t executions;
    };
    row const rows[] = {
        {"none", 200, 1},       {"errors", 500, 1},    {"slow", 200, 1},
        {"reset_before", 0, 0}, {"reset_after", 0, 1}, {"close_midway", 0, 1},
        {"short", 0, 1},
    };
    fixture f;
    auto const port = f.first->port();
    for (auto const& row : rows) {
        CAPTURE(row.fail);
        auto const set = ask(port, "POST /control HTTP/1.1",
                             nlohmann::json{{"fail", row.fail}}.dump());
        REQUIRE(set.status == 200);
        auto const answer =
            ask(port, std::string("GET /bytes/1000 HTTP/1.1\r\n") +
                          "Yuccabeam-Request-Id: " + row.fail);
        CHECK(answer.status == row.status);
        auto const runs = ask(port, std::string("GET /executions?id=") +
                                        row.fail + " HTTP/1.1");
        CHECK(nlohmann::json::parse(runs.body).at("executions") ==
              row.executions);
        CHECK(ask(port, "GET /health HTTP/1.1").status == 200);
    }
}

// Guards against an answer after a one-way fault and against a hanging
// request that runs.
TEST_CASE("one_way runs without an answer, hang does not run") {
    fixture f;
    auto const port = f.first->port();
    ask(port, "POST /control HTTP/1.1", R"({"fail":"one_way"})");
    client one_way(port);
    one_way.send("POST /orders HTTP/1.1\r\nIdempotency-Key: k", "x");
    CHECK(reaches(port, "finished", 1));
    ask(port, "POST /control HTTP/1.1", R"({"fail":"hang"})");
    client hang(port);
    hang.send("GET / HTTP/1.1");
    CHECK(reaches(port, "injected", 2));
    CHECK(stats(port).at("executions") == 1);
    CHECK(one_way.socket.available() == 0);
    CHECK(hang.socket.available() == 0);
    CHECK(ask(port, "GET /executions?key=k HTTP/1.1").body ==
          R"({"executions":1})");
}

// Guards against endless bytes that stop by themselves, that outlive the
// client's close, or that differ from the kind's.
TEST_CASE("an endless answer lasts until the client closes") {
    fixture f;
    auto const port = f.first->port();
    for (auto const& entry : endless_words) {
        auto const word = entry.first;
        auto const kind = entry.second;
        CAPTURE(word);
        nlohmann::json const control{{"fail", "endless"}, {"endless", word}};
        REQUIRE(ask(port, "POST /control HTTP/1.1", control.dump()).status ==
                200);
        auto const expected = make_endless_answer(kind, "Yuccabeam-Echo: e\r\n",
                                                  "Yuccabeam-Echo: other\r\n");
        auto const text =
            expected.start + expected.repeated + expected.repeated;
        {
            client c(port);
            c.send("GET / HTTP/1.1\r\nYuccabeam-Echo: e");
            std::string received(text.size(), '\0');
            asio::read(c.socket, asio::buffer(received));
            CHECK(received == text);
        }
        CHECK(reaches(port, "open_connections", 1));
    }
    CHECK(stats(port).at("executions") == endless_words.size());
}

// Guards against shedding without the not-run mark and against work that goes
// on, or keeps its slot, after the client has left.
TEST_CASE("a full target sheds and a closed connection frees its slot") {
    fixture f(1);
    auto const port = f.first->port();
    {
        client busy(port);
        busy.send("GET /?service_ms=600000 HTTP/1.1");
        REQUIRE(reaches(port, "busy", 1));
        auto const answer = ask(port, "GET / HTTP/1.1");
        CHECK(answer.status == 503);
        CHECK(answer.header("Yuccabeam-Not-Run") == "1");
    }
    CHECK(reaches(port, "busy", 0));
    auto const after = stats(port);
    CHECK(after.at("cancelled") == 1);
    CHECK(after.at("finished") == 0);
    CHECK(ask(port, "GET / HTTP/1.1").status == 200);
}

// Guards against work that outlives its deadline.
TEST_CASE("work stops at its deadline") {
    fixture f;
    auto const answer =
        ask(f.first->port(), "GET /?service_ms=600000 HTTP/1.1\r\n"
                             "Yuccabeam-Deadline-Ms: 1");
    CHECK(answer.status >= 503);
    CHECK(stats(f.first->port()).at("finished") == 0);
    CHECK(reaches(f.first->port(), "busy", 0));
}

// Guards against a crash simulation that still accepts, or can't be ended.
TEST_CASE("a refusing target comes back through another port's control") {
    fixture f;
    auto const port = f.first->port();
    auto const other = f.second->port();
    auto control = [&](char const* fail) {
        nlohmann::json const body{{"fail", fail}, {"port", port}};
        return ask(other, "POST /control HTTP/1.1", body.dump()).status;
    };
    CHECK(control("refuse") == 200);
    CHECK_THROWS(client(port));
    CHECK(control("none") == 200);
    CHECK(ask(port, "GET / HTTP/1.1").status == 200);
    CHECK(control("nonsense") == 400);
}

// Guards against answers that lose their echo token, their drain mark or
// bytes of their body on a reused connection.
TEST_CASE("answers on one connection keep tokens, marks and bodies apart") {
    fixture f;
    client c(f.first->port());
    c.send("POST /control HTTP/1.1", R"({"drain":true})");
    CHECK(c.receive().header("Yuccabeam-Drain") == "1");
    for (int i = 0; i < 20; ++i) {
        auto const token = std::to_string(i);
        auto head = "POST /x?chunked=" + std::to_string(i % 2);
        head.append(" HTTP/1.1\r\nYuccabeam-Request-Id: r").append(token);
        head.append("\r\nYuccabeam-Echo: ").append(token);
        c.send(head, std::string(static_cast<std::size_t>(i) * 5000 + 1, 'a'));
        auto const answer = c.receive();
        CHECK(answer.header("Yuccabeam-Echo") == token);
        CHECK(answer.header("Yuccabeam-Request-Id") == "r" + token);
        CHECK(answer.body.size() == static_cast<std::size_t>(i) * 5000 + 1);
    }
    c.send("HEAD /bytes/1000 HTTP/1.1");
    c.send("GET /bytes/1000 HTTP/1.1\r\nRange: bytes=990-");
    http_reader head(http_kind::response, 100);
    head.reset(true);
    char byte = 0;
    while (head.progress() != http_progress::complete) {
        REQUIRE(c.socket.read_some(asio::buffer(&byte, 1)) == 1);
        head.feed({&byte, 1});
    }
    CHECK(head.message().header("content-length") == "1000");
    auto const part = c.receive();
    CHECK(part.status == 206);
    CHECK(part.header("Content-Range") == "bytes 990-999/1000");
    CHECK(part.body.size() == 10);
}

// Guards against a share or a failure domain that is not honored.
TEST_CASE("only the chosen share and failure domain fail") {
    target_control control;
    control.fail = failure::errors;
    control.share = 0.3;
    CHECK(failure_for(control, "a", 0.29) == failure::errors);
    CHECK(failure_for(control, "a", 0.3) == failure::none);
    control.only_from_failure_domain = "b";
    CHECK(failure_for(control, "a", 0) == failure::none);
    CHECK(failure_for(control, "b", 0) == failure::errors);
}

} // namespace
} // namespace yuccabeam::standins
