#include "yuccabeam/adapters/http_server.hpp"

#include "yuccabeam/adapters/address.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <restinio/all.hpp>
#include <stdexcept>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace yuccabeam::adapters {

namespace {

// Bodies between the limit and this multiple of it are read and answered
// with 413; RESTinio closes the connection of larger ones.
constexpr std::uint64_t hard_limit_factor = 4;
constexpr std::size_t max_target_bytes = 16 * 1024;
constexpr std::size_t max_field_value_bytes = 16 * 1024;
constexpr std::size_t max_field_count = 128;
// A second read is pending while a request runs, so that the end of the
// caller's connection is noticed at once.
constexpr std::size_t pipelined_requests = 2;
// The proxy enforces deadlines itself; RESTinio's limit only has to be
// longer than any of them.
constexpr std::chrono::hours handle_request_limit{25};

using close_callback = std::function<void()>;

// Callbacks of requests whose connection is open, by connection.
class open_requests {
public:
    void add(std::uint64_t connection, std::uint64_t request,
             close_callback closed) {
        std::lock_guard lock(mutex_);
        callbacks_[{connection, request}] = std::move(closed);
    }

    void remove(std::uint64_t connection, std::uint64_t request) {
        std::lock_guard lock(mutex_);
        callbacks_.erase({connection, request});
    }

    void connection_closed(std::uint64_t connection) {
        std::vector<close_callback> closed;
        {
            std::lock_guard lock(mutex_);
            auto first = callbacks_.lower_bound({connection, 0});
            auto last = callbacks_.lower_bound({connection + 1, 0});
            for (auto it = first; it != last; ++it)
                closed.push_back(std::move(it->second));
            callbacks_.erase(first, last);
        }
        for (auto const& callback : closed)
            callback();
    }

private:
    std::mutex mutex_;
    std::map<std::pair<std::uint64_t, std::uint64_t>, close_callback>
        callbacks_;
};

class state_listener {
public:
    explicit state_listener(std::shared_ptr<open_requests> requests)
        : requests_(std::move(requests)) {}

    void
    state_changed(restinio::connection_state::notice_t const& notice) noexcept {
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(
                notice.cause()))
            requests_->connection_closed(notice.connection_id());
    }

private:
    std::shared_ptr<open_requests> requests_;
};

struct server_traits : restinio::traits_t<restinio::asio_timer_manager_t,
                                          restinio::null_logger_t> {
    using connection_state_listener_t = state_listener;
    static constexpr bool use_connection_count_limiter = true;
};

using restinio_server = restinio::http_server_t<server_traits>;
using sized_builder =
    restinio::response_builder_t<restinio::user_controlled_output_t>;
using chunked_builder =
    restinio::response_builder_t<restinio::chunked_output_t>;

// Ends the connection from a write notification: RESTinio closes a
// connection whose notification throws, and has no other way to close one in
// the middle of an answer.
struct abort_connection : std::runtime_error {
    abort_connection() : std::runtime_error("answer aborted") {}
};

class responder final : public http_responder {
public:
    responder(restinio::request_handle_t request, std::uint64_t number,
              std::shared_ptr<open_requests> requests, bool close_after)
        : request_(std::move(request)), number_(number),
          requests_(std::move(requests)), close_after_(close_after) {}

    ~responder() override {
        if (!ended_)
            abort();
    }

    void send(http_reply reply) override {
        start(reply.status, reply.fields, reply.body.size());
        auto& builder = std::get<sized_builder>(body_);
        if (!reply.body.empty() &&
            request_->header().method() != restinio::http_method_head())
            builder.append_body(std::move(reply.body));
        finish();
    }

    void start(int status, http_fields const& fields,
               std::optional<std::uint64_t> content_length) override {
        auto const line = restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            reason_phrase(status));
        if (content_length) {
            body_.emplace<sized_builder>(
                request_->create_response<restinio::user_controlled_output_t>(
                    line));
            std::get<sized_builder>(body_).set_content_length(*content_length);
        } else {
            body_.emplace<chunked_builder>(
                request_->create_response<restinio::chunked_output_t>(line));
        }
        visit_builder([&](auto& builder) {
            for (auto const& field : fields)
                builder.header().add_field(field.name, field.value);
            if (close_after_)
                builder.connection_close();
        });
    }

    void write(std::string part, written_callback written) override {
        auto notify = [written = std::move(written)](auto const& error) {
            written(!error);
        };
        if (auto* sized = std::get_if<sized_builder>(&body_)) {
            sized->append_body(std::move(part));
            sized->flush(std::move(notify));
        } else if (auto* chunked = std::get_if<chunked_builder>(&body_)) {
            chunked->append_chunk(std::move(part));
            chunked->flush(std::move(notify));
        }
    }

    void finish() override {
        end();
        visit_builder([](auto& builder) { builder.done(); });
    }

    void abort() override {
        end();
        // Without a head there is nothing to flush: an empty answer with an
        // impossible length makes the caller see a broken one.
        if (std::holds_alternative<std::monostate>(body_))
            start(502, {}, 1);
        visit_builder([](auto& builder) {
            builder.flush([](auto const&) { throw abort_connection(); });
        });
    }

    void on_closed(std::function<void()> closed) override {
        requests_->add(request_->connection_id(), number_, std::move(closed));
    }

private:
    template <class Visitor>
    void visit_builder(Visitor visitor) {
        if (auto* sized = std::get_if<sized_builder>(&body_))
            visitor(*sized);
        else if (auto* chunked = std::get_if<chunked_builder>(&body_))
            visitor(*chunked);
    }

    void end() {
        ended_ = true;
        requests_->remove(request_->connection_id(), number_);
    }

    static std::string reason_phrase(int status) {
        switch (status) {
        case 200:
            return "OK";
        case 206:
            return "Partial Content";
        case 404:
            return "Not Found";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
        }
    }

    restinio::request_handle_t request_;
    std::uint64_t number_;
    std::shared_ptr<open_requests> requests_;
    bool close_after_;
    bool ended_ = false;
    std::variant<std::monostate, sized_builder, chunked_builder> body_;
};

http_request to_request(restinio::request_t const& request) {
    http_request out;
    out.method = request.header().method().c_str();
    out.target = request.header().request_target();
    request.header().for_each_field([&](auto const& field) {
        out.fields.push_back({field.name(), field.value()});
    });
    out.body = request.body();
    return out;
}

} // namespace

struct http_server::implementation {
    http_server_options options;
    http_handler handler;
    std::shared_ptr<open_requests> requests = std::make_shared<open_requests>();
    std::atomic<std::uint64_t> next_request{1};
    std::atomic<bool> accepting{true};
    std::uint16_t port = 0;
    asio::io_context context;
    std::unique_ptr<restinio_server> server;
    std::vector<std::thread> threads;

    restinio::request_handling_status_t
    handle(restinio::request_handle_t request) {
        auto answer = std::make_shared<responder>(request, next_request++,
                                                  requests, !accepting);
        if (request->body().size() > options.max_body_bytes) {
            answer->send(json_reply(
                413, R"({"reason":"the request body is too large"})"));
            return restinio::request_accepted();
        }
        handler(to_request(*request), answer);
        return restinio::request_accepted();
    }
};

http_server::http_server(http_server_options options, http_handler handler)
    : self_(std::make_unique<implementation>()) {
    self_->options = std::move(options);
    self_->handler = std::move(handler);
}

http_server::~http_server() {
    stop();
}

result<void> http_server::start() {
    auto const& options = self_->options;
    auto const address = split_address(options.address);
    try {
        self_->server = std::make_unique<restinio_server>(
            restinio::external_io_context(self_->context), [&](auto& settings) {
                settings.address(address.host)
                    .port(address.port)
                    .buffer_size(16 * 1024)
                    .max_pipelined_requests(pipelined_requests)
                    .max_parallel_connections(options.max_connections)
                    .concurrent_accepts_count(2)
                    .read_next_http_message_timelimit(options.idle_timeout)
                    .write_http_response_timelimit(options.write_timeout)
                    .handle_request_timeout(handle_request_limit)
                    .connection_state_listener(
                        std::make_shared<state_listener>(self_->requests))
                    .acceptor_post_bind_hook(
                        [self = self_.get()](auto& acceptor) {
                            self->port = acceptor.local_endpoint().port();
                        })
                    .socket_options_setter([](auto& socket) {
                        socket.set_option(asio::ip::tcp::no_delay(true));
                    })
                    .incoming_http_msg_limits(
                        restinio::incoming_http_msg_limits_t{}
                            .max_body_size(hard_limit_factor *
                                           options.max_body_bytes)
                            .max_url_size(max_target_bytes)
                            .max_field_value_size(max_field_value_bytes)
                            .max_field_count(max_field_count))
                    .request_handler([self = self_.get()](auto request) {
                        return self->handle(std::move(request));
                    });
            });
        self_->server->open_sync();
    } catch (std::exception const& error) {
        return make_fault(fault_code::unreachable, "cannot listen on " +
                                                       options.address + ": " +
                                                       error.what());
    }
    for (unsigned i = 0; i < options.threads; ++i)
        self_->threads.emplace_back(
            [self = self_.get()] { self->context.run(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::uint16_t http_server::port() const {
    return self_->port;
}

void http_server::stop_accepting() {
    if (self_->server && self_->accepting.exchange(false))
        self_->server->close_async([]() noexcept {},
                                   [](std::exception_ptr) noexcept {});
}

void http_server::stop() {
    self_->context.stop();
    for (auto& thread : self_->threads)
        thread.join();
    self_->threads.clear();
}

http_handler whole_replies(simple_handler handler) {
    return [handler = std::move(handler)](http_request request,
                                          http_responder_ptr responder) {
        handler(std::move(request), [responder](http_reply reply) {
            responder->send(std::move(reply));
        });
    };
}

} // namespace yuccabeam::adapters
