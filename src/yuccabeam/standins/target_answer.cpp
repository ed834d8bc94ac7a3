#include "target_answer.hpp"

#include <algorithm>
#include <cstdio>
#include <http_parser.h>

namespace yuccabeam::standins {
namespace {

constexpr std::size_t block_bytes = std::size_t{64} << 10U;

} // namespace

std::string answer::head(bool drain, std::string_view echo) const {
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' +
                      http_status_str(static_cast<http_status>(status)) +
                      "\r\n" + extra_headers;
    if (chunked)
        out += "Transfer-Encoding: chunked\r\n";
    else
        out += "Content-Length: " + std::to_string(size()) + "\r\n";
    if (drain)
        out += "Yuccabeam-Drain: 1\r\n";
    if (!echo.empty())
        out.append("Yuccabeam-Echo: ").append(echo).append("\r\n");
    if (end == ending::close)
        out += "Connection: close\r\n";
    return out + "\r\n";
}

std::uint64_t answer::body_end() const {
    if (without_body)
        return 0;
    return std::min(size(), cut_after.value_or(size()));
}

std::size_t answer::append_block(std::string& output) {
    auto const count = static_cast<std::size_t>(
        std::min<std::uint64_t>(body_end() - sent, block_bytes));
    auto const framed = chunked && !without_body;
    if (framed && count > 0) {
        char digits[24];
        auto const length =
            std::snprintf(digits, sizeof digits, "%zx\r\n", count);
        output.append(digits, static_cast<std::size_t>(length));
    }
    if (generated) {
        auto const old = output.size();
        output.resize(old + count);
        fill_content(*generated, range.begin + sent,
                     std::span(output).subspan(old));
    } else {
        output.append(text, sent, count);
    }
    sent += count;
    if (framed && count > 0)
        output += "\r\n";
    if (framed && complete() && !cut_after)
        output += "0\r\n\r\n";
    return count;
}

answer text_only(int status, std::string text) {
    answer out;
    out.status = status;
    out.text = std::move(text);
    return out;
}

answer not_run(std::string text) {
    auto out = text_only(503, std::move(text));
    out.extra_headers = "Yuccabeam-Not-Run: 1\r\n";
    return out;
}

answer generated_answer(content const& what, http_message const& request) {
    answer out;
    out.generated = what;
    out.extra_headers =
        "ETag: " + etag_of(what) + "\r\nAccept-Ranges: bytes\r\n";
    auto const choice =
        choose_range(what, request.header("Range"), request.header("If-Range"));
    out.range = choice.range;
    auto const total = std::to_string(what.size);
    if (choice.kind == range_kind::part) {
        out.status = 206;
        out.extra_headers +=
            "Content-Range: bytes " + std::to_string(choice.range.begin) + '-' +
            std::to_string(choice.range.end - 1) + '/' + total + "\r\n";
    } else if (choice.kind == range_kind::unsatisfiable) {
        out.status = 416;
        out.range = {};
        out.extra_headers += "Content-Range: bytes */" + total + "\r\n";
    }
    return out;
}

} // namespace yuccabeam::standins
