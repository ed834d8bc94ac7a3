#include "yuccabeam/http1/client.hpp"

#include "sample_responses.hpp"
#include "scripted_peer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam::http1;

namespace {

client_result ask(scripted_peer::reply const& reply,
                  std::string const& method = "GET") {
    asio::io_context context;
    scripted_peer peer(context, {reply});
    client client(context.get_executor());
    std::optional<client_result> out;
    client_request request;
    request.address = peer.address();
    request.method = method;
    request.fields = {{"Host", "t"}};
    request.match_field = "Id";
    request.match_value = "r1";
    request.connect_timeout = request.timeout = std::chrono::seconds(30);
    client.start(request,
                 [&](client_result result) { out = std::move(result); });
    REQUIRE(run_until(context, [&] { return out.has_value(); }));
    return std::move(*out);
}

// Feeds the text to the parser in pieces of a size, then the end of input.
struct parsed {
    message_head head;
    parser under_test;
    std::size_t used = 0;

    parsed(sample_response const& response, std::string_view text,
           std::size_t piece)
        : under_test(message_kind::response, {[&](message_head& seen) {
                                                  head = seen;
                                                  return response.method ==
                                                         "HEAD";
                                              },
                                              [](std::string_view) {}}) {
        for (std::size_t at = 0; at < text.size(); at += piece)
            feed(text.substr(at, piece));
        under_test.end_of_input();
    }

    void feed(std::string_view text) {
        while (!text.empty() && !under_test.failed()) {
            auto const size = under_test.feed(text);
            text.remove_prefix(size);
            used += size;
            if (!under_test.complete() || head.status >= 200)
                return;
            under_test.restart(); // after an interim response
        }
    }

    bool complete() const {
        return under_test.complete() && under_test.head_complete();
    }
};

} // namespace

// Guards against a response that ends within its head or its body and is
// reported as complete.
TEST_CASE("a response that is followed by a close is complete only if its "
          "framing is") {
    for (auto const& response : complete_responses) {
        CAPTURE(response.framing);
        auto const text = response.text();
        for (std::size_t size = 0; size <= text.size(); ++size) {
            CAPTURE(size);
            auto const result =
                ask({text.substr(0, size), true}, response.method);
            bool const complete = result.status == client_status::complete;
            CHECK(complete == response.is_complete(size));
            if (complete)
                CHECK(result.body == response.body_within(size));
        }
    }
}

TEST_CASE("a response that is followed by a reset is never complete before "
          "its last byte") {
    for (auto const& response : complete_responses) {
        CAPTURE(response.framing);
        auto const text = response.text();
        for (std::size_t size = 0; size <= text.size(); ++size) {
            CAPTURE(size);
            auto const result =
                ask({text.substr(0, size), false, true}, response.method);
            // A reset may discard the last bytes, so a complete response may
            // have either result.
            if (response.ends_with_connection || size < text.size())
                CHECK(result.status != client_status::complete);
        }
    }
}

TEST_CASE("the parser reports a response as complete only if its framing "
          "is, however its bytes are segmented") {
    for (auto const& response : complete_responses) {
        CAPTURE(response.framing);
        auto const text = response.text();
        for (std::size_t size = 0; size <= text.size(); ++size)
            for (std::size_t const piece :
                 {std::size_t{1}, std::size_t{7}, text.size()}) {
                CAPTURE(size);
                CAPTURE(piece);
                parsed const result(response, text.substr(0, size), piece);
                CHECK(result.used == size);
                CHECK(result.complete() == response.is_complete(size));
            }
    }
}

TEST_CASE("a response whose end can't be determined is never complete") {
    for (auto const& response : malformed_responses) {
        CAPTURE(response.guards);
        auto const result = ask({response.text, true});
        CHECK(to_string(result.status) != to_string(client_status::complete));
    }
}
