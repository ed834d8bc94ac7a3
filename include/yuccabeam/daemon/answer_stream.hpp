#pragma once

#include "yuccabeam/adapters/http_server.hpp"
#include "yuccabeam/adapters/target_client.hpp"

#include <cstdint>
#include <functional>
#include <string_view>

namespace yuccabeam::daemon {

/// Copies a target's answer to a caller with bounded memory.
///
/// While more than a quarter of a mebibyte waits for a slow caller, the
/// target is paused. Its owner serialises the calls and posts `on_written`
/// back to itself.
class answer_stream {
public:
    /// Runs when bytes have left; the owner then calls `written`.
    using written_hook = std::function<void(std::size_t bytes, bool sent)>;

    answer_stream(adapters::http_responder_ptr responder,
                  adapters::target_client& client)
        : responder_(std::move(responder)), client_(client) {}

    /// Sends the head with the answer's framing.
    void start(adapters::answer_head const& head,
               adapters::http_fields const& fields);

    /// Takes a part of the body; false asks for it again after a resume.
    bool write(std::string_view part, written_hook hook);

    /// Notes that bytes have left; continues a paused call.
    void written(std::size_t bytes, adapters::call_id call);

    /// A new call supplies the rest; it isn't paused.
    void next_call() { paused_ = false; }

    void finish() { responder_->finish(); }
    void abort() { responder_->abort(); }

    adapters::http_responder& responder() { return *responder_; }
    std::uint64_t delivered() const { return delivered_; }

private:
    adapters::http_responder_ptr responder_;
    adapters::target_client& client_;
    std::uint64_t delivered_ = 0;
    std::size_t unwritten_ = 0;
    bool paused_ = false;
};

} // namespace yuccabeam::daemon
