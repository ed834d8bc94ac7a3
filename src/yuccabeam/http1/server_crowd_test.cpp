#include "scripted_peer.hpp"
#include "yuccabeam/http1/server.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <sys/socket.h>

using namespace yuccabeam;
using namespace yuccabeam::http1;
using namespace std::chrono_literals;

namespace {

using tcp = asio::ip::tcp;

/// Unread bytes of all TCP connections whose own port is `port`.
std::size_t unread_bytes_at(std::uint16_t port) {
    constexpr int hexadecimal = 16;
    constexpr auto listening = "0A"; // its queue counts connections
    auto const after_colon = [](std::string const& text) {
        return std::stoul(text.substr(text.find(':') + 1), nullptr,
                          hexadecimal);
    };
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    std::size_t out = 0;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string row, own, peer, state, queues;
        fields >> row >> own >> peer >> state >> queues;
        if (state != listening && after_colon(own) == port)
            out += after_colon(queues);
    }
    return out;
}

/// A server with a limit of connections that answers `/wait` never.
struct fixture {
    asio::io_context context;
    std::shared_ptr<memory_budget> memory;
    server_options options;
    caller_limits limits;
    std::vector<responder_ptr> waiting;
    server under_test;

    explicit fixture(server_options given,
                     std::size_t memory_limit = 100'000'000)
        : memory(std::make_shared<memory_budget>(memory_limit)), options(given),
          under_test(
              context.get_executor(), [this] { return limits; },
              [this](incoming_request const& request,
                     responder_ptr const& caller) {
                  if (request.head.target == "/wait")
                      waiting.push_back(caller);
                  else
                      caller->send({200, {}, std::string(8 << 20, 'a')});
              },
              memory, options) {
        REQUIRE(under_test.listen("127.0.0.1:0"));
    }

    tcp::socket connect(std::string const& target) {
        tcp::socket out(context);
        out.connect({asio::ip::make_address("127.0.0.1"), under_test.port()});
        auto const text = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
        if (!target.empty())
            asio::write(out, asio::buffer(text));
        return out;
    }

    /// Reads until the server closes, or as much as is wanted has arrived.
    std::string read(tcp::socket& socket, std::size_t wanted) {
        std::string out;
        bool ended = false;
        asio::async_read(socket, asio::dynamic_buffer(out),
                         asio::transfer_at_least(wanted),
                         [&](auto...) { ended = true; });
        wait([&] { return ended; });
        return out;
    }

    template <class Done>
    void wait(Done done) {
        asio::steady_timer guard(context, 30s);
        bool late = false;
        guard.async_wait([&](std::error_code error) { late = !error; });
        REQUIRE(run_until(context, [&] { return late || done(); }));
        REQUIRE_FALSE(late);
        guard.cancel();
        context.poll();
    }
};

} // namespace

// Guards against connections that use up the descriptors.
TEST_CASE("a connection beyond the limit takes the place of the longest idle "
          "one") {
    fixture f({.max_connections = 2});
    auto first = f.connect("");
    f.wait([&] { return f.under_test.connections() == 1; });
    auto second = f.connect("");
    f.wait([&] { return f.under_test.connections() == 2; });
    auto third = f.connect("/x");
    CHECK(f.read(third, 12).find(" 200 ") != std::string::npos);
    CHECK(f.read(first, 1).empty());
    CHECK(f.under_test.connections() == 2);
    CHECK(f.memory->idle_evictions() == 1);
}

// Guards against a refusal whose request may have run.
TEST_CASE("without a connection to close the new one gets 503") {
    fixture f({.max_connections = 1});
    auto first = f.connect("/wait");
    f.wait([&] { return f.waiting.size() == 1; });
    auto second = f.connect("/wait");
    auto const answer = f.read(second, 1 << 20);
    CHECK(answer.find(" 503 ") != std::string::npos);
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(f.waiting.size() == 1);
    CHECK(f.under_test.counters().connections_refused == 1);
}

// Guards against callers that keep an answer's memory for ever.
TEST_CASE("a response of which nothing is read for a while ends") {
    fixture f({.max_connections = 2, .stalled_response = 50ms});
    auto caller = f.connect("/x");
    f.wait([&] { return f.under_test.counters().stalled_responses == 1; });
    CHECK(f.under_test.connections() == 0);
    CHECK(f.under_test.active() == 0);
}

// Guards against a body whose single bytes keep its connection for ever.
TEST_CASE("a body that grows by single bytes ends as not run") {
    fixture f({.max_connections = 2, .slow_body = 200ms});
    f.limits.head_timeout = 200ms;
    auto caller = f.connect("");
    asio::write(caller, asio::buffer(
                            std::string("POST /wait HTTP/1.1\r\nHost: h\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n")));
    asio::steady_timer timer(f.context);
    std::function<void()> const send_byte = [&] {
        std::error_code ignored;
        asio::write(caller, asio::buffer("1\r\nb\r\n", 6), ignored);
        timer.expires_after(20ms);
        timer.async_wait([&](std::error_code error) {
            if (!error)
                send_byte();
        });
    };
    send_byte();
    CHECK(f.read(caller, 12).find(" 408 ") != std::string::npos);
    timer.cancel();
    CHECK(f.waiting.empty());
    CHECK(f.under_test.counters().head_timeouts == 1);
}

// Guards against a request that runs without the body that its caller sent.
TEST_CASE("a request without room to run is refused and keeps its body until "
          "then") {
    constexpr std::size_t body_bytes = 175'000;
    fixture f({.max_connections = 2}, 200'000);
    auto caller = f.connect("");
    auto const text = "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                      std::to_string(body_bytes) + "\r\n\r\n" +
                      std::string(body_bytes, 'b');
    asio::async_write(caller, asio::buffer(text), [](auto...) {});
    CHECK(f.read(caller, 12).find(" 503 ") != std::string::npos);
    CHECK(f.waiting.empty());
    CHECK(f.under_test.counters().requests_refused == 1);
}

// Guards against unread bytes of clients that the process hasn't accepted yet.
TEST_CASE("connections that wait to be accepted hold a limited number of "
          "bytes") {
    server_options options;
    options.max_waiting = 8;
    fixture f(options);
    std::vector<tcp::socket> clients;
    std::string const bytes(most_socket_bytes, 'b');
    for (int i = 0; i < 100; ++i) {
        auto& client = clients.emplace_back(f.context, tcp::v4());
        client.non_blocking(true);
        tcp::endpoint const server{asio::ip::make_address("127.0.0.1"),
                                   f.under_test.port()};
        // Over loopback the kernel connects within the call, or not at all.
        static_cast<void>(
            ::connect(client.native_handle(), server.data(), server.size()));
        std::error_code ignored;
        client.write_some(asio::buffer(bytes), ignored);
    }
    // The server's loop doesn't run, so all that arrives waits in the kernel.
    auto const waiting = static_cast<std::size_t>(options.max_waiting) + 1;
    auto const held = unread_bytes_at(f.under_test.port());
    CHECK(held > 0);
    CHECK(held <= waiting * most_socket_bytes);
}
