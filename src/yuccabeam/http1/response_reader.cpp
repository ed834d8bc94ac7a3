#include "yuccabeam/http1/response_reader.hpp"

#include <utility>

namespace yuccabeam::http1 {

response_reader::response_reader(response_reader_options options)
    : hold(options.memory), options_(std::move(options)),
      parser_(message_kind::response,
              {[this](message_head& received) { return on_head(received); },
               [this](std::string_view part) { on_body(part); }}) {}

reading_state response_reader::feed(std::string_view bytes) {
    while (!bytes.empty() && state_ == reading_state::incomplete) {
        auto const used = parser_.feed(bytes);
        bytes.remove_prefix(used);
        parsed_bytes_ += used;
        if (parser_.failed())
            state_ = reading_state::malformed;
        else if (body_too_large_ || beyond_limits())
            state_ = reading_state::too_large;
        else if (!parser_.complete())
            break;
        else if (matched_)
            state_ = reading_state::complete;
        else
            parser_.restart();
    }
    has_trailing_bytes_ = has_trailing_bytes_ || !bytes.empty();
    return state_;
}

reading_state response_reader::end_of_input() {
    if (state_ == reading_state::incomplete && head_complete() &&
        head.framing == body_framing::until_close) {
        parser_.end_of_input();
        if (parser_.complete())
            state_ = reading_state::complete;
    }
    return state_;
}

bool response_reader::on_head(message_head& received) {
    bool const interim = received.status < 200;
    matched_ = !interim && matches(received);
    stray_seen_ = stray_seen_ || !(matched_ || interim);
    if (matched_) {
        head = received;
        body_too_large_ = !options_.without_body &&
                          head.content_length > options_.max_body_bytes;
    }
    return options_.without_body;
}

bool response_reader::matches(message_head const& received) const {
    if (options_.match_value.empty())
        return true;
    std::size_t matching = 0;
    for (auto const& field : received.fields) {
        if (!same_field_name(field.name, options_.match_field))
            continue;
        if (field.value != options_.match_value)
            return false;
        ++matching;
    }
    return matching > 0;
}

void response_reader::on_body(std::string_view part) {
    if (!matched_ || body_too_large_)
        return;
    if (body.size() + part.size() > options_.max_body_bytes) {
        body_too_large_ = true;
        return;
    }
    auto const expected = head.framing == body_framing::length
                              ? static_cast<std::size_t>(head.content_length)
                              : 0;
    body_too_large_ = !append_held(body, part, expected, hold);
}

void response_reader::discard() {
    state_ = reading_state::too_large;
    release(body);
    hold.resize(0);
}

bool response_reader::beyond_limits() const {
    return parser_.head_bytes() > options_.max_head_bytes ||
           parsed_bytes_ - body.size() > options_.max_overhead_bytes;
}

} // namespace yuccabeam::http1
