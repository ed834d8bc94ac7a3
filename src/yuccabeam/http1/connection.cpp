#include "connection.hpp"

#include "yuccabeam/adapters/clock.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::http1 {

namespace {

using adapters::boot_now;

// Limit of buffered input that a caller sends before the response to its
// previous request.
constexpr std::size_t max_pipelined_bytes = 64 << 10;
// Time for the caller to read the last response. Closing a socket with unread
// input resets the connection, which may discard a response in transit.
constexpr std::chrono::milliseconds linger{1'000};

// For a request whose body has no room now.
http_field const retry_soon{"Retry-After", "1"};

class connection_responder : public responder {
public:
    connection_responder(connection_ptr connection, std::uint64_t serial)
        : connection_(std::move(connection)), serial_(serial) {}

    void send(outgoing_response response) override {
        connection_->respond(serial_, std::move(response));
    }

    void on_disconnect(std::function<void()> callback) override {
        connection_->set_disconnect_callback(serial_, std::move(callback));
    }

private:
    connection_ptr connection_;
    std::uint64_t serial_;
};

} // namespace

connection::connection(std::shared_ptr<server::implementation> server,
                       tcp::socket socket)
    : server_(std::move(server)), socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      parser_(message_kind::request,
              {[this](message_head& head) { return on_head(head); },
               [this](std::string_view part) { on_body(part); }}) {}

void connection::start(bool refused) {
    std::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    if (tracked()) {
        size_buffers();
        hold_ = memory_hold(server_->memory);
        allow_eviction(eviction_rank::idle);
        if (refused || !hold_memory()) {
            server_->counters.connections_refused += refused ? 0 : 1;
            hold_ = {};
            reject(503);
            read();
            return;
        }
    }
    arm(server_->limits().idle_timeout);
    read();
}

void connection::close_if_idle() {
    std::error_code ignored;
    if (state_ == state::reading && !parser_.started() && input_.empty() &&
        socket_.available(ignored) == 0)
        close();
}

void connection::respond(std::uint64_t serial, outgoing_response response) {
    if (state_ != state::responding || serial != serial_ || sending_)
        return;
    if (response.abort) {
        end_request();
        close();
        return;
    }
    send(std::move(response), request_keep_alive_ && !server_->closing);
}

void connection::set_disconnect_callback(std::uint64_t serial,
                                         std::function<void()> callback) {
    if (state_ == state::responding && serial == serial_)
        on_disconnect_ = std::move(callback);
    else if (state_ == state::closed && serial == serial_)
        callback();
}

void connection::arm(std::chrono::milliseconds after) {
    timer_.start(after, [self = shared_from_this()] { self->on_timeout(); });
}

void connection::on_timeout() {
    if (state_ == state::lingering ||
        (state_ == state::reading && !parser_.started())) {
        close();
    } else if (state_ == state::reading) {
        ++server_->counters.head_timeouts;
        reject(408);
    } else if (state_ == state::responding && sending_) {
        ++server_->counters.stalled_responses;
        end_request();
        close();
    }
}

void connection::read() {
    if (reading_ || state_ == state::closed)
        return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](std::error_code error, std::size_t size) {
            self->reading_ = false;
            self->on_read(error, size);
        });
}

void connection::on_read(std::error_code error, std::size_t size) {
    if (state_ == state::closed)
        return;
    if (error) {
        on_caller_disconnected();
        return;
    }
    if (state_ == state::lingering) {
        read();
        return;
    }
    // No request of this connection follows.
    if (state_ == state::responding && sending_ && !keep_) {
        read();
        return;
    }
    input_.append(buffer_.data(), size);
    if (state_ == state::reading)
        process();
    // Without room, pipelined input stays in the kernel's bounded buffer.
    if (state_ == state::responding &&
        !hold_.resize_without_eviction(held_bytes()))
        return;
    if (state_ != state::closed && input_.size() < max_pipelined_bytes)
        read();
}

void connection::on_caller_disconnected() {
    if (state_ == state::responding && !sending_) {
        ++server_->counters.callers_gone;
        auto callback = std::exchange(on_disconnect_, nullptr);
        end_request();
        close();
        if (callback)
            callback();
        return;
    }
    if (state_ == state::responding)
        end_request();
    close();
}

void connection::process() {
    if (input_.empty())
        return;
    if (!parser_.started()) {
        first_byte_ = boot_now();
        progress_at_ = first_byte_;
        progress_bytes_ = 0;
        hold_.rank(eviction_rank::in_request, first_byte_);
        arm(server_->limits().head_timeout);
    }
    auto const body_before = request_.body.size();
    auto const used = parser_.feed(input_);
    input_.erase(0, used);
    if (input_.empty() && input_.capacity() > read_size)
        release(input_);
    if (state_ != state::reading)
        return;
    mark_progress(used);
    if (!hold_memory() && rejection_status_ == 0) {
        ++server_->counters.requests_refused;
        rejection_status_ = 503;
    }
    auto const limits = server_->limits();
    if (rejection_status_ != 0)
        reject(rejection_status_);
    else if (parser_.failed()) {
        ++server_->counters.rejected_by_parser;
        reject(400);
    } else if (parser_.head_bytes() > limits.max_head_bytes)
        reject(431);
    else if (parser_.complete())
        dispatch();
    else if (parser_.head_complete())
        on_body_read(body_before);
}

// A body has to grow within each head timeout, and by a whole part within the
// time for slow bodies. Without the second limit single bytes would keep a
// connection for ever.
void connection::on_body_read(std::size_t size_before) {
    if (std::exchange(body_begun_, true) && request_.body.size() == size_before)
        return;
    auto const limit = server_->limits().head_timeout;
    auto const whole = std::max(limit, server_->options.slow_body);
    auto const left = whole - (boot_now() - progress_at_);
    arm(std::clamp(std::chrono::ceil<std::chrono::milliseconds>(left),
                   std::chrono::milliseconds(0), limit));
}

bool connection::on_head(message_head& head) {
    auto const limits = server_->limits();
    request_.head = std::move(head);
    auto const& received = request_.head;
    head_bytes_held_ = memory_of(request_.head);
    head_only_ = request_.head.method == "HEAD";
    if (received.framing == body_framing::length &&
        received.content_length > limits.max_body_bytes)
        rejection_status_ = 413;
    if (std::ranges::count_if(received.fields,
                              [](http_field const& field) {
                                  return same_field_name(field.name, "Host");
                              }) > 1 ||
        received.method == "CONNECT" || received.target.empty() ||
        received.target.front() != '/')
        rejection_status_ = 400;
    if (rejection_status_ == 0 && received.framing != body_framing::none &&
        same_field_name(field_value(received.fields, "Expect"), "100-continue"))
        send_continue();
    hold_request_body();
    return false;
}

void connection::hold_request_body() {
    request_.hold = memory_hold(server_->memory);
    request_.hold.on_evict([weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->drop_request_body();
    });
}

// The response is sent later, as another body is growing meanwhile.
void connection::drop_request_body() {
    rejection_status_ = 503;
    ++server_->counters.rejected_without_memory;
    release(request_.body);
    request_.hold.resize(0);
    asio::post(server_->executor, [self = shared_from_this()] {
        if (self->state_ == state::reading)
            self->reject(self->rejection_status_);
    });
}

void connection::on_body(std::string_view part) {
    if (rejection_status_ != 0)
        return;
    if (request_.body.size() + part.size() > server_->limits().max_body_bytes) {
        rejection_status_ = 413;
        return;
    }
    auto const& head = request_.head;
    auto const expected = head.framing == body_framing::length
                              ? static_cast<std::size_t>(head.content_length)
                              : 0;
    if (!append_held(request_.body, part, expected, request_.hold)) {
        ++server_->counters.rejected_without_memory;
        rejection_status_ = 503;
    }
}

void connection::send_continue() {
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(text),
                      [self = shared_from_this()](auto...) {});
}

void connection::reject(int status) {
    begin_response();
    send_rejection(status);
}

void connection::send_rejection(int status) {
    release(request_.body);
    request_ = {};
    head_bytes_held_ = 0;
    release(input_);
    outgoing_response response;
    response.status = status;
    if (status == 503)
        response.fields.push_back(retry_soon);
    send(std::move(response), false);
}

void connection::begin_response() {
    timer_.cancel();
    state_ = state::responding;
    ++serial_;
    ++server_->active;
}

void connection::end_request() {
    --server_->active;
    on_disconnect_ = nullptr;
}

void connection::send(outgoing_response response, bool keep) {
    sending_ = true;
    keep_ = keep;
    sent_ = 0;
    on_disconnect_ = nullptr;
    out_ = "HTTP/1.1 " + std::to_string(response.status) + " ";
    out_.append(reason_phrase(response.status)).append("\r\n");
    if (!head_only_ && response.status != 204 && response.status != 304)
        out_.append("Content-Length: ")
            .append(std::to_string(response.body.size()))
            .append("\r\n");
    out_.append(keep ? "" : "Connection: close\r\n");
    append_fields(out_, response.fields);
    body_ = head_only_ ? std::string() : std::move(response.body);
    body_hold_ = std::move(response.hold);
    body_hold_.on_evict([weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->drop_response();
    });
    progress_bytes_ = 0;
    progress_at_ = boot_now();
    allow_eviction(eviction_rank::in_request);
    hold_.resize_without_eviction(held_bytes());
    write();
}

void connection::write() {
    auto const of_head = std::min(sent_, out_.size());
    std::array<asio::const_buffer, 2> const parts = {
        asio::buffer(out_) + of_head, asio::buffer(body_) + (sent_ - of_head)};
    socket_.async_write_some(
        parts,
        [self = shared_from_this()](std::error_code error, std::size_t size) {
            self->on_written(error, size);
        });
}

void connection::on_written(std::error_code error, std::size_t size) {
    if (state_ != state::responding)
        return;
    sent_ += size;
    if (error || sent_ == out_.size() + body_.size()) {
        on_sent(error);
        return;
    }
    mark_progress(size);
    arm(server_->options.stalled_response);
    write();
}

// Ends a response that its caller reads too slowly.
void connection::drop_response() {
    ++server_->counters.responses_evicted;
    body_hold_.resize(0);
    asio::post(server_->executor, [self = shared_from_this()] {
        if (self->state_ == state::responding)
            self->end_request();
        self->close();
    });
}

void connection::on_sent(std::error_code error) {
    if (state_ != state::responding)
        return;
    sending_ = false;
    end_request();
    body_hold_ = {};
    if (error) {
        close();
        return;
    }
    if (keep_)
        next_request();
    else
        linger_close();
}

void connection::next_request() {
    state_ = state::reading;
    parser_.restart();
    release(request_.body);
    request_ = {};
    rejection_status_ = 0;
    body_begun_ = false;
    head_bytes_held_ = 0;
    release(body_);
    allow_eviction(eviction_rank::idle);
    hold_memory();
    arm(server_->limits().idle_timeout);
    process();
    if (input_.size() < max_pipelined_bytes)
        read();
}

void connection::linger_close() {
    state_ = state::lingering;
    std::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    arm(linger);
    read();
}

void connection::close() {
    if (state_ == state::closed)
        return;
    state_ = state::closed;
    timer_.cancel();
    std::error_code ignored;
    socket_.close(ignored);
    server_->socket_bytes -= socket_bytes_;
    server_->open.erase(shared_from_this());
}

void connection::dispatch() {
    begin_response();
    hold_.on_evict(nullptr);
    // Its own body must not be what makes room for it.
    request_.hold.on_evict(nullptr);
    if (!hold_memory()) {
        ++server_->counters.requests_refused;
        send_rejection(503);
        return;
    }
    ++server_->counters.requests;
    request_keep_alive_ = request_.head.keep_alive;
    incoming_request request;
    request.head = std::move(request_.head);
    request.body = std::move(request_.body);
    request.hold = std::move(request_.hold);
    request.first_byte = first_byte_;
    server_->handler(std::move(request), std::make_shared<connection_responder>(
                                             shared_from_this(), serial_));
}

} // namespace yuccabeam::http1
