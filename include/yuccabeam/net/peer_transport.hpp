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
    /// `IP:port`; port 0 lets the system choose.
    std::string bind_address = "127.0.0.1:0";
    std::size_t max_datagram_bytes = 1200;
    /// Datagrams that wait while the socket is not writable.
    std::size_t max_queued_datagrams = 1024;

    bool operator==(peer_transport_options const&) const = default;
};

/// Faults put on the link to one peer, for tests and benchmarks.
struct link_fault {
    double drop_sent = 0;     ///< share of sent datagrams, 0 to 1
    double drop_received = 0; ///< share of received datagrams, 0 to 1
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

/// UDP socket for peer messages. All members may be called from any thread;
/// the callback runs on the threads of the io_context, one call at a time.
class peer_transport {
public:
    using bytes_view = std::span<std::uint8_t const>;
    /// The bytes are valid during the call; the address is `IP:port`.
    using receive_callback =
        std::function<void(bytes_view data, std::string const& from)>;

    /// Binds the socket and starts receiving. Fails with `invalid_input`
    /// for a bad address and `rejected` when the system refuses it.
    static result<std::unique_ptr<peer_transport>>
    open(asio::io_context& context, peer_transport_options const& settings,
         receive_callback on_receive);

    ~peer_transport();
    peer_transport(peer_transport const&) = delete;
    peer_transport& operator=(peer_transport const&) = delete;

    /// Sends one datagram; what can't be sent is counted and dropped.
    void send(std::vector<std::uint8_t> data, std::string const& to);

    /// Address in use, with the port that the system chose.
    std::string const& local_address() const;

    /// Replaces all link faults; an empty map turns them off.
    void set_faults(std::map<std::string, link_fault> by_address);

    transport_counters counters() const;

    /// Stops receiving; later `send` calls do nothing.
    void close();

private:
    class implementation;
    explicit peer_transport(std::shared_ptr<implementation> impl);
    std::shared_ptr<implementation> impl_;
};

} // namespace yuccabeam::net
