#pragma once

#include "yuccabeam/adapters/http_types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam::http1 {

using adapters::field_value;
using adapters::http_field;
using adapters::http_fields;
using adapters::same_field_name;

enum class message_kind { request, response };

enum class body_framing { none, length, chunked, until_close };

/// Start line and header fields of a message.
struct message_head {
    std::string method; ///< of a request
    std::string target; ///< path and query of a request, as received
    int status = 0;     ///< of a response
    http_fields fields;
    body_framing framing = body_framing::none;
    std::uint64_t content_length = 0; ///< for `body_framing::length`
    bool keep_alive = true;
    std::uint8_t minor_version = 1;
};

/// Memory that the strings and fields of a head take, in bytes.
std::size_t memory_of(message_head const& head);

/// Incremental parser of one HTTP/1.1 message, based on http_parser.
///
/// Bytes after the end of the message are not consumed, so that the caller
/// can detect pipelined or excess bytes.
class parser {
public:
    struct callbacks {
        /// Returns true if no body follows (the response to HEAD).
        std::function<bool(message_head&)> on_head;
        std::function<void(std::string_view)> on_body;
    };

    parser(message_kind kind, callbacks callbacks);
    ~parser();
    parser(parser const&) = delete;
    parser& operator=(parser const&) = delete;

    /// Parses bytes and returns how many of them belong to the message.
    std::size_t feed(std::string_view bytes);
    /// Signals an orderly close by the peer.
    void end_of_input();
    /// Resets the parser for the next message.
    void restart();

    bool started() const;
    bool complete() const;
    bool failed() const;
    /// Size of the start line and header fields read so far.
    std::size_t head_bytes() const;
    bool head_complete() const;
    /// Upper estimate of the memory that an incomplete head takes, in bytes.
    std::size_t held_bytes() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self_;
};

/// Appends the header fields and the empty line that ends the head.
void append_fields(std::string& out, http_fields const& fields);

/// Standard reason phrase of a status code, such as `Not Found`.
std::string_view reason_phrase(int status);

/// The end-to-end header fields of a received message: all fields but the
/// hop-by-hop ones, those named in `Connection`, and Content-Length.
http_fields end_to_end_fields(http_fields const& received);

} // namespace yuccabeam::http1
