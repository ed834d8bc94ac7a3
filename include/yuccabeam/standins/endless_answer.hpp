#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace yuccabeam::standins {

/// Bytes without end that a target in trouble sends in place of an answer.
enum class endless_kind {
    no_http,         ///< from the first byte on
    field,           ///< one header field
    fields,          ///< header fields
    chunked_body,    ///< chunks, and never the last one
    unsized_body,    ///< a body without a length
    other_answers,   ///< whole answers to other requests
    interim_answers, ///< 1xx answers
    chunk_size,      ///< leading zeros of a chunk's size
    chunk_extension, ///< one extension of one chunk
    chunk_framing,   ///< chunks of one byte with long extensions
    trailers,        ///< fields behind the last chunk
    behind_answer    ///< bytes behind a whole answer
};

inline constexpr std::array<std::pair<std::string_view, endless_kind>, 12>
    endless_words{{
        {"no_http", endless_kind::no_http},
        {"field", endless_kind::field},
        {"fields", endless_kind::fields},
        {"chunked_body", endless_kind::chunked_body},
        {"unsized_body", endless_kind::unsized_body},
        {"other_answers", endless_kind::other_answers},
        {"interim_answers", endless_kind::interim_answers},
        {"chunk_size", endless_kind::chunk_size},
        {"chunk_extension", endless_kind::chunk_extension},
        {"chunk_framing", endless_kind::chunk_framing},
        {"trailers", endless_kind::trailers},
        {"behind_answer", endless_kind::behind_answer},
    }};

constexpr std::string_view to_string(endless_kind value) {
    return endless_words[static_cast<std::size_t>(value)].first;
}

/// Bytes sent once, and the bytes sent again and again after them.
struct endless_answer {
    std::string start;
    std::string repeated;

    bool operator==(endless_answer const&) const = default;
};

/// Repeats `unit` to a block that is worth one write.
inline std::string block_of(std::string_view unit) {
    constexpr std::size_t block_bytes = 16 << 10;
    std::string out;
    while (out.size() + unit.size() <= block_bytes)
        out += unit;
    return out;
}

/// The bytes of a kind; `own` and `other` are the header lines, each with its
/// line end, that mark an answer to this request and to another one.
inline endless_answer make_endless_answer(endless_kind kind,
                                          std::string const& own,
                                          std::string const& other) {
    std::string const line = "HTTP/1.1 200 OK\r\n";
    std::string const sized = "Content-Length: 2\r\n\r\nok";
    std::string const chunked =
        line + own + "Transfer-Encoding: chunked\r\n\r\n";
    switch (kind) {
    case endless_kind::no_http:
        return {"", block_of("no answer ")};
    case endless_kind::field:
        return {line + own + "Long: ", block_of("x")};
    case endless_kind::fields:
        return {line + own, block_of("Field: x\r\n")};
    case endless_kind::chunked_body:
        return {chunked,
                block_of("400\r\n" + std::string(0x400, 'x') + "\r\n")};
    case endless_kind::unsized_body:
        return {line + own + "\r\n", block_of("x")};
    case endless_kind::other_answers:
        return {"", block_of(line + other + sized)};
    case endless_kind::interim_answers:
        return {"", block_of("HTTP/1.1 103 Early Hints\r\n\r\n")};
    case endless_kind::chunk_size:
        return {chunked, block_of("0")};
    case endless_kind::chunk_extension:
        return {chunked + "2;", block_of("x")};
    case endless_kind::chunk_framing:
        return {chunked,
                block_of("1;" + std::string(1'000, 'x') + "\r\ny\r\n")};
    case endless_kind::trailers:
        return {chunked + "0\r\n", block_of("Field: x\r\n")};
    case endless_kind::behind_answer:
        return {line + own + sized, block_of("behind the answer ")};
    }
    return {};
}

} // namespace yuccabeam::standins
