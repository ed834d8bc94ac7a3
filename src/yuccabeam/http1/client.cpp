#include "yuccabeam/http1/client.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/http1/response_reader.hpp"
#include "yuccabeam/net/one_shot_timer.hpp"
#include "yuccabeam/values/ip_address.hpp"

#include <array>
#include <asio.hpp>
#include <cerrno>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yuccabeam::http1 {

namespace {

using adapters::boot_now;
using asio::ip::tcp;

constexpr std::size_t read_size = 16 << 10;
// The kernel closes a connection whose sent data isn't acknowledged within
// this time, so that a broken path is detected on idle connections too.
constexpr int tcp_user_timeout_ms = 10'000;
// Unread bytes count as memory of the process. The kernel's own limit of some
// megabytes for each connection is far above what a region's latency needs.
constexpr int receive_buffer_bytes = 128 << 10;

std::optional<tcp::endpoint> endpoint_of(std::string const& address) {
    auto const read = parse_ip_address(address);
    // The kernel routes a connection to 0.0.0.0 to this VM itself.
    if (!read || read->any_host)
        return std::nullopt;
    std::error_code error;
    auto const ip = asio::ip::make_address(read->host, error);
    if (error)
        return std::nullopt;
    return tcp::endpoint(ip, read->port);
}

// Idle timeout that the peer announces in `Keep-Alive: timeout=N`.
std::optional<std::chrono::seconds>
peer_idle_timeout(http_fields const& fields) {
    auto const value = field_value(fields, "Keep-Alive");
    auto const at = value.find("timeout=");
    if (at == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    auto const* begin = value.data() + at + 8;
    auto const end = value.data() + value.size();
    if (std::from_chars(begin, end, seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

std::string_view to_string(client_status status) {
    switch (status) {
    case client_status::complete:
        return "complete";
    case client_status::connect_failed:
        return "connect_failed";
    case client_status::reset:
        return "reset";
    case client_status::malformed:
        return "malformed";
    case client_status::truncated:
        return "truncated";
    case client_status::timed_out:
        return "timed_out";
    case client_status::too_large:
        return "too_large";
    case client_status::cancelled:
        return "cancelled";
    }
    return "unknown";
}

namespace {

struct idle_connection : std::enable_shared_from_this<idle_connection> {
    tcp::socket socket;
    net::one_shot_timer timer;
    bool taken = false;

    explicit idle_connection(tcp::socket socket)
        : socket(std::move(socket)), timer(this->socket.get_executor()) {}
};

using idle_ptr = std::shared_ptr<idle_connection>;

// Whether the peer has neither closed the connection nor sent bytes that
// belong to no request. The event loop may not have handled either event yet.
bool is_reusable(tcp::socket& socket) {
    char byte = 0;
    auto const size = recv(socket.native_handle(), &byte, sizeof byte,
                           MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct client::pool : std::enable_shared_from_this<client::pool> {
    asio::any_io_executor executor;
    client_options options;
    std::unordered_map<std::string, std::vector<idle_ptr>> idle;
    std::uint64_t opened = 0;

    pool(asio::any_io_executor executor, client_options options)
        : executor(std::move(executor)), options(options) {}

    std::optional<tcp::socket> take(std::string const& address) {
        auto const found = idle.find(address);
        if (found == idle.end())
            return std::nullopt;
        auto& connections = found->second;
        while (!connections.empty()) {
            auto connection = connections.back();
            connections.pop_back();
            if (!is_reusable(connection->socket)) {
                close(connection);
                continue;
            }
            connection->taken = true;
            connection->timer.cancel();
            std::error_code ignored;
            connection->socket.cancel(ignored);
            return std::move(connection->socket);
        }
        return std::nullopt;
    }

    void put(std::string const& address, tcp::socket socket,
             std::chrono::milliseconds limit) {
        auto& connections = idle[address];
        if (limit.count() <= 0 ||
            connections.size() >= options.max_idle_per_address)
            return;
        auto connection = std::make_shared<idle_connection>(std::move(socket));
        connections.push_back(connection);
        auto drop = [self = shared_from_this(), address, connection] {
            if (!connection->taken)
                self->remove(address, connection);
        };
        connection->timer.start(limit, drop);
        // Any input or close on an idle connection makes it unusable:
        // unexpected bytes would be parsed as the next response.
        connection->socket.async_wait(tcp::socket::wait_read,
                                      [drop](std::error_code) { drop(); });
    }

    void remove(std::string const& address, idle_ptr const& connection) {
        connection->taken = true;
        connection->timer.cancel();
        std::error_code ignored;
        connection->socket.close(ignored);
        std::erase(idle[address], connection);
    }

    void close_idle_to(std::string const& address) {
        auto const connections = std::move(idle[address]);
        idle.erase(address);
        for (auto const& connection : connections)
            close(connection);
    }

    static void close(idle_ptr const& connection) {
        connection->taken = true;
        connection->timer.cancel();
        std::error_code ignored;
        connection->socket.close(ignored);
    }
};

class client_call : public std::enable_shared_from_this<client_call> {
public:
    client_call(std::shared_ptr<client::pool> pool, client_request request,
                client::handler handler)
        : pool_(std::move(pool)), request_(std::move(request)),
          handler_(std::move(handler)), socket_(pool_->executor),
          timer_(pool_->executor), reader_(reader_options()) {}

    void start() {
        started_ = last_byte_at_ = boot_now();
        if (request_.reuse)
            if (auto socket = pool_->take(request_.address)) {
                socket_ = std::move(*socket);
                result_.reused = true;
                watch_memory();
                start_timeout(request_.timeout);
                write();
                return;
            }
        watch_memory();
        connect();
    }

    void cancel() {
        ended_ = true;
        handler_ = nullptr;
        close();
    }

private:
    response_reader_options reader_options() const {
        auto const& limits = pool_->options;
        return {request_.method == "HEAD",
                request_.match_field,
                request_.match_value,
                limits.max_response_bytes,
                limits.max_head_bytes,
                limits.max_overhead_bytes,
                limits.memory};
    }

    // The result is reported later, as another body is growing meanwhile.
    void watch_memory() {
        reader_.hold.on_evict([weak = weak_from_this()] {
            auto const self = weak.lock();
            if (!self || self->ended_)
                return;
            self->reader_.discard();
            self->close();
            asio::post(self->pool_->executor,
                       [self] { self->finish(client_status::too_large); });
        });
    }

    void connect() {
        auto const endpoint = endpoint_of(request_.address);
        if (!endpoint) {
            fail_later();
            return;
        }
        std::error_code error;
        socket_.open(endpoint->protocol(), error);
        if (error) {
            fail_later();
            return;
        }
        socket_.set_option(tcp::no_delay(true), error);
        socket_.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes),
            error);
        setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &tcp_user_timeout_ms, sizeof tcp_user_timeout_ms);
        ++pool_->opened;
        start_timeout(std::min(request_.connect_timeout, request_.timeout));
        socket_.async_connect(
            *endpoint, [self = shared_from_this()](std::error_code error) {
                self->on_connected(error);
            });
    }

    void fail_later() {
        asio::post(pool_->executor, [self = shared_from_this()] {
            self->finish(client_status::connect_failed);
        });
    }

    void on_connected(std::error_code error) {
        if (ended_)
            return;
        if (error) {
            finish(client_status::connect_failed);
            return;
        }
        result_.connect_time = boot_now() - started_;
        start_timeout(request_.timeout);
        write();
    }

    void write() {
        result_.request_begun = true;
        head_text_.append(request_.method).append(" ").append(request_.target);
        head_text_.append(" HTTP/1.1\r\n");
        auto const& body =
            request_.shared_body ? *request_.shared_body : request_.body;
        if (!body.empty() || request_.method == "POST" ||
            request_.method == "PUT" || request_.method == "PATCH")
            head_text_.append("Content-Length: ")
                .append(std::to_string(body.size()))
                .append("\r\n");
        append_fields(head_text_, request_.fields);
        std::array<asio::const_buffer, 2> const parts = {
            asio::buffer(head_text_), asio::buffer(body)};
        // A response may arrive before the body is completely sent. A write
        // that fails with a reset takes the socket's error: the next reads then
        // return what has arrived, and an orderly end.
        asio::async_write(
            socket_, parts,
            [self = shared_from_this()](std::error_code error, std::size_t) {
                self->written_ = !error;
            });
        read();
    }

    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](
                                    std::error_code error, std::size_t size) {
                                    self->on_read(error, size);
                                });
    }

    void on_read(std::error_code error, std::size_t size) {
        if (ended_ || reader_.state() != reading_state::incomplete)
            return;
        if (error) {
            on_read_error(error);
            return;
        }
        last_byte_at_ = boot_now();
        if (!result_.response_started)
            result_.first_byte_time = last_byte_at_ - started_;
        result_.response_started = true;
        result_.bytes_read += size;
        if (request_.on_progress)
            request_.on_progress(result_.bytes_read);
        if (reader_.feed({buffer_.data(), size}) == reading_state::incomplete)
            read();
        else
            finish_reading();
    }

    void on_read_error(std::error_code error) {
        // Only after a completely written request does the end of the
        // connection show that a body without a length is whole.
        if (error == asio::error::eof && written_ &&
            reader_.end_of_input() == reading_state::complete)
            finish_reading();
        else
            finish(reader_.head_complete() ? client_status::truncated
                                           : client_status::reset);
    }

    void finish_reading() {
        switch (reader_.state()) {
        case reading_state::complete:
            finish(client_status::complete);
            break;
        case reading_state::too_large:
            finish(client_status::too_large);
            break;
        default:
            finish(client_status::malformed);
        }
    }

    // After an early response the peer still expects the rest of the request's
    // body. Bytes after the response belong to no request, and neither may
    // those after a response to another request.
    bool connection_reusable() const {
        return result_.status == client_status::complete &&
               result_.head.keep_alive &&
               result_.head.framing != body_framing::until_close && written_ &&
               !reader_.has_trailing_bytes() && !reader_.stray_seen();
    }

    // Time for which a response that has begun may still go on.
    duration time_left_by_progress() const {
        if (!request_.progress || !result_.response_started)
            return {};
        auto const now = boot_now();
        auto const& limits = *request_.progress;
        return std::min<duration>(last_byte_at_ + limits.idle - now,
                                  started_ + limits.whole - now);
    }

    void start_timeout(duration after) {
        timer_.start(after,
                     [self = shared_from_this()] { self->on_timeout(); });
    }

    // `connect_failed` guarantees that no byte of the request was sent.
    void on_timeout() {
        if (auto const rest = time_left_by_progress(); rest > duration{}) {
            start_timeout(rest);
            return;
        }
        finish(result_.request_begun ? client_status::timed_out
                                     : client_status::connect_failed);
    }

    void finish(client_status status) {
        if (ended_)
            return;
        ended_ = true;
        result_.status = status;
        auto const now = boot_now();
        result_.total_time = now - started_;
        result_.idle_time = now - last_byte_at_;
        result_.head = std::move(reader_.head);
        result_.body = std::move(reader_.body);
        reader_.hold.on_evict(nullptr);
        result_.hold = std::move(reader_.hold);
        if (connection_reusable())
            return_to_pool();
        close();
        auto handler = std::exchange(handler_, nullptr);
        if (handler)
            handler(std::move(result_));
    }

    void return_to_pool() {
        timer_.cancel();
        auto limit = pool_->options.idle_timeout;
        if (auto const named = peer_idle_timeout(result_.head.fields))
            limit = std::min<std::chrono::milliseconds>(
                limit, *named - pool_->options.idle_margin);
        pool_->put(request_.address, std::move(socket_), limit);
    }

    void close() {
        timer_.cancel();
        std::error_code ignored;
        socket_.close(ignored);
    }

    std::shared_ptr<client::pool> pool_;
    client_request request_;
    client::handler handler_;
    tcp::socket socket_;
    net::one_shot_timer timer_;
    response_reader reader_;
    client_result result_;
    std::string head_text_;
    std::array<char, read_size> buffer_{};
    time_point started_{};
    time_point last_byte_at_{};
    bool written_ = false;
    bool ended_ = false;
};

client::client(asio::any_io_executor executor, client_options options)
    : pool_(std::make_shared<pool>(std::move(executor), options)) {}

client::~client() {
    close_idle();
}

client::call_ptr client::start(client_request request, handler handler) {
    auto call = std::make_shared<client_call>(pool_, std::move(request),
                                              std::move(handler));
    call->start();
    return call;
}

void client::cancel(call_ptr const& call) {
    if (call)
        call->cancel();
}

void client::close_idle_to(std::string const& address) {
    pool_->close_idle_to(address);
}

void client::close_idle() {
    while (!pool_->idle.empty())
        pool_->close_idle_to(std::string(pool_->idle.begin()->first));
}

std::uint64_t client::connections_opened() const {
    return pool_->opened;
}

} // namespace yuccabeam::http1
