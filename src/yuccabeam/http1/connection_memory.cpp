// What a connection holds, and how it gives way.
#include "connection.hpp"
#include "yuccabeam/adapters/clock.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace yuccabeam::http1 {

namespace {

using adapters::boot_now;

// A request or response makes progress in parts of this size, so that single
// bytes don't count.
constexpr std::size_t progress_step_bytes = 1 << 10;
// Memory of a connection without input: its object with the read buffer, the
// parser, timers, and the storage of asynchronous operations.
constexpr std::size_t connection_bytes = sizeof(connection) + (3 << 10);
// Memory that a running request takes besides its head and body: the exchange
// and its call to a target, whose read buffer has 16 KiB.
constexpr std::size_t running_request_bytes = 24 << 10;
// Copies of a head while its request runs: the received one, the fields for
// the target, and their text.
constexpr std::size_t head_copies = 3;
// Shares of the rest of the kernel's buffers that a new connection may take.
constexpr std::size_t socket_shares = 16;

} // namespace

bool connection::tracked() const {
    return server_->memory && server_->options.max_connections != 0;
}

// The first connections get buffers of full size, and later ones a share of
// what is left, down to the least size.
void connection::size_buffers() {
    auto const all = server_->options.socket_bytes;
    if (all == 0)
        return;
    auto const rest = all - std::min(all, server_->socket_bytes);
    auto const size =
        std::clamp(rest / socket_shares, least_socket_bytes, most_socket_bytes);
    socket_bytes_ = size - least_socket_bytes;
    server_->socket_bytes += socket_bytes_;
    std::error_code ignored;
    if (size < most_socket_bytes)
        socket_.set_option(
            asio::socket_base::receive_buffer_size(static_cast<int>(size)),
            ignored);
    // Unsent bytes of a response to a slow caller stay in the budget.
    auto const not_sent = static_cast<int>(size);
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &not_sent, sizeof not_sent);
}

std::size_t connection::held_bytes() const {
    bool const running = state_ == state::responding && !sending_;
    return connection_bytes + input_.capacity() + out_.capacity() +
           parser_.held_bytes() +
           head_bytes_held_ * (running ? head_copies : 1) +
           (running ? running_request_bytes : 0);
}

// Returns false if the budget has no room. While the request runs the
// connection can't be evicted.
bool connection::hold_memory() {
    return hold_.resize(held_bytes());
}

void connection::allow_eviction(eviction_rank rank) {
    hold_.rank(rank, boot_now());
    hold_.on_evict([weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->evict();
    });
}

void connection::mark_progress(std::size_t bytes) {
    progress_bytes_ += bytes;
    if (progress_bytes_ < progress_step_bytes)
        return;
    progress_bytes_ = 0;
    progress_at_ = boot_now();
    hold_.rank(eviction_rank::in_request, progress_at_);
}

// The connection is idle, or its caller neither sends the request nor reads
// the response.
void connection::evict() {
    release(request_.body);
    request_.hold.resize(0);
    body_hold_.resize(0);
    hold_.resize(0);
    if (state_ == state::responding)
        end_request();
    close();
}

} // namespace yuccabeam::http1
