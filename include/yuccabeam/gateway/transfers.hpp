#pragma once

#include "yuccabeam/gateway/store_schedule.hpp"
#include "yuccabeam/gateway/transfer_pace.hpp"
#include "yuccabeam/http1/client.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

/// Where a copy of the store's content, or changes of it, are read from.
struct transfer_source {
    std::string address;
    std::optional<store_call> call; ///< to the store; nothing for a peer

    bool operator==(transfer_source const&) const = default;
};

/// A transfer whose speed has just fallen below the limit.
struct slow_transfer {
    transfer_source source;
    std::uint64_t bytes = 0;
};

/// The responses with content of the store that a daemon is waiting for. They
/// share its link, so one arrives at a time; another one is started only beside
/// a slow one, and the first to be complete ends the others.
class transfers {
public:
    explicit transfers(http1::client& client, transfer_pace_options pace = {})
        : client_(client), pace_(pace) {}
    ~transfers();
    transfers(transfers const&) = delete;
    transfers& operator=(transfers const&) = delete;

    void start(transfer_source source, http1::client_request request,
               http1::client::handler handler);

    /// Measures all transfers and returns those that have become slow.
    std::vector<slow_transfer> measure(time_point now);

    /// A response is arriving that isn't slow.
    bool arriving() const;
    /// A response of the store is slow.
    bool store_slow() const;
    /// Responses awaited from peers, and how many of these are slow.
    std::size_t pulls() const;
    std::size_t slow_pulls() const;

    /// Ends slow transfers from peers without a call of their handlers.
    void end_slow_pulls();
    /// The same for calls to the store; returns the calls that it ended.
    std::vector<store_call> end_slow_calls();

private:
    struct transfer {
        transfer_source source;
        transfer_pace pace;
        std::weak_ptr<http1::client_call> call{}; ///< owned by the client
    };
    using transfer_ptr = std::shared_ptr<transfer>;

    template <class Selected>
    std::vector<transfer_source> end(Selected selected);

    http1::client& client_;
    transfer_pace_options pace_;
    std::vector<transfer_ptr> running_;
};

} // namespace yuccabeam::gateway
