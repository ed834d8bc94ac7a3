#include "yuccabeam/http1/server.hpp"

#include "scripted_peer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::http1;

namespace {

using tcp = asio::ip::tcp;

constexpr std::size_t limit = 10'000'000;

/// A server that answers each request with a body of the wanted size.
struct fixture {
    asio::io_context context;
    // With this clock no connection counts as stalled.
    std::shared_ptr<memory_budget> memory =
        std::make_shared<memory_budget>(limit, [] { return time_point{}; });
    std::size_t handled = 0;
    std::size_t answer_bytes = 2;
    server under_test{
        context.get_executor(), [] { return caller_limits{}; },
        [this](incoming_request const&, responder_ptr const& caller) {
            ++handled;
            outgoing_response response;
            response.hold = memory_hold(memory);
            REQUIRE(response.hold.resize(answer_bytes));
            response.body.assign(answer_bytes, 'a');
            caller->send(std::move(response));
        },
        memory};

    fixture() { REQUIRE(under_test.listen("127.0.0.1:0")); }

    tcp::socket connect() {
        tcp::socket out(context);
        out.connect({asio::ip::make_address("127.0.0.1"), under_test.port()});
        return out;
    }

    /// Sends a request in the background.
    void send(tcp::socket& socket, std::string text) {
        auto const kept = std::make_shared<std::string>(std::move(text));
        asio::async_write(socket, asio::buffer(*kept), [kept](auto...) {});
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
        asio::steady_timer guard(context, std::chrono::seconds(30));
        bool late = false;
        guard.async_wait([&](std::error_code error) { late = !error; });
        REQUIRE(run_until(context, [&] { return late || done(); }));
        REQUIRE_FALSE(late);
        guard.cancel();
        context.poll();
    }
};

std::string upload(std::size_t announced, std::size_t sent) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'b');
}

std::string const small_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against uploads that together take more memory than the process has.
TEST_CASE("an upload without room is rejected as not run, and others are "
          "served") {
    struct upload_case {
        char const* what;
        std::size_t uploads;
        std::size_t bytes; ///< each
        std::size_t handled;
    };
    std::vector<upload_case> const cases = {
        {"two that fit", 2, 1'000'000, 2},
        {"one that is larger than the budget", 1, 12'000'000, 0},
    };
    for (auto const& c : cases) {
        CAPTURE(c.what);
        fixture f;
        for (std::size_t i = 0; i < c.uploads; ++i) {
            auto socket = f.connect();
            f.send(socket, upload(c.bytes, c.bytes));
            auto const answer = f.read(socket, 10);
            bool const refused = answer.find(" 503 ") != std::string::npos;
            CHECK(refused == (c.handled == 0));
            CHECK((answer.find("Retry-After") != std::string::npos) == refused);
        }
        CHECK(f.handled == c.handled);
        auto socket = f.connect();
        f.send(socket, small_request);
        CHECK(f.read(socket, 10).find(" 200 ") != std::string::npos);
    }
}

// Guards against a stalled upload that keeps the memory that others need.
TEST_CASE("the largest upload gives way to a smaller one") {
    fixture f;
    std::vector<tcp::socket> stalled;
    for (std::size_t i = 1; i <= 2; ++i) {
        stalled.push_back(f.connect());
        f.send(stalled.back(), upload(2'800'000, 2'790'000));
        f.wait([&] { return f.memory->held() >= i * 2'790'000; });
    }
    auto other = f.connect();
    f.send(other, upload(2'600'000, 2'600'000));
    CHECK(f.read(other, 10).find(" 200 ") != std::string::npos);
    CHECK(f.under_test.counters().rejected_without_memory == 1);
    CHECK(f.handled == 1);
    CHECK(f.memory->held() >= 2'790'000); // the other stalled one is kept
}

// Guards against callers that don't read their responses and so keep the
// memory that others need.
TEST_CASE("the largest response that its caller doesn't read gives way") {
    fixture f;
    f.answer_bytes = 8'000'000;
    auto slow = f.connect();
    f.send(slow, small_request);
    f.wait([&] { return f.handled == 1; });
    f.answer_bytes = 4'000'000;
    auto other = f.connect();
    f.send(other, small_request);
    CHECK(f.read(other, f.answer_bytes).size() > f.answer_bytes);
    CHECK(f.under_test.counters().responses_evicted == 1);
    CHECK(f.memory->held() <= f.answer_bytes);
}
