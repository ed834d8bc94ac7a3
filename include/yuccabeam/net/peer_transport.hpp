#pragma once

#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/json_reader.hpp"
#include "yuccabeam/values/time.hpp"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::net {

struct peer_transport_options {
    /// `IP:port`; with port 0 the operating system chooses a free port.
    std::string bind_address = "127.0.0.1:0";
    std::size_t max_datagram_bytes = 1200;
    /// Upper bound of the send queue, which also counts delayed datagrams.
    std::size_t max_queued_datagrams = 1024;

    bool operator==(peer_transport_options const&) const = default;
};

/// Faults injected on the link to one peer, for tests and benchmarks.
struct link_fault {
    double drop_sent = 0;     ///< probability, 0 to 1
    double drop_received = 0; ///< probability, 0 to 1
    duration delay_sent{};

    bool operator==(link_fault const&) const = default;
};

struct transport_counters {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t dropped_oversized = 0;
    std::uint64_t dropped_bad_address = 0;
    std::uint64_t dropped_queue_full = 0;
    std::uint64_t send_errors = 0;
    std::uint64_t receive_errors = 0;
    std::uint64_t dropped_by_fault = 0;

    bool operator==(transport_counters const&) const = default;
};

/// UDP socket for messages between peers. All members are thread-safe. The
/// callback runs on the threads of the io_context, one call at a time.
class peer_transport {
public:
    using bytes_view = std::span<std::uint8_t const>;
    /// `data` is valid only during the call; `from` is `IP:port`.
    using receive_callback =
        std::function<void(bytes_view data, std::string const& from)>;

    /// Binds the socket and starts receiving. Fails with `invalid_input` if
    /// the address can't be parsed and with `rejected` if the operating system
    /// refuses to bind it.
    static result<std::unique_ptr<peer_transport>>
    open(asio::io_context& context, peer_transport_options const& settings,
         receive_callback on_receive);

    ~peer_transport();
    peer_transport(peer_transport const&) = delete;
    peer_transport& operator=(peer_transport const&) = delete;

    /// Sends one datagram. A datagram that can't be sent is dropped and
    /// counted.
    void send(std::vector<std::uint8_t> data, std::string const& to);
    /// Sends the same datagram to each address.
    void send_to_all(std::vector<std::uint8_t> data,
                     std::vector<std::string> const& addresses);

    /// Bound address, with the actual port when port 0 was requested.
    std::string const& local_address() const;

    /// Replaces all injected link faults; an empty map removes them.
    void set_faults(std::map<std::string, link_fault> by_address);

    transport_counters counters() const;

    /// Stops receiving. Later calls of `send` have no effect.
    void close();

private:
    class implementation;
    explicit peer_transport(std::shared_ptr<implementation> impl);
    std::shared_ptr<implementation> impl_;
};

} // namespace yuccabeam::net
