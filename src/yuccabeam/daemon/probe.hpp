#pragma once

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/adapters/target_client.hpp"
#include "yuccabeam/daemon/proxy.hpp"

#include <memory>
#include <string_view>
#include <utility>

namespace yuccabeam::daemon {

/// Reports the outcome of one probe of a target on trial to its pool.
class probe final : public adapters::call_observer {
public:
    probe(service_pool_ptr pool, attempt_ptr started)
        : pool_(std::move(pool)), started_(std::move(started)) {}

    void on_head(adapters::answer_head head) override { status_ = head.status; }

    bool on_data(std::string_view) override { return true; }

    void on_end(adapters::call_end end) override {
        attempt_end seen;
        bool const good = end.status == adapters::call_status::complete &&
                          status_ >= 200 && status_ < 400;
        seen.outcome = good ? health::request_outcome::ok
                            : health::request_outcome::server_error;
        seen.until_head = end.until_head;
        pool_->release(*started_, seen, adapters::boot_now());
    }

private:
    service_pool_ptr pool_;
    attempt_ptr started_;
    int status_ = 0;
};

} // namespace yuccabeam::daemon
