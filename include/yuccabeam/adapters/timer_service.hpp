#pragma once

#include "yuccabeam/values/time.hpp"

#include <functional>
#include <memory>

namespace yuccabeam::adapters {

/// Calls subscribers at regular intervals, in one thread of its own, with
/// the time of the call.
class timer_service {
public:
    using callback = std::function<void(time_point now)>;

    timer_service();
    ~timer_service();
    timer_service(timer_service const&) = delete;
    timer_service& operator=(timer_service const&) = delete;

    /// Runs `callback` every `period` until the service stops.
    void every(duration period, callback callback);

    /// Runs `callback` once after `delay`.
    void after(duration delay, callback callback);

    /// Ends the thread; no callback runs after the return.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> self_;
};

} // namespace yuccabeam::adapters
