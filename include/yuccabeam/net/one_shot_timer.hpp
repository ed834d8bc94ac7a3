#pragma once

#include "yuccabeam/values/time.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <system_error>
#include <utility>

namespace yuccabeam::net {

/// Runs a handler once, after a delay. Not thread-safe: use it only from the
/// thread or strand that runs the handler.
///
/// `start`, `cancel` and the destructor also cancel an earlier wait that has
/// expired and whose completion handler is already queued. An
/// `asio::steady_timer` can't cancel such a wait: its handler would run without
/// an error although the state that it was started for has changed.
class one_shot_timer {
public:
    explicit one_shot_timer(asio::any_io_executor const& executor)
        : timer_(executor) {}
    ~one_shot_timer() { cancel(); }
    one_shot_timer(one_shot_timer const&) = delete;
    one_shot_timer& operator=(one_shot_timer const&) = delete;

    /// Cancels an earlier wait and runs `handler` after `delay`.
    template <class Handler>
    void start(duration delay, Handler handler) {
        auto const wait = ++*current_wait_;
        timer_.expires_after(delay);
        timer_.async_wait(
            [current = current_wait_, wait,
             handler = std::move(handler)](std::error_code error) mutable {
                if (!error && *current == wait)
                    handler();
            });
    }

    void cancel() {
        ++*current_wait_;
        timer_.cancel();
    }

private:
    asio::steady_timer timer_;
    /// Sequence number of the current wait. Shared with queued completion
    /// handlers, which may outlive the timer.
    std::shared_ptr<std::uint64_t> current_wait_ =
        std::make_shared<std::uint64_t>(0);
};

} // namespace yuccabeam::net
