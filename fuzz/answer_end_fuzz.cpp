// Parser of answers. The first byte says whether the answer is to HEAD and in
// which pieces the rest comes, the second where it is cut. Pieces must not
// change what is read, and a cut answer that has a framing is never complete.

#include "yuccabeam/http1/parser.hpp"

#include <algorithm>
#include <cstdlib>

using namespace yuccabeam::http1;

namespace {

struct reading {
    message_head head;
    std::string body;
    std::size_t used = 0;
    bool complete = false;
    bool operator==(reading const& other) const {
        return body == other.body && used == other.used;
    }
};

reading read(std::string_view text, std::size_t piece, bool without_body) {
    reading out;
    parser under_test(message_kind::response,
                      {[&](message_head& head) {
                           out.head = head;
                           return without_body;
                       },
                       [&](std::string_view part) { out.body += part; }});
    for (std::size_t at = 0; at < text.size(); at += piece) {
        out.used += under_test.feed(text.substr(at, piece));
        if (under_test.complete() || under_test.failed())
            break;
    }
    under_test.end_of_input();
    out.complete = under_test.complete() && !under_test.failed();
    return out;
}

void require(bool condition) {
    if (!condition)
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size) {
    if (size < 3)
        return 0;
    bool const without_body = (data[0] & 1) != 0;
    std::size_t const piece = 1 + data[0] / 2;
    std::string_view const text(reinterpret_cast<char const*>(data + 2),
                                size - 2);
    auto const whole = read(text, text.size(), without_body);
    auto const pieces = read(text, piece, without_body);
    require(whole.complete == pieces.complete);
    if (!whole.complete)
        return 0;
    require(whole == pieces);
    auto const framing = whole.head.framing;
    if (framing == body_framing::length && !without_body)
        require(whole.body.size() == whole.head.content_length);
    if (framing == body_framing::none || without_body)
        require(whole.body.empty());
    if (framing == body_framing::until_close && !without_body)
        return 0;
    auto const cut = whole.used * data[1] / 256;
    require(!read(text.substr(0, cut), text.size(), without_body).complete);
    return 0;
}
