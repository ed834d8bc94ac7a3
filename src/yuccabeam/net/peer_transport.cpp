#include "yuccabeam/net/peer_transport.hpp"

#include "yuccabeam/net/one_shot_timer.hpp"

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>
#include <charconv>
#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <random>
#include <utility>

namespace yuccabeam::net {

namespace {

using asio::ip::udp;

// Largest UDP payload over IPv4. The buffer holds any datagram completely, so
// that one above `max_datagram_bytes` is counted as oversized, not truncated.
constexpr std::size_t receive_buffer_bytes = 65'507;

std::optional<udp::endpoint> parse_endpoint(std::string_view text) {
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    auto const* end = text.data() + text.size();
    auto const [rest, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    std::error_code bad_host;
    auto const address = asio::ip::make_address(host, bad_host);
    if (bad_host || error != std::errc() || rest != end)
        return std::nullopt;
    return udp::endpoint(address, port);
}

std::string format_endpoint(udp::endpoint const& endpoint) {
    std::string const host = endpoint.address().to_string();
    std::string const port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port
                                      : host + ":" + port;
}

} // namespace

class peer_transport::implementation
    : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, peer_transport_options settings,
                   receive_callback on_receive)
        : settings_(std::move(settings)), on_receive_(std::move(on_receive)),
          strand_(asio::make_strand(context)), socket_(strand_),
          buffer_(receive_buffer_bytes) {}

    std::error_code bind(udp::endpoint const& endpoint) {
        std::error_code error;
        socket_.open(endpoint.protocol(), error);
        if (!error)
            socket_.bind(endpoint, error);
        if (!error)
            local_address_ = format_endpoint(socket_.local_endpoint(error));
        if (!error)
            socket_.non_blocking(true, error);
        return error;
    }

    void start() {
        asio::post(strand_, [self = shared_from_this()] { self->receive(); });
    }

    void send_to_all(std::vector<std::uint8_t> data,
                     std::vector<std::string> const& addresses) {
        auto const shared =
            std::make_shared<std::vector<std::uint8_t> const>(std::move(data));
        std::vector<outgoing_datagram> immediate;
        immediate.reserve(addresses.size());
        for (auto const& to : addresses) {
            duration delay{};
            auto const endpoint = accept(*shared, to, delay);
            if (endpoint && delay > duration::zero())
                send_after(delay, {shared, *endpoint});
            else if (endpoint)
                immediate.push_back({shared, *endpoint});
        }
        if (immediate.empty())
            return;
        asio::post(strand_, [self = shared_from_this(),
                             immediate = std::move(immediate)]() mutable {
            for (auto& next : immediate)
                self->enqueue(std::move(next));
        });
    }

    void set_faults(std::map<std::string, link_fault> by_address) {
        std::lock_guard const lock(mutex_);
        faults_ = std::move(by_address);
    }

    transport_counters counters() const {
        std::lock_guard const lock(mutex_);
        return counters_;
    }

    void close() {
        {
            std::lock_guard const lock(mutex_);
            if (std::exchange(closed_, true))
                return;
        }
        asio::post(strand_, [self = shared_from_this()] {
            std::error_code ignored;
            self->socket_.close(ignored);
            self->timers_.clear();
        });
    }

    std::string const& local_address() const { return local_address_; }

private:
    struct outgoing_datagram {
        std::shared_ptr<std::vector<std::uint8_t> const> data;
        udp::endpoint to;
    };

    // Returns nothing for a datagram that is dropped.
    std::optional<udp::endpoint> accept(std::vector<std::uint8_t> const& data,
                                        std::string const& to,
                                        duration& delay) {
        auto endpoint = parse_endpoint(to);
        std::lock_guard const lock(mutex_);
        if (closed_)
            return std::nullopt;
        if (data.size() > settings_.max_datagram_bytes) {
            ++counters_.dropped_oversized;
            return std::nullopt;
        }
        if (!endpoint || endpoint->port() == 0) {
            ++counters_.dropped_bad_address;
            return std::nullopt;
        }
        if (is_dropped(to, &link_fault::drop_sent))
            return std::nullopt;
        if (queued_ >= settings_.max_queued_datagrams) {
            ++counters_.dropped_queue_full;
            return std::nullopt;
        }
        ++queued_;
        auto const fault = faults_.find(to);
        if (fault != faults_.end())
            delay = fault->second.delay_sent;
        return endpoint;
    }

    // Requires that the caller holds mutex_.
    bool is_dropped(std::string const& address, double link_fault::*share) {
        auto const fault = faults_.find(address);
        if (fault == faults_.end())
            return false;
        std::uniform_real_distribution<double> draw(0, 1);
        bool const dropped = draw(rng_) < fault->second.*share;
        counters_.dropped_by_fault += dropped;
        return dropped;
    }

    void send_after(duration delay, outgoing_datagram next) {
        asio::post(strand_, [self = shared_from_this(), delay,
                             next = std::move(next)]() mutable {
            auto const timer =
                self->timers_.emplace(self->timers_.end(), self->strand_);
            timer->start(delay,
                         [self, timer, next = std::move(next)]() mutable {
                             self->timers_.erase(timer);
                             self->enqueue(std::move(next));
                         });
        });
    }

    void enqueue(outgoing_datagram next) {
        if (queue_.empty() && send_now(next))
            return;
        queue_.push_back(std::move(next));
        if (queue_.size() == 1)
            send_next();
    }

    // Returns false if the socket's buffer is full.
    bool send_now(outgoing_datagram const& next) {
        std::error_code error;
        auto const bytes =
            socket_.send_to(asio::buffer(*next.data), next.to, 0, error);
        if (error == asio::error::would_block)
            return false;
        on_sent(error, bytes);
        return true;
    }

    void on_sent(std::error_code error, std::size_t bytes) {
        std::lock_guard const lock(mutex_);
        --queued_;
        counters_.send_errors += error ? 1 : 0;
        counters_.sent += error ? 0 : 1;
        counters_.sent_bytes += error ? 0 : bytes;
    }

    void send_next() {
        auto const& first = queue_.front();
        socket_.async_send_to(asio::buffer(*first.data), first.to,
                              [self = shared_from_this()](std::error_code error,
                                                          std::size_t bytes) {
                                  self->on_sent(error, bytes);
                                  self->queue_.pop_front();
                                  if (!self->queue_.empty())
                                      self->send_next();
                              });
    }

    void receive() {
        if (!socket_.is_open())
            return;
        socket_.async_receive_from(
            asio::buffer(buffer_), from_,
            [self = shared_from_this()](std::error_code error,
                                        std::size_t bytes) {
                if (error == asio::error::operation_aborted)
                    return;
                try {
                    self->received(error, bytes);
                } catch (...) {
                    self->receive();
                    throw;
                }
                self->receive();
            });
    }

    void received(std::error_code error, std::size_t bytes) {
        std::string const from = format_endpoint(from_);
        {
            std::lock_guard const lock(mutex_);
            if (closed_)
                return;
            if (error) {
                // After a send to a stopped peer, the ICMP "port unreachable"
                // message is reported as an error of this socket. Receiving
                // continues.
                ++counters_.receive_errors;
                return;
            }
            if (bytes > settings_.max_datagram_bytes) {
                ++counters_.dropped_oversized;
                return;
            }
            if (is_dropped(from, &link_fault::drop_received))
                return;
            ++counters_.received;
            counters_.received_bytes += bytes;
        }
        on_receive_(bytes_view(buffer_.data(), bytes), from);
    }

    peer_transport_options settings_;
    receive_callback on_receive_;
    asio::strand<asio::io_context::executor_type> strand_;
    udp::socket socket_;
    std::vector<std::uint8_t> buffer_;
    udp::endpoint from_;
    std::string local_address_;
    std::deque<outgoing_datagram> queue_; ///< accessed only on the strand
    std::list<one_shot_timer> timers_;    ///< accessed only on the strand

    mutable std::mutex mutex_; ///< guards the members below
    std::map<std::string, link_fault> faults_;
    transport_counters counters_;
    std::size_t queued_ = 0;
    std::mt19937_64 rng_{1};
    bool closed_ = false;
};

result<std::unique_ptr<peer_transport>>
peer_transport::open(asio::io_context& context,
                     peer_transport_options const& settings,
                     receive_callback on_receive) {
    auto const endpoint = parse_endpoint(settings.bind_address);
    if (!endpoint)
        return make_fault(fault_code::invalid_input,
                          "not an IP address and port: " +
                              settings.bind_address);
    auto impl = std::make_shared<implementation>(context, settings,
                                                 std::move(on_receive));
    if (auto const error = impl->bind(*endpoint))
        return make_fault(fault_code::rejected,
                          settings.bind_address + ": " + error.message());
    impl->start();
    return std::unique_ptr<peer_transport>(new peer_transport(std::move(impl)));
}

peer_transport::peer_transport(std::shared_ptr<implementation> impl)
    : impl_(std::move(impl)) {}

peer_transport::~peer_transport() {
    impl_->close();
}

void peer_transport::send(std::vector<std::uint8_t> data,
                          std::string const& to) {
    impl_->send_to_all(std::move(data), {to});
}

void peer_transport::send_to_all(std::vector<std::uint8_t> data,
                                 std::vector<std::string> const& addresses) {
    impl_->send_to_all(std::move(data), addresses);
}

std::string const& peer_transport::local_address() const {
    return impl_->local_address();
}

void peer_transport::set_faults(std::map<std::string, link_fault> by_address) {
    impl_->set_faults(std::move(by_address));
}

transport_counters peer_transport::counters() const {
    return impl_->counters();
}

void peer_transport::close() {
    impl_->close();
}

} // namespace yuccabeam::net
