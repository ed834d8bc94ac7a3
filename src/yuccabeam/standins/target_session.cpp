#include "target_answer.hpp"
#include "target_state.hpp"

#include "yuccabeam/standins/http_reader.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace yuccabeam::standins {
namespace {

/// Pipelined bytes that are kept while a request is served.
constexpr std::size_t read_ahead_bytes = std::size_t{64} << 10U;

std::optional<std::uint64_t> number_in(std::string_view text) {
    std::uint64_t value = 0;
    auto const end = text.data() + text.size();
    if (text.empty() || std::from_chars(text.data(), end, value).ptr != end)
        return std::nullopt;
    return value;
}

} // namespace

class target_session : public std::enable_shared_from_this<target_session> {
public:
    target_session(asio::ip::tcp::socket socket,
                   std::shared_ptr<target_server> owner,
                   target_server::state& target)
        : socket_(std::move(socket)), owner_(std::move(owner)), target_(target),
          timer_(target.context),
          reader_(http_kind::request, target.options.request_body_limit) {
        target_.sessions.insert(this);
    }

    ~target_session() { target_.sessions.erase(this); }
    target_session(target_session const&) = delete;
    target_session& operator=(target_session const&) = delete;

    void start() {
        std::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        read();
    }

    void reset() {
        // The connection that asked for the reset still gets its answer.
        if (phase_ == phase::controlling) {
            close_after_answer_ = true;
            return;
        }
        std::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    enum class phase { reading, controlling, waiting, working, writing, mute };

    void read() {
        if (reading_ || pending_.size() >= read_ahead_bytes ||
            !socket_.is_open())
            return;
        reading_ = true;
        socket_.async_read_some(
            asio::buffer(input_),
            [self = shared_from_this()](std::error_code error, std::size_t n) {
                self->reading_ = false;
                if (error) {
                    self->peer_closed();
                    return;
                }
                // A connection without further answers is only watched for
                // its end.
                if (self->phase_ != phase::mute)
                    self->pending_.append(self->input_.data(), n);
                self->advance();
                self->read();
            });
    }

    void advance() {
        if (phase_ != phase::reading || pending_.empty())
            return;
        pending_.erase(0, reader_.feed(pending_));
        auto const& request = reader_.message();
        switch (reader_.progress()) {
        case http_progress::headers:
            return;
        case http_progress::body:
            if (!continued_ && request.header("Expect") == "100-continue")
                send_continue();
            return;
        case http_progress::complete:
            handle();
            return;
        case http_progress::too_large:
            refuse_request(413, "request body above the limit\n");
            return;
        case http_progress::malformed:
            refuse_request(400, "malformed request\n");
            return;
        }
    }

    /// The message is far below a send buffer's size, so the write does not
    /// block the thread.
    void send_continue() {
        static constexpr std::string_view text =
            "HTTP/1.1 100 Continue\r\n\r\n";
        continued_ = true;
        std::error_code ignored;
        asio::write(socket_, asio::buffer(text.data(), text.size()), ignored);
    }

    void refuse_request(int status, std::string text) {
        auto out = text_only(status, std::move(text));
        out.end = ending::close;
        send(std::move(out));
    }

    void handle() {
        auto const& request = reader_.message();
        auto const path = request.path();
        if (path == "/control" && request.method == "POST")
            control();
        else if (path == "/health")
            probe();
        else if (path == "/load")
            send(text_only(200,
                           nlohmann::json{{"busy", target_.shown.busy},
                                          {"waiting", target_.shown.waiting},
                                          {"slots", target_.options.slots}}
                               .dump()));
        else if (path == "/stats")
            send(text_only(200, target_.stats_json()));
        else if (path == "/executions")
            executions();
        else
            admit();
    }

    void control() {
        phase_ = phase::controlling;
        auto document =
            nlohmann::json::parse(reader_.message().body, nullptr, false);
        if (!document.is_object()) {
            send(text_only(400, "the body is not a JSON object\n"));
            return;
        }
        auto port = target_.endpoint.port();
        if (auto const named = document.find("port"); named != document.end()) {
            port = named->is_number_unsigned() ? named->get<std::uint16_t>()
                                               : std::uint16_t{0};
            document.erase(named);
        }
        auto const other = target_.directory.find(port);
        if (!other) {
            send(text_only(404, "no target on that port\n"));
            return;
        }
        asio::post(other->context(), [self = shared_from_this(), other,
                                      document = std::move(document)] {
            auto result = other->apply(document);
            asio::post(self->target_.context, [self, result] {
                self->send(text_only(result.status, result.body));
            });
        });
    }

    void probe() {
        ++target_.stats.probes;
        phase_ = phase::working;
        target_.slots.occupy();
        has_slot_ = true;
        timer_.expires_after(target_.options.probe_cost);
        timer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (error)
                return;
            auto const ok = self->target_.control.healthy;
            self->send(text_only(ok ? 200 : 503, ok ? "ok\n" : "failing\n"));
        });
    }

    void executions() {
        auto const& request = reader_.message();
        std::string const id(request.query("id"));
        std::string const key(request.query("key"));
        if (!id.empty())
            send(text_only(
                200,
                nlohmann::json{{"executions", target_.log.by_id(id)}}.dump()));
        else if (!key.empty())
            send(text_only(
                200, nlohmann::json{{"executions", target_.log.by_key(key)}}
                         .dump()));
        else
            send(text_only(200, target_.log.list().dump()));
    }

    void admit() {
        ++target_.stats.requests;
        auto const& request = reader_.message();
        deadline_.reset();
        if (auto const ms = number_in(request.header("Yuccabeam-Deadline-Ms")))
            deadline_ = monotonic::now() +
                        std::chrono::milliseconds(
                            std::min<std::uint64_t>(*ms, 86'400'000));
        failure_ = failure_for(target_.control,
                               request.header("Yuccabeam-Failure-Domain"),
                               target_.draw());
        if (failure_ != failure::none)
            ++target_.stats.injected;
        if (failure_ == failure::reset_before) {
            reset();
            return;
        }
        if (failure_ == failure::hang) {
            phase_ = phase::mute;
            return;
        }
        phase_ = phase::waiting;
        monotonic::duration wait = target_.options.slot_wait;
        if (deadline_)
            wait = std::min(wait, *deadline_ - monotonic::now());
        waiter_ = target_.slots.acquire(
            wait, [self = shared_from_this()](bool has_slot) {
                self->waiter_ = nullptr;
                if (has_slot)
                    self->work();
                else
                    self->shed();
            });
    }

    void shed() {
        ++target_.stats.shed;
        send(not_run("no free slot\n"));
    }

    void work() {
        has_slot_ = true;
        phase_ = phase::working;
        auto const& request = reader_.message();
        auto const now = monotonic::now();
        if (deadline_ && *deadline_ <= now) {
            ++target_.stats.deadline_exceeded;
            send(not_run("deadline passed before the work began\n"));
            return;
        }
        target_.log.start(std::string(request.header("Yuccabeam-Request-Id")),
                          std::string(request.header("Idempotency-Key")));
        auto const time = target_.service_time(failure_, served_ == 0,
                                               request.query("service_ms"));
        auto const late = deadline_ && now + time > *deadline_;
        timer_.expires_at(late ? *deadline_ : now + time);
        timer_.async_wait(
            [self = shared_from_this(), late](std::error_code error) {
                if (error)
                    return;
                if (late)
                    self->give_up();
                else
                    self->finish();
            });
    }

    void give_up() {
        ++target_.stats.deadline_exceeded;
        send(text_only(504, "deadline passed during the work\n"));
    }

    void finish() {
        ++target_.stats.finished;
        if (failure_ == failure::reset_after) {
            close();
            return;
        }
        if (failure_ == failure::one_way) {
            free_slot();
            phase_ = phase::mute;
            return;
        }
        if (failure_ == failure::endless) {
            send_without_end();
            return;
        }
        auto out = failure_ == failure::errors
                       ? text_only(500, "injected error\n")
                       : regular_answer();
        if (failure_ == failure::close_midway) {
            out.end = ending::reset;
            out.cut_after = out.size() / 2;
        } else if (failure_ == failure::short_answer) {
            out.end = ending::close;
            out.cut_after = out.size() - std::min<std::uint64_t>(
                                             out.size(), out.size() / 10 + 1);
        }
        send(std::move(out));
    }

    void send_without_end() {
        phase_ = phase::writing;
        std::string const echo(reader_.message().header("Yuccabeam-Echo"));
        auto bytes = make_endless_answer(target_.control.endless,
                                         "Yuccabeam-Echo: " + echo + "\r\n",
                                         "Yuccabeam-Echo: other\r\n");
        output_ = std::move(bytes.start);
        endless_block_ = std::move(bytes.repeated);
        write_endless_block();
    }

    void write_endless_block() {
        output_ += endless_block_;
        asio::async_write(
            socket_, asio::buffer(output_),
            [self = shared_from_this()](std::error_code error, std::size_t n) {
                self->target_.stats.endless_bytes += n;
                self->output_.clear();
                if (error)
                    self->close();
                else
                    self->write_endless_block();
            });
    }

    answer regular_answer() const {
        auto const& request = reader_.message();
        auto const what = content_of_path(
            request.path(), static_cast<std::uint64_t>(target_.control.seed));
        answer out;
        if (request.method == "POST" && !request.body.empty())
            out.text = request.body;
        else if (what)
            out = generated_answer(*what, request);
        else
            out.text = nlohmann::json{{"port", target_.endpoint.port()},
                                      {"method", request.method},
                                      {"path", request.path()}}
                           .dump();
        out.chunked = request.query("chunked") == "1";
        return out;
    }

    void send(answer out) {
        phase_ = phase::writing;
        auto const& request = reader_.message();
        out.without_body = request.method == "HEAD";
        if (auto const id = request.header("Yuccabeam-Request-Id"); !id.empty())
            out.extra_headers.append("Yuccabeam-Request-Id: ")
                .append(id)
                .append("\r\n");
        if (!request.keep_alive || close_after_answer_)
            if (out.end == ending::keep)
                out.end = ending::close;
        output_ =
            out.head(target_.control.drain, request.header("Yuccabeam-Echo"));
        answer_ = std::move(out);
        append_block();
        write();
    }

    void append_block() {
        target_.stats.body_bytes += answer_.append_block(output_);
    }

    void write() {
        asio::async_write(
            socket_, asio::buffer(output_),
            [self = shared_from_this()](std::error_code error, std::size_t) {
                self->output_.clear();
                if (error)
                    self->close();
                else if (!self->answer_.complete()) {
                    self->append_block();
                    self->write();
                } else
                    self->answered();
            });
    }

    void answered() {
        free_slot();
        ++served_;
        if (answer_.end == ending::reset) {
            phase_ = phase::mute;
            reset();
            return;
        }
        if (answer_.end == ending::close) {
            std::error_code ignored;
            socket_.shutdown(asio::socket_base::shutdown_send, ignored);
            phase_ = phase::mute;
            pending_.clear();
            return;
        }
        answer_ = {};
        continued_ = false;
        reader_.reset();
        phase_ = phase::reading;
        // Posted, since pipelined requests would recurse here.
        asio::post(target_.context, [self = shared_from_this()] {
            self->advance();
            self->read();
        });
    }

    void free_slot() {
        if (!has_slot_)
            return;
        has_slot_ = false;
        target_.slots.release();
    }

    void peer_closed() {
        if (phase_ == phase::waiting || phase_ == phase::working ||
            phase_ == phase::writing)
            ++target_.stats.cancelled;
        close();
    }

    void close() {
        if (waiter_) {
            slot_pool::cancel(*waiter_);
            waiter_ = nullptr;
        }
        timer_.cancel();
        std::error_code ignored;
        socket_.close(ignored);
        phase_ = phase::mute;
        free_slot();
    }

    asio::ip::tcp::socket socket_;
    std::shared_ptr<target_server> owner_;
    target_server::state& target_;
    asio::steady_timer timer_;
    http_reader reader_;
    std::array<char, 16'384> input_{};
    std::string pending_;
    bool reading_ = false;
    bool continued_ = false;
    bool has_slot_ = false;
    bool close_after_answer_ = false;
    phase phase_ = phase::reading;
    failure failure_ = failure::none;
    std::optional<monotonic::time_point> deadline_;
    std::shared_ptr<slot_pool::waiter> waiter_;
    std::uint64_t served_ = 0;
    answer answer_;
    std::string output_;
    std::string endless_block_;
};

void start_session(asio::ip::tcp::socket socket,
                   std::shared_ptr<target_server> owner,
                   target_server::state& target) {
    std::make_shared<target_session>(std::move(socket), std::move(owner),
                                     target)
        ->start();
}

void reset_session(target_session& session) {
    session.reset();
}

} // namespace yuccabeam::standins
