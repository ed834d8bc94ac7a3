#include "yuccabeam/adapters/timer_service.hpp"

#include "yuccabeam/adapters/clock.hpp"

#include <asio.hpp>
#include <thread>

namespace yuccabeam::adapters {

struct timer_service::implementation {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(context);
    std::thread thread;

    void repeat(std::shared_ptr<asio::steady_timer> timer, duration period,
                std::shared_ptr<callback> callback) {
        timer->async_wait([this, timer, period, callback](auto error) {
            if (error)
                return;
            (*callback)(boot_now());
            // Missed ticks are skipped instead of running in a burst.
            timer->expires_after(period);
            repeat(timer, period, callback);
        });
    }
};

timer_service::timer_service() : self_(std::make_unique<implementation>()) {
    self_->thread = std::thread([self = self_.get()] { self->context.run(); });
}

timer_service::~timer_service() {
    stop();
}

void timer_service::every(duration period, callback callback) {
    auto timer = std::make_shared<asio::steady_timer>(self_->context, period);
    self_->repeat(
        timer, period,
        std::make_shared<timer_service::callback>(std::move(callback)));
}

void timer_service::after(duration delay, callback callback) {
    auto timer = std::make_shared<asio::steady_timer>(self_->context, delay);
    timer->async_wait([timer, callback = std::move(callback)](auto error) {
        if (!error)
            callback(boot_now());
    });
}

void timer_service::stop() {
    self_->context.stop();
    if (self_->thread.joinable())
        self_->thread.join();
}

} // namespace yuccabeam::adapters
