#include "yuccabeam/bench/load_client.hpp"

#include "yuccabeam/standins/http_reader.hpp"
#include "yuccabeam/standins/target_content.hpp"

#include <array>
#include <asio.hpp>
#include <charconv>
#include <cstring>

namespace yuccabeam::bench {

using standins::http_kind;
using standins::http_progress;
using standins::http_reader;

std::optional<load_url> parse_load_url(std::string_view text) {
    static constexpr std::string_view scheme = "http://";
    if (!text.starts_with(scheme))
        return std::nullopt;
    text.remove_prefix(scheme.size());
    auto const slash = text.find('/');
    auto const authority = text.substr(0, slash);
    auto const colon = authority.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::error_code error;
    auto const address =
        asio::ip::make_address(std::string(authority.substr(0, colon)), error);
    std::uint16_t port = 0;
    auto const end = authority.data() + authority.size();
    auto const parsed =
        std::from_chars(authority.data() + colon + 1, end, port);
    if (error || !address.is_loopback() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return load_url{{address, port},
                    slash == std::string_view::npos
                        ? "/"
                        : std::string(text.substr(slash))};
}

std::string_view to_string(load_end value) {
    switch (value) {
    case load_end::answered:
        return "answered";
    case load_end::connect_failed:
        return "connect_failed";
    case load_end::closed:
        return "closed";
    case load_end::truncated:
        return "truncated";
    case load_end::timeout:
        return "timeout";
    case load_end::malformed:
        return "malformed";
    }
    return "unknown";
}

struct load_connection::state {
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    http_reader reader{http_kind::response, 0};
    load_request request;
    done_handler done;
    std::string output;
    std::array<char, 65'536> input{};
    std::array<char, 65'536> expected{};
    std::optional<standins::content> content;
    std::uint64_t body_bytes = 0;
    std::uint64_t requests = 0;
    bool wrong_body = false;
    bool any_byte = false;
    bool written = false;
    bool reused = false;
    std::uint64_t run = 0; ///< number of the request; fences late handlers

    explicit state(asio::io_context& context)
        : socket(context), timer(context) {}

    void check_body(std::string_view bytes);
};

/// Compares with the stand-in's seeded body, or with the sent body for POST.
void load_connection::state::check_body(std::string_view bytes) {
    auto const offset = body_bytes;
    body_bytes += bytes.size();
    if (reader.message().status != 200)
        return;
    if (!request.body.empty()) {
        wrong_body = wrong_body || body_bytes > request.body.size() ||
                     request.body.compare(offset, bytes.size(), bytes) != 0;
        return;
    }
    if (!content)
        return;
    for (std::size_t at = 0; at < bytes.size();) {
        auto const part = bytes.substr(at, expected.size());
        standins::fill_content(*content, offset + at,
                               std::span(expected).first(part.size()));
        wrong_body = wrong_body || std::memcmp(expected.data(), part.data(),
                                               part.size()) != 0;
        at += part.size();
    }
}

load_connection::load_connection(asio::io_context& context)
    : state_(std::make_unique<state>(context)) {
    state_->reader.stream_body([state = state_.get()](std::string_view bytes) {
        state->check_body(bytes);
    });
}

load_connection::~load_connection() = default;

bool load_connection::connected() const {
    return state_->socket.is_open();
}

void load_connection::run(load_request request, done_handler done) {
    auto& s = *state_;
    s.request = std::move(request);
    s.done = std::move(done);
    s.reader.reset(s.request.method == "HEAD");
    auto const& path = s.request.url.path;
    s.content = standins::content_of_path(path.substr(0, path.find('?')),
                                          s.request.content_seed);
    s.body_bytes = 0;
    s.wrong_body = s.any_byte = s.written = false;
    s.reused = s.socket.is_open();
    auto const number = ++s.run;
    s.timer.expires_after(s.request.timeout);
    s.timer.async_wait(
        [self = shared_from_this(), number](std::error_code error) {
            if (!error && self->state_->run == number && self->state_->done)
                self->finish(load_end::timeout);
        });
    if (s.reused)
        send();
    else
        connect();
}

void load_connection::connect() {
    auto const number = state_->run;
    state_->socket.async_connect(
        state_->request.url.endpoint,
        [self = shared_from_this(), number](std::error_code error) {
            auto& s = *self->state_;
            if (s.run != number || !s.done)
                return;
            if (error) {
                self->finish(load_end::connect_failed);
                return;
            }
            s.socket.set_option(asio::ip::tcp::no_delay(true), error);
            self->send();
        });
}

void load_connection::send() {
    auto& s = *state_;
    auto const& request = s.request;
    auto const& endpoint = request.url.endpoint;
    s.output = request.method + ' ' + request.url.path +
               " HTTP/1.1\r\nHost: " + endpoint.address().to_string() + ':' +
               std::to_string(endpoint.port()) +
               "\r\nYuccabeam-Echo: " + request.token + "\r\n" +
               request.headers;
    if (!request.keep_alive)
        s.output += "Connection: close\r\n";
    if (request.method == "POST")
        s.output +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    s.output += "\r\n" + request.body;
    auto const number = s.run;
    // An error is seen by the read, which may still find an answer.
    asio::async_write(s.socket, asio::buffer(s.output),
                      [self = shared_from_this(), number](std::error_code error,
                                                          std::size_t) {
                          if (!error && self->state_->run == number)
                              self->state_->written = true;
                      });
    receive();
}

void load_connection::receive() {
    auto const number = state_->run;
    state_->socket.async_read_some(asio::buffer(state_->input),
                                   [self = shared_from_this(), number](
                                       std::error_code error, std::size_t n) {
                                       auto& s = *self->state_;
                                       if (s.run != number || !s.done)
                                           return;
                                       if (error)
                                           self->received_end();
                                       else
                                           self->received({s.input.data(), n});
                                   });
}

void load_connection::received(std::string_view bytes) {
    auto& s = *state_;
    s.any_byte = true;
    bytes.remove_prefix(s.reader.feed(bytes));
    while (s.reader.progress() == http_progress::complete &&
           s.reader.message().status < 200) {
        s.reader.reset(s.request.method == "HEAD");
        bytes.remove_prefix(s.reader.feed(bytes));
    }
    if (s.reader.progress() == http_progress::malformed || !bytes.empty())
        finish(load_end::malformed);
    else if (s.reader.progress() == http_progress::complete)
        finish(load_end::answered);
    else
        receive();
}

void load_connection::received_end() {
    auto& s = *state_;
    if (!s.any_byte) {
        finish(load_end::closed);
        return;
    }
    s.reader.finish();
    finish(s.reader.progress() == http_progress::complete
               ? load_end::answered
               : load_end::truncated);
}

load_result load_connection::judge(load_end end) const {
    auto const& s = *state_;
    load_result out;
    out.end = end;
    out.reused = s.reused;
    out.body_bytes = s.body_bytes;
    out.wrong_body = s.wrong_body;
    auto const& message = s.reader.message();
    if (auto const echo = message.header("Yuccabeam-Echo"); !echo.empty())
        out.foreign = echo != s.request.token;
    if (end != load_end::answered)
        return out;
    out.status = message.status;
    out.outcome = message.header("Yuccabeam-Outcome");
    out.unproven =
        out.status / 100 == 2 && message.header("Yuccabeam-Echo").empty();
    if (out.status == 200 && s.request.method == "POST")
        out.wrong_body =
            out.wrong_body ||
            (!s.request.body.empty() && s.body_bytes != s.request.body.size());
    else if (out.status == 200 && s.request.method == "GET" && s.content)
        out.wrong_body = out.wrong_body || s.body_bytes != s.content->size;
    return out;
}

void load_connection::finish(load_end end) {
    auto& s = *state_;
    s.timer.cancel();
    auto const out = judge(end);
    if (end != load_end::answered || !s.written || !s.request.keep_alive ||
        !s.reader.message().keep_alive) {
        std::error_code ignored;
        s.socket.close(ignored);
    }
    auto const done = std::move(s.done);
    s.done = nullptr;
    done(out);
}

} // namespace yuccabeam::bench
