#include "../http1/odd_responses.hpp"
#include "../http1/sample_responses.hpp"
#include "yuccabeam/adapters/http_client.hpp"
#include "yuccabeam/adapters/store_client.hpp"
#include "yuccabeam/adapters/target_client.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <thread>

namespace yuccabeam::adapters {
namespace {

using asio::ip::tcp;
using http1::complete_responses;
using http1::malformed_responses;
using http1::sample_response;

/// Answers each connection's request with the next text and closes or resets.
class cutting_peer {
public:
    cutting_peer(std::vector<std::string> texts, bool reset)
        : texts_(std::move(texts)), reset_(reset), thread_([this] { run(); }) {}
    ~cutting_peer() { thread_.join(); }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void run() {
        for (auto const& text : texts_) {
            tcp::socket socket(context_);
            acceptor_.accept(socket);
            std::string request;
            std::error_code ignored;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                             ignored);
            asio::write(socket, asio::buffer(text), ignored);
            if (reset_)
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            // Asio's destructor would take the reset back.
            socket.close(ignored);
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<std::string> texts_;
    bool reset_;
    std::thread thread_;
};

struct observer : call_observer {
    std::optional<answer_head> head;
    std::string body;
    std::promise<call_end> ended;

    void on_head(answer_head seen) override { head = std::move(seen); }
    bool on_data(std::string_view part) override {
        body += part;
        return true;
    }
    void on_end(call_end end) override { ended.set_value(end); }
};

constexpr std::chrono::minutes never{5};

// What a call delivers when it ends as complete.
std::optional<std::string> body_by_target_client(target_client& client,
                                                 std::string const& address,
                                                 std::string const& method) {
    target_call call;
    call.address = address;
    call.method = method;
    call.request_target = "/";
    call.head_timeout = call.stall_timeout = never;
    call.connect_timeout = never;
    call.fresh_connection = true;
    auto const seen = std::make_shared<observer>();
    client.start(call, seen);
    if (seen->ended.get_future().get().status != call_status::complete)
        return std::nullopt;
    REQUIRE(seen->head);
    // The daemon tells its own caller this length.
    if (seen->head->framing == body_framing::length)
        CHECK(seen->head->content_length == seen->body.size());
    return seen->body;
}

std::optional<std::string> body_by_blocking_call(std::string const& address,
                                                 std::string const& method) {
    http_call call;
    call.method = method;
    call.url = "http://" + address + "/";
    call.timeout = never;
    auto reply = perform(call);
    if (!reply)
        return std::nullopt;
    return std::move(reply.value().body);
}

std::vector<std::string> all_cuts(std::string const& text) {
    std::vector<std::string> out;
    for (std::size_t size = 0; size <= text.size(); ++size)
        out.push_back(text.substr(0, size));
    return out;
}

// libcurl ends a chunked body at the last CR: all of the body is there then,
// and only the LF behind it is missing.
bool counts_as_whole(sample_response const& answer, std::size_t size) {
    bool const chunked = answer.wire_body.ends_with("\r\n\r\n");
    return answer.is_complete(size) ||
           (chunked && size + 1 == answer.text().size());
}

template <class Ask>
void check_cuts(sample_response const& answer, bool reset, Ask const& ask) {
    CAPTURE(answer.framing);
    CAPTURE(reset);
    auto const cuts = all_cuts(answer.text());
    cutting_peer const peer(cuts, reset);
    for (auto const& cut : cuts) {
        auto const size = cut.size();
        CAPTURE(size);
        auto const body = ask(peer.address(), answer.method);
        if (body) {
            CHECK(counts_as_whole(answer, size));
            CHECK_FALSE((reset && answer.ends_with_connection));
            CHECK(*body == answer.body_within(size));
        } else {
            // A reset may overtake a whole answer's last bytes.
            CHECK((reset || !answer.is_complete(size)));
        }
    }
}

} // namespace

// Guards against an answer that stops in its head or its body and counts as
// whole.
TEST_CASE("a target's answer that is cut anywhere is complete only as a "
          "whole") {
    target_client client;
    for (auto const& answer : complete_responses)
        for (bool const reset : {false, true})
            check_cuts(answer, reset, [&](auto const&... call) {
                return body_by_target_client(client, call...);
            });
}

TEST_CASE("a blocking call's answer that is cut anywhere is no reply") {
    for (auto const& answer : complete_responses)
        for (bool const reset : {false, true})
            check_cuts(answer, reset, body_by_blocking_call);
}

TEST_CASE("an answer whose end can't be known is never complete") {
    target_client client;
    std::vector<std::string> texts;
    for (auto const& answer : malformed_responses)
        texts.insert(texts.end(), 2, answer.text);
    cutting_peer const peer(texts, false);
    for (auto const& answer : malformed_responses) {
        CAPTURE(answer.guards);
        CHECK_FALSE(body_by_target_client(client, peer.address(), "GET"));
        CHECK_FALSE(body_by_blocking_call(peer.address(), "GET"));
    }
}

// Guards against bytes of a target in trouble that are passed on as an answer.
TEST_CASE("an odd answer is never complete") {
    target_client client;
    std::vector<std::string> texts;
    for (auto const& odd : http1::odd_responses)
        texts.insert(texts.end(), 2, odd.text);
    cutting_peer const peer(texts, false);
    for (auto const& odd : http1::odd_responses) {
        CAPTURE(odd.guards);
        CHECK_FALSE(body_by_target_client(client, peer.address(), "GET"));
        CHECK_FALSE(body_by_blocking_call(peer.address(), "GET"));
    }
}

// Guards against an empty configuration, and against a write that counts as
// done, when the store stops in its answer's head.
TEST_CASE("a store's answer that is cut anywhere is no value and no ack") {
    std::string const text =
        "HTTP/1.1 200 OK\r\nVersion: 12\r\nContent-Length: 5\r\n\r\nvalue";
    auto const cuts = all_cuts(text);
    std::vector<std::string> texts;
    for (auto const& cut : cuts)
        texts.insert(texts.end(), 4, cut);
    cutting_peer const peer(texts, false);
    store_client store(peer.address(), {.timeout = never});
    for (auto const& cut : cuts) {
        CAPTURE(cut);
        bool const whole = cut.size() == text.size();
        auto const read = store.read("k");
        CHECK(bool(read) == whole);
        auto const watched = store.watch("k", 1, never);
        CHECK(bool(watched) == whole);
        if (whole) {
            CHECK(read.value()->value == "value");
            CHECK(watched.value()->version == 12);
        }
        CHECK((store.remove("k", 1) == config::write_outcome::done) == whole);
        CHECK(bool(store.vms()) == false);
    }
}

} // namespace yuccabeam::adapters
