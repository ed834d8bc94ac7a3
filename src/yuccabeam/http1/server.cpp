#include "yuccabeam/http1/server.hpp"

#include "connection.hpp"
#include "server_implementation.hpp"
#include "yuccabeam/adapters/address.hpp"

#include <utility>

namespace yuccabeam::http1 {

namespace {

// Delay after a failed accept, for example without a free file descriptor.
constexpr std::chrono::milliseconds accept_retry_delay{50};
// Connections beyond the limit that are open to send 503. Further ones are
// closed at once.
constexpr std::size_t most_refusals_at_once = 64;

} // namespace

void server::implementation::accept() {
    acceptor.async_accept(
        [self = shared_from_this()](std::error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted ||
                !self->acceptor.is_open())
                return;
            if (error) {
                self->retry_accept();
                return;
            }
            self->accept();
            self->add(std::move(socket));
        });
}

void server::implementation::add(tcp::socket socket) {
    ++counters.accepted;
    auto const limit = options.max_connections;
    if (limit != 0 && open.size() >= limit && memory)
        memory->evict_connection();
    bool const full = limit != 0 && open.size() >= limit;
    counters.connections_refused += full ? 1 : 0;
    if (full && open.size() >= limit + most_refusals_at_once)
        return;
    auto connection = std::make_shared<http1::connection>(shared_from_this(),
                                                          std::move(socket));
    open.insert(connection);
    connection->start(full);
}

// Closing the acceptor would reset the connections in its queue, on which a
// caller may have sent a request already.
void server::implementation::accept_waiting() {
    std::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(executor);
        acceptor.accept(socket, error);
        if (!error)
            add(std::move(socket));
    }
}

void server::implementation::retry_accept() {
    accept_timer.start(accept_retry_delay, [self = shared_from_this()] {
        if (self->acceptor.is_open())
            self->accept();
    });
}

server::server(asio::any_io_executor executor, limits_source limits,
               handler handler, std::shared_ptr<memory_budget> memory,
               server_options options)
    : self_(std::make_shared<implementation>(
          std::move(executor), std::move(limits), std::move(handler),
          std::move(memory), options)) {}

server::~server() {
    stop_accepting();
    self_->handler = [](incoming_request const&, responder_ptr const&) {};
}

result<void> server::listen(std::string const& address) {
    auto const parts = adapters::split_address(address);
    std::error_code error;
    auto const ip = asio::ip::make_address(parts.host, error);
    if (error)
        return make_fault(fault_code::invalid_input,
                          "bad address " + address + ": " + error.message());
    tcp::endpoint const endpoint(ip, parts.port);
    auto& acceptor = self_->acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(most_socket_bytes), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(self_->options.max_waiting, error);
    if (error)
        return make_fault(fault_code::unreachable, "cannot listen on " +
                                                       address + ": " +
                                                       error.message());
    self_->accept();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::uint16_t server::port() const {
    std::error_code ignored;
    return self_->acceptor.local_endpoint(ignored).port();
}

void server::announce_close() {
    self_->closing = true;
}

void server::stop_accepting() {
    if (self_->acceptor.is_open())
        self_->accept_waiting();
    std::error_code ignored;
    self_->acceptor.close(ignored);
    self_->accept_timer.cancel();
}

void server::close_idle() {
    // Posted after the completion handlers that are already queued, because a
    // connection whose request was read in this turn of the loop isn't idle.
    for (auto const& connection : self_->open)
        asio::post(self_->executor,
                   [connection] { connection->close_if_idle(); });
}

std::size_t server::active() const {
    return self_->active;
}

std::size_t server::connections() const {
    return self_->open.size();
}

server_options const& server::options() const {
    return self_->options;
}

server_counters const& server::counters() const {
    return self_->counters;
}

} // namespace yuccabeam::http1
