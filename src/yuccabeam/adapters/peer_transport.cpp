#include "yuccabeam/adapters/peer_transport.hpp"

#include "yuccabeam/adapters/address.hpp"

#include <asio.hpp>
#include <array>
#include <mutex>

namespace yuccabeam::adapters {

class peer_transport::implementation
    : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, receive_callback on_receive)
        : socket_(context), on_receive_(std::move(on_receive)) {}
    void open(std::string const& address) {
        auto const parts = split_address(address);
        asio::ip::udp::endpoint endpoint(asio::ip::make_address(parts.host),
                                         parts.port);
        socket_.open(endpoint.protocol());
        socket_.bind(endpoint);
        socket_.non_blocking(true);
        local_ = parts.host + ":" +
                 std::to_string(socket_.local_endpoint().port());
    }
    void receive() {
        socket_.async_receive_from(
            asio::buffer(buffer_), from_,
            [self = shared_from_this()](auto error, std::size_t bytes) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    {
                        std::lock_guard lock(self->mutex_);
                        ++self->counters_.received;
                        self->counters_.received_bytes += bytes;
                    }
                    self->on_receive_(
                        {self->buffer_.data(), bytes},
                        self->from_.address().to_string() + ":" +
                            std::to_string(self->from_.port()));
                }
                self->receive();
            });
    }
    void send(std::vector<std::uint8_t> const& data, std::string const& to) {
        auto const parts = split_address(to);
        asio::error_code error;
        auto const address = asio::ip::make_address(parts.host, error);
        if (error)
            return;
        std::lock_guard lock(mutex_);
        socket_.send_to(asio::buffer(data),
                        asio::ip::udp::endpoint(address, parts.port), 0, error);
        if (!error) {
            ++counters_.sent;
            counters_.sent_bytes += data.size();
        }
    }
    asio::ip::udp::socket socket_;
    receive_callback on_receive_;
    std::array<std::uint8_t, 2048> buffer_{};
    asio::ip::udp::endpoint from_;
    std::string local_;
    std::mutex mutex_;
    transport_counters counters_;
};
peer_transport::peer_transport(std::shared_ptr<implementation> impl)
    : impl_(std::move(impl)) {}
peer_transport::~peer_transport() = default;
result<std::unique_ptr<peer_transport>>
peer_transport::open(asio::io_context& context,
                     peer_transport_options const& settings,
                     receive_callback on_receive) {
    auto impl =
        std::make_shared<implementation>(context, std::move(on_receive));
    try {
        impl->open(settings.bind_address);
    } catch (std::exception const& error) {
        return make_fault(fault_code::rejected, error.what());
    }
    impl->receive();
    return std::unique_ptr<peer_transport>(new peer_transport(impl));
}
void peer_transport::send(std::vector<std::uint8_t> data,
                          std::string const& to) {
    impl_->send(data, to);
}
std::string const& peer_transport::local_address() const {
    return impl_->local_;
}
void peer_transport::set_faults(std::map<std::string, link_fault>) {}
transport_counters peer_transport::counters() const {
    std::lock_guard lock(impl_->mutex_);
    return impl_->counters_;
}
void peer_transport::close() { impl_->socket_.close(); }
} // namespace yuccabeam::adapters
