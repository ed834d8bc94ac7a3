#include "yuccabeam/daemon/answer_stream.hpp"

#include <string>

namespace yuccabeam::daemon {

namespace {

constexpr std::size_t pause_above_bytes = 256 * 1024;
constexpr std::size_t resume_below_bytes = 128 * 1024;

} // namespace

void answer_stream::start(adapters::answer_head const& head,
                          adapters::http_fields const& fields) {
    auto length = head.content_length;
    if (head.framing == adapters::body_framing::none && !length)
        length = 0;
    responder_->start(head.status, fields, length);
}

bool answer_stream::write(std::string_view part, written_hook hook) {
    if (unwritten_ > pause_above_bytes) {
        paused_ = true;
        return false;
    }
    unwritten_ += part.size();
    delivered_ += part.size();
    responder_->write(std::string(part),
                      [hook = std::move(hook), bytes = part.size()](bool sent) {
                          hook(bytes, sent);
                      });
    return true;
}

void answer_stream::written(std::size_t bytes, adapters::call_id call) {
    unwritten_ -= bytes;
    if (paused_ && unwritten_ < resume_below_bytes) {
        paused_ = false;
        client_.resume(call);
    }
}

} // namespace yuccabeam::daemon
