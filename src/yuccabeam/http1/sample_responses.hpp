#pragma once

#include <string>
#include <vector>

namespace yuccabeam::http1 {

/// A complete response with valid framing, for tests that truncate it at every
/// position.
struct sample_response {
    std::string framing;
    std::string method;
    std::string head;      ///< interim responses included
    std::string wire_body; ///< the body as sent, with its chunk framing
    std::string body;      ///< the decoded body
    bool ends_with_connection = false;

    std::string text() const { return head + wire_body; }
    /// Whether the first `size` bytes followed by an orderly close are a
    /// complete response.
    bool is_complete(std::size_t size) const {
        return size == text().size() ||
               (ends_with_connection && size >= head.size());
    }
    std::string body_within(std::size_t size) const {
        return ends_with_connection
                   ? text().substr(head.size(), size - head.size())
                   : body;
    }
};

/// Responses to the request `r1`.
inline std::vector<sample_response> const complete_responses = [] {
    std::string const ok = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p.7\r\n";
    return std::vector<sample_response>{
        {"length", "GET", ok + "Content-Length: 12\r\n\r\n", "twelve bytes",
         "twelve bytes"},
        {"no body", "GET", ok + "Content-Length: 0\r\n\r\n", "", ""},
        {"chunks", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n",
         "5;x=y\r\nfirst\r\nA\r\nten bytes.\r\n0\r\n\r\n", "firstten bytes."},
        {"chunks and trailers", "GET",
         ok + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n",
         "3\r\nabc\r\n0\r\nSum: 12\r\n\r\n", "abc"},
        {"until close", "GET", ok + "\r\n", "all of it", "all of it", true},
        {"HTTP/1.0 with its length last", "GET",
         "HTTP/1.0 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 34\r\n\r\n",
         "thirty-four bytes of an old answer",
         "thirty-four bytes of an old "
         "answer"},
        {"after an interim response", "GET",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
         "a\r\n\r\n" +
             ok + "Content-Length: 2\r\n\r\n",
         "ok", "ok"},
        {"to HEAD, with a length", "HEAD", ok + "Content-Length: 9\r\n\r\n", "",
         ""},
        {"to HEAD, chunked", "HEAD", ok + "Transfer-Encoding: chunked\r\n\r\n",
         "", ""},
        {"to HEAD, without framing", "HEAD", ok + "\r\n", "", ""},
        {"204", "GET", "HTTP/1.1 204 No Content\r\nId: r1\r\nProof: p\r\n\r\n",
         "", ""},
        {"304", "GET", "HTTP/1.1 304 Not Modified\r\nId: r1\r\n\r\n", "", ""},
        {"304 with the length of the cached representation", "GET",
         "HTTP/1.1 304 Not Modified\r\nId: r1\r\nContent-Length: 9\r\n\r\n", "",
         ""},
    };
}();

/// Responses whose end can't be determined; the peer closes after them.
struct malformed_response {
    std::string guards;
    std::string text;
};

inline std::vector<malformed_response> const malformed_responses = [] {
    std::string const ok = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n";
    auto with = [&](std::string const& fields, std::string const& body = "ab") {
        return ok + fields + "\r\n\r\n" + body;
    };
    return std::vector<malformed_response>{
        {"an empty length", with("Content-Length:")},
        {"a length of blanks", with("Content-Length:   ")},
        {"a length that is no number", with("Content-Length: two")},
        {"a number with trailing characters", with("Content-Length: 2x")},
        {"a negative length", with("Content-Length: -2")},
        {"a signed length", with("Content-Length: +2")},
        {"two numbers", with("Content-Length: 2 2")},
        {"a list of lengths", with("Content-Length: 2, 2")},
        {"a length beyond 64 bits",
         with("Content-Length: 18446744073709551618")},
        {"two lengths", with("Content-Length: 2\r\nContent-Length: 3")},
        {"an empty length before a real one",
         with("Content-Length:\r\nContent-Length: 2")},
        {"length and chunks",
         with("Content-Length: 2\r\nTransfer-Encoding: chunked",
              "2\r\nab\r\n0\r\n\r\n")},
        {"chunks and length",
         with("Transfer-Encoding: chunked\r\nContent-Length: 2",
              "2\r\nab\r\n0\r\n\r\n")},
        {"a transfer coding other than chunked",
         with("Transfer-Encoding: gzip")},
        {"an empty transfer coding", with("Transfer-Encoding:")},
        {"identity", with("Transfer-Encoding: identity")},
        {"an unknown transfer coding", with("Transfer-Encoding: xchunked")},
        {"a truncated name of the transfer coding",
         with("Transfer-Encoding: chunke")},
        {"chunks that are encoded again",
         with("Transfer-Encoding: chunked, gzip", "2\r\nab\r\n0\r\n\r\n")},
        {"a chunk without a size",
         with("Transfer-Encoding: chunked", "\r\nab\r\n0\r\n\r\n")},
        {"a chunk size that is no number",
         with("Transfer-Encoding: chunked", "g\r\nab\r\n0\r\n\r\n")},
        {"a chunk size beyond 64 bits",
         with("Transfer-Encoding: chunked",
              "10000000000000002\r\nab\r\n0\r\n\r\n")},
        {"a chunk that is longer than its size",
         with("Transfer-Encoding: chunked", "1\r\nab\r\n0\r\n\r\n")},
        {"a field without a colon", with("Content-Length")},
    };
}();

} // namespace yuccabeam::http1
