#pragma once

#include "yuccabeam/daemon/answer_stream.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>

namespace yuccabeam::daemon {

struct relay_options {
    std::string address; ///< of the ticket's owner
    std::string shared_key;
    std::string request_id;
    std::chrono::milliseconds timeout{};
};

/// Sends a ticketed request to the daemon that owns the ticket, and the
/// answer back. Whether the owner got the request can't be known once it was
/// sent, so everything that goes wrong here is answered with `unknown`.
class relayed_request final
    : public adapters::call_observer,
      public std::enable_shared_from_this<relayed_request> {
public:
    /// `running` counts requests in progress.
    relayed_request(relay_options options, adapters::target_client& client,
                    std::atomic<std::uint64_t>& running,
                    adapters::http_request request,
                    adapters::http_responder_ptr responder);
    ~relayed_request() override;

    void start();

    void on_head(adapters::answer_head head) override;
    bool on_data(std::string_view part) override;
    void on_end(adapters::call_end end) override;

private:
    relay_options options_;
    adapters::target_client& client_;
    std::atomic<std::uint64_t>& running_;
    adapters::http_request request_;
    answer_stream answer_;
    std::mutex mutex_;
    adapters::call_id call_ = 0;
    bool started_ = false;
};

} // namespace yuccabeam::daemon
