#include "yuccabeam/http1/response_reader.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace yuccabeam::http1;

namespace {

response_reader_options awaiting(std::string id) {
    response_reader_options out;
    out.match_field = "Id";
    out.match_value = std::move(id);
    return out;
}

std::string const refusal =
    "HTTP/1.1 503 Busy\r\nId: first\r\nNot-Run: 1\r\nContent-Length: 3\r\n"
    "\r\nbad";
std::string const chunked_refusal =
    "HTTP/1.1 429 Busy\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nbad\r\n0\r\nId: mine\r\n\r\n";
std::string const interim =
    "HTTP/1.1 102 Processing\r\nId: mine\r\nNot-Run: 1\r\n\r\n";
std::string const own =
    "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok";
std::string const own_chunked =
    "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\no\r\n1\r\nk\r\n0\r\n\r\n";

struct reading_case {
    std::string what;
    std::string bytes;
    bool stray_seen;
};

std::vector<reading_case> const cases = {
    {"the response alone", own, false},
    {"a chunked response", own_chunked, false},
    {"a refusal of another request first", refusal + own, true},
    {"two of them", refusal + refusal + own, true},
    {"a chunked one whose trailer has the right id", chunked_refusal + own,
     true},
    {"an interim response with the Not-Run field first", interim + own, false},
    {"all of them", interim + refusal + interim + chunked_refusal + own_chunked,
     true},
};

} // namespace

// Guards against a response that is matched to the wrong request when segment
// boundaries fall within it.
TEST_CASE("the awaited response is found however its bytes are segmented") {
    for (auto const& c : cases)
        for (std::size_t split = 0; split <= c.bytes.size(); ++split) {
            CAPTURE(c.what);
            CAPTURE(split);
            response_reader reader(awaiting("mine"));
            reader.feed(std::string_view(c.bytes).substr(0, split));
            reader.feed(std::string_view(c.bytes).substr(split));
            CHECK(reader.state() == reading_state::complete);
            CHECK(reader.head.status == 200);
            CHECK(reader.body == "ok");
            CHECK(reader.stray_seen() == c.stray_seen);
            CHECK_FALSE(reader.has_trailing_bytes());
        }
}

TEST_CASE("a response that was cut in its head is never continued by the "
          "next one") {
    std::string const own_failure =
        "HTTP/1.1 500 Internal Server Error\r\nId: mine\r\n"
        "Content-Length: 2\r\n\r\nno";
    for (auto const& cut : {refusal, chunked_refusal, interim, own})
        for (auto const& next : {own, own_chunked, own_failure})
            for (std::size_t size = 1; size < cut.find("\r\n\r\n") + 4; ++size)
                for (bool const at_once : {true, false}) {
                    auto const piece = cut.substr(0, size);
                    CAPTURE(piece);
                    CAPTURE(at_once);
                    response_reader reader(awaiting("mine"));
                    if (at_once) {
                        reader.feed(piece + next);
                    } else {
                        for (auto const c : piece + next)
                            reader.feed({&c, 1});
                    }
                    CHECK(reader.state() == reading_state::malformed);
                }
}

TEST_CASE("a field may name a version of HTTP") {
    response_reader reader(awaiting("mine"));
    reader.feed("HTTP/1.1 200 OK for HTTP/1.1\r\nVia: HTTP/1.1 edge, "
                "HTTP/1.1 20 b\r\nId: mine\r\nContent-Length: 2\r\n\r\nok");
    CHECK(reader.state() == reading_state::complete);
    CHECK(reader.body == "ok");
}

TEST_CASE("bytes after the awaited response in the same segment are detected") {
    for (auto const& behind : {std::string("x"), refusal, own}) {
        CAPTURE(behind);
        response_reader reader(awaiting("mine"));
        CHECK(reader.feed(own + behind) == reading_state::complete);
        CHECK(reader.has_trailing_bytes());
        CHECK(reader.body == "ok");
    }
}

TEST_CASE("a response without a length ends with its connection, and one to "
          "another request does not complete the awaited one") {
    std::string const unframed = "HTTP/1.1 503 Busy\r\nId: mine\r\n\r\n" + own;
    for (bool const awaited : {true, false}) {
        CAPTURE(awaited);
        response_reader reader(awaiting(awaited ? "mine" : "second"));
        CHECK(reader.feed(unframed) == reading_state::incomplete);
        CHECK(reader.head_complete() == awaited);
        CHECK((reader.end_of_input() == reading_state::complete) == awaited);
        CHECK(reader.head.status == (awaited ? 503 : 0));
    }
}
