#include "yuccabeam/http1/parser.hpp"

#include <algorithm>
#include <array>
#include <http_parser.h>
#include <utility>
#include <vector>

namespace yuccabeam::http1 {

namespace {

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

/// Checks the lines of a head for what http_parser accepts although it is no
/// HTTP: folded lines, a CR that ends no line, and status codes that don't have
/// three digits.
class head_line_check {
public:
    /// Reads the next bytes, up to the end of the head. Returns false once a
    /// line is invalid.
    bool read(std::string_view bytes, bool of_response) {
        for (char const c : bytes) {
            if (ended_ || !valid_)
                break;
            bool const after_cr = std::exchange(after_cr_, c == '\r');
            if (c == '\n')
                end_line(of_response);
            else if (after_cr)
                valid_ = false;
            else if (c != '\r')
                add(c);
        }
        return valid_;
    }

private:
    // The status code and the blank before it end here: "HTTP/1.1 200".
    static constexpr std::size_t status_at = 9;
    static constexpr std::size_t status_end = 12;

    void add(char c) {
        if (!start_line_read_ && start_.size() <= status_end)
            start_ += c;
        bool const folded =
            start_line_read_ && length_ == 0 && (c == ' ' || c == '\t');
        valid_ = valid_ && !folded;
        ++length_;
    }

    void end_line(bool of_response) {
        if (!start_line_read_ && length_ > 0) {
            start_line_read_ = true;
            valid_ = !of_response || has_three_digits();
        } else if (start_line_read_ && length_ == 0) {
            ended_ = true;
        }
        length_ = 0;
    }

    bool has_three_digits() const {
        auto const is_digit = [](char c) { return c >= '0' && c <= '9'; };
        return start_.size() >= status_end &&
               std::all_of(start_.begin() + status_at,
                           start_.begin() + status_end, is_digit) &&
               (start_.size() == status_end || start_[status_end] == ' ');
    }

    std::string start_;      ///< the beginning of the start line
    std::size_t length_ = 0; ///< of the current line so far
    bool start_line_read_ = false;
    bool after_cr_ = false;
    bool ended_ = false;
    bool valid_ = true;
};

} // namespace

struct parser::implementation {
    message_kind kind;
    parser::callbacks callbacks;
    http_parser state{};
    http_parser_settings settings{};
    message_head head;
    std::string reason; ///< after the status code, while the head is read
    bool reading_value = false;
    bool head_done = false;
    bool done = false;
    bool error = false;
    std::size_t consumed_before_head_end = 0;
    head_line_check lines;

    implementation(message_kind kind, parser::callbacks callbacks)
        : kind(kind), callbacks(std::move(callbacks)) {
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser* p, char const* at, std::size_t n) {
            self(p).head.target.append(at, n);
            return 0;
        };
        settings.on_status = [](http_parser* p, char const* at, std::size_t n) {
            self(p).reason.append(at, n);
            return 0;
        };
        settings.on_header_field = [](http_parser* p, char const* at,
                                      std::size_t n) {
            return self(p).append_name({at, n}) ? 0 : 1;
        };
        settings.on_header_value = [](http_parser* p, char const* at,
                                      std::size_t n) {
            return self(p).append_value({at, n}) ? 0 : 1;
        };
        settings.on_headers_complete = [](http_parser* p) {
            return static_cast<int>(self(p).finish_head());
        };
        settings.on_body = [](http_parser* p, char const* at, std::size_t n) {
            self(p).callbacks.on_body({at, n});
            return 0;
        };
        settings.on_message_complete = [](http_parser* p) {
            self(p).done = true;
            // Stops before the bytes of the next message.
            http_parser_pause(p, 1);
            return 0;
        };
        restart();
    }

    static implementation& self(http_parser* p) {
        return *static_cast<implementation*>(p->data);
    }

    void restart() {
        http_parser_init(&state, kind == message_kind::request ? HTTP_REQUEST
                                                               : HTTP_RESPONSE);
        state.data = this;
        head = {};
        reason = {};
        reading_value = head_done = done = error = false;
        consumed_before_head_end = 0;
        lines = {};
    }

    // http_parser accepts a blank in a name and before the colon. Fields after
    // the body (trailers) are checked but not kept.
    bool append_name(std::string_view part) {
        if (!head_done) {
            if (reading_value || head.fields.empty())
                head.fields.emplace_back();
            reading_value = false;
            head.fields.back().name += part;
        }
        return std::ranges::all_of(part, adapters::is_token_character);
    }

    bool append_value(std::string_view part) {
        if (!head_done) {
            reading_value = true;
            head.fields.back().value += part;
        }
        return adapters::is_field_value(part);
    }

    // Size of a complete head, computed from its fields: if it arrives in one
    // piece with the body, the consumed bytes don't show where it ends.
    std::size_t size_of_head() const {
        // Separators: "GET  HTTP/1.1\r\n" and "\r\n" of the head, ": \r\n" of
        // a field.
        constexpr std::size_t line_overhead = 18;
        constexpr std::size_t field_overhead = 4;
        std::size_t size = head.target.size() + line_overhead;
        for (auto const& field : head.fields)
            size += field.name.size() + field.value.size() + field_overhead;
        return size;
    }

    // Return values of http_parser's on_headers_complete callback.
    enum class after_head { failure = -1, body = 0, no_body = 1 };

    after_head finish_head() {
        if (!framing_is_known() || !status_is_valid() || is_spliced())
            return after_head::failure;
        head_done = true;
        consumed_before_head_end =
            std::max(consumed_before_head_end, size_of_head());
        head.keep_alive = http_should_keep_alive(&state) != 0;
        head.minor_version = static_cast<std::uint8_t>(state.http_minor);
        if (kind == message_kind::request)
            head.method =
                http_method_str(static_cast<http_method>(state.method));
        else
            head.status = static_cast<int>(state.status_code);
        set_framing();
        // http_parser expects a body wherever Content-Length is present, also
        // in responses that never have one.
        bool const skips = callbacks.on_head(head) || never_has_body();
        return skips ? after_head::no_body : after_head::body;
    }

    // Only `chunked` as the single transfer coding is supported. The end of a
    // body in another coding can't be determined and its bytes would have to be
    // decoded. http_parser reads such a response until the connection closes.
    bool framing_is_known() const {
        std::size_t encodings = 0;
        bool plain = true;
        for (auto const& field : head.fields) {
            if (!same_field_name(field.name, "Transfer-Encoding"))
                continue;
            ++encodings;
            plain = plain && same_field_name(trimmed(field.value), "chunked");
        }
        return encodings <= 1 && plain;
    }

    bool status_is_valid() const {
        return kind == message_kind::request ||
               adapters::is_status(static_cast<int>(state.status_code));
    }

    // Whether a response was cut in its head and is continued by the next one.
    bool is_spliced() const {
        using adapters::holds_status_line;
        return kind == message_kind::response &&
               (holds_status_line(reason) ||
                std::ranges::any_of(head.fields, [](auto const& field) {
                    return holds_status_line(field.value);
                }));
    }

    bool never_has_body() const {
        return kind == message_kind::response &&
               (head.status / 100 == 1 || head.status == 204 ||
                head.status == 304);
    }

    void set_framing() {
        if (never_has_body())
            head.framing = body_framing::none;
        else if ((state.flags & F_CHUNKED) != 0)
            head.framing = body_framing::chunked;
        else if ((state.flags & F_CONTENTLENGTH) != 0) {
            head.framing = body_framing::length;
            head.content_length = state.content_length;
        } else if (kind == message_kind::response)
            head.framing = body_framing::until_close;
    }

    std::size_t feed(std::string_view bytes) {
        if (done || error)
            return 0;
        if (!head_done && !lines.read(bytes, kind == message_kind::response)) {
            error = true;
            return 0;
        }
        auto const used =
            http_parser_execute(&state, &settings, bytes.data(), bytes.size());
        auto const code = HTTP_PARSER_ERRNO(&state);
        if (code != HPE_OK && !(code == HPE_PAUSED && done))
            error = true;
        if (state.upgrade != 0 && !done)
            error = true;
        if (!head_done)
            consumed_before_head_end += used;
        return used;
    }
};

parser::parser(message_kind kind, callbacks callbacks)
    : self_(std::make_unique<implementation>(kind, std::move(callbacks))) {}

parser::~parser() = default;

std::size_t parser::feed(std::string_view bytes) {
    return self_->feed(bytes);
}

void parser::end_of_input() {
    self_->feed({});
}

void parser::restart() {
    self_->restart();
}

bool parser::started() const {
    return self_->consumed_before_head_end != 0 || self_->head_done;
}

bool parser::complete() const {
    return self_->done;
}

bool parser::failed() const {
    return self_->error;
}

std::size_t parser::head_bytes() const {
    return self_->consumed_before_head_end;
}

bool parser::head_complete() const {
    return self_->head_done;
}

std::size_t parser::held_bytes() const {
    // Strings double their storage as they grow.
    return self_->head.fields.capacity() * sizeof(http_field) +
           (self_->head_done ? 0 : 2 * self_->consumed_before_head_end);
}

std::size_t memory_of(message_head const& head) {
    auto const inline_bytes = std::string().capacity();
    auto const heap = [&](std::string const& text) {
        return text.capacity() > inline_bytes ? text.capacity() + 1 : 0;
    };
    auto out = heap(head.target) + head.fields.capacity() * sizeof(http_field);
    for (auto const& field : head.fields)
        out += heap(field.name) + heap(field.value);
    return out;
}

void append_fields(std::string& out, http_fields const& fields) {
    for (auto const& field : fields)
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    out.append("\r\n");
}

std::string_view reason_phrase(int status) {
    switch (status) {
#define YUCCABEAM_STATUS_CASE(number, name, phrase)                            \
    case number:                                                               \
        return #phrase;
        HTTP_STATUS_MAP(YUCCABEAM_STATUS_CASE)
#undef YUCCABEAM_STATUS_CASE
    default:
        return "Unknown";
    }
}

namespace {

constexpr std::array<std::string_view, 10> connection_fields = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Connection",  "TE",         "Proxy-Authorization",
    "Transfer-Encoding", "Trailer",    "Upgrade",
    "Content-Length"};

std::vector<std::string_view> named_by_connection(http_fields const& fields) {
    std::vector<std::string_view> names;
    for (auto const& field : fields) {
        if (!same_field_name(field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            auto const comma = rest.find(',');
            names.push_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(comma == std::string_view::npos ? rest.size()
                                                               : comma + 1);
        }
    }
    return names;
}

template <class Names>
bool contains(Names const& names, std::string_view name) {
    for (auto const& candidate : names)
        if (same_field_name(candidate, name))
            return true;
    return false;
}

} // namespace

http_fields end_to_end_fields(http_fields const& received) {
    auto const named = named_by_connection(received);
    http_fields out;
    for (auto const& field : received)
        if (!contains(connection_fields, field.name) &&
            !contains(named, field.name))
            out.push_back(field);
    return out;
}

} // namespace yuccabeam::http1
