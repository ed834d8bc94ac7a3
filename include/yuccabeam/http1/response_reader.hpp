#pragma once

#include "yuccabeam/http1/parser.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace yuccabeam::http1 {

/// Which response is awaited and how much may be read for it.
struct response_reader_options {
    bool without_body = false; ///< the response to HEAD
    /// Value that the response must carry in `match_field`, in each field of
    /// that name. Empty: any response is taken.
    std::string match_field;
    std::string match_value;
    std::size_t max_body_bytes = 32u << 20;
    std::size_t max_head_bytes = 64u << 10;
    /// All that is read beside the response's body.
    std::size_t max_overhead_bytes = 1u << 20;
};

enum class reading_state {
    incomplete,
    complete,
    malformed,
    too_large ///< one of the limits is reached
};

/// Finds the response to one request in the bytes of a connection, without
/// input or output. Interim responses and those to other requests are
/// skipped.
class response_reader {
public:
    explicit response_reader(response_reader_options options);
    response_reader(response_reader const&) = delete;
    response_reader& operator=(response_reader const&) = delete;

    /// Reads the next bytes; none after a state other than `incomplete`.
    reading_state feed(std::string_view bytes);
    /// The peer closed in order, which ends a body without a length.
    reading_state end_of_input();

    reading_state state() const { return state_; }
    /// The awaited response's head has been read.
    bool head_complete() const { return parser_.head_complete() && matched_; }
    /// A response to another request came first.
    bool stray_seen() const { return stray_seen_; }
    /// Bytes came behind the awaited response.
    bool has_trailing_bytes() const { return has_trailing_bytes_; }

    /// The awaited response, as far as it has been read.
    message_head head;
    std::string body;

private:
    bool on_head(message_head& received);
    bool matches(message_head const& received) const;
    void on_body(std::string_view part);
    bool beyond_limits() const;

    response_reader_options options_;
    parser parser_;
    reading_state state_ = reading_state::incomplete;
    std::uint64_t parsed_bytes_ = 0; ///< of all messages
    bool matched_ = false;
    bool stray_seen_ = false;
    bool has_trailing_bytes_ = false;
    bool body_too_large_ = false;
};

} // namespace yuccabeam::http1
