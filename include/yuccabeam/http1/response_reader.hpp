#pragma once

#include "yuccabeam/http1/memory_budget.hpp"
#include "yuccabeam/http1/parser.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace yuccabeam::http1 {

/// Selects the awaited response and limits what is read for it.
struct response_reader_options {
    bool without_body = false; ///< the response to HEAD
    /// Value that every `match_field` header of the response must have. If
    /// empty, any response is accepted.
    std::string match_field;
    std::string match_value;
    std::size_t max_body_bytes = 32u << 20;
    std::size_t max_head_bytes = 64u << 10;
    /// Limit of all bytes read except the awaited response's body.
    std::size_t max_overhead_bytes = 1u << 20;
    /// Budget for the body; without one only the limits above apply.
    std::shared_ptr<memory_budget> memory;
};

enum class reading_state {
    incomplete,
    complete,
    malformed,
    too_large ///< one of the limits is exceeded
};

/// Finds the response to one request in the bytes received on a connection;
/// does no I/O itself. Skips interim responses and responses to other
/// requests.
class response_reader {
public:
    explicit response_reader(response_reader_options options);
    response_reader(response_reader const&) = delete;
    response_reader& operator=(response_reader const&) = delete;

    /// Parses the next bytes. Parses none once the state isn't `incomplete`.
    reading_state feed(std::string_view bytes);
    /// Signals an orderly close by the peer, which ends a body that has no
    /// length.
    reading_state end_of_input();

    reading_state state() const { return state_; }
    /// Whether the awaited response's head has been read.
    bool head_complete() const { return parser_.head_complete() && matched_; }
    /// Whether a response to another request was skipped.
    bool stray_seen() const { return stray_seen_; }
    /// Whether bytes followed the awaited response.
    bool has_trailing_bytes() const { return has_trailing_bytes_; }

    /// The part of the awaited response that has been read.
    message_head head;
    std::string body;
    memory_hold hold; ///< of the body

    /// Ends the response and frees its body.
    void discard();

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
