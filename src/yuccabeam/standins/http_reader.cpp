#include "yuccabeam/standins/http_reader.hpp"

#include <algorithm>
#include <cctype>
#include <http_parser.h>

namespace yuccabeam::standins {
namespace {

bool same_word(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) {
                          return std::tolower(x) == std::tolower(y);
                      });
}

} // namespace

std::string_view http_message::header(std::string_view name) const {
    for (auto const& [key, value] : headers)
        if (same_word(key, name))
            return value;
    return {};
}

std::string_view http_message::path() const {
    return std::string_view(url).substr(0, url.find('?'));
}

std::string_view http_message::query(std::string_view name) const {
    auto rest = std::string_view(url);
    auto at = rest.find('?');
    while (at != std::string_view::npos) {
        rest.remove_prefix(at + 1);
        at = rest.find('&');
        auto const pair = rest.substr(0, at);
        auto const equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view{}
                                                    : pair.substr(equals + 1);
    }
    return {};
}

struct http_reader::state {
    http_kind kind;
    std::size_t body_limit;
    http_parser parser{};
    http_message message;
    http_progress progress = http_progress::headers;
    body_handler handler;
    bool in_value = false;
    bool without_body = false;

    void start() {
        http_parser_init(&parser, kind == http_kind::request ? HTTP_REQUEST
                                                             : HTTP_RESPONSE);
        parser.data = this;
        message = {};
        progress = http_progress::headers;
        in_value = false;
    }

    static state& of(http_parser* parser) {
        return *static_cast<state*>(parser->data);
    }

    static int on_url(http_parser* parser, char const* data, std::size_t size) {
        of(parser).message.url.append(data, size);
        return 0;
    }

    static int on_field(http_parser* parser, char const* data,
                        std::size_t size) {
        auto& self = of(parser);
        if (self.message.headers.empty() || self.in_value)
            self.message.headers.emplace_back();
        self.in_value = false;
        self.message.headers.back().first.append(data, size);
        return 0;
    }

    static int on_value(http_parser* parser, char const* data,
                        std::size_t size) {
        auto& self = of(parser);
        self.in_value = true;
        if (self.progress == http_progress::headers)
            self.message.headers.back().second.append(data, size);
        return 0;
    }

    static int on_headers(http_parser* parser) {
        auto& self = of(parser);
        self.progress = http_progress::body;
        if (self.kind == http_kind::request)
            self.message.method =
                http_method_str(static_cast<http_method>(parser->method));
        self.message.status = static_cast<int>(parser->status_code);
        self.message.keep_alive = http_should_keep_alive(parser) != 0;
        return self.without_body ? 1 : 0;
    }

    static int on_body(http_parser* parser, char const* data,
                       std::size_t size) {
        auto& self = of(parser);
        if (self.handler) {
            self.handler({data, size});
            return 0;
        }
        if (self.message.body.size() + size > self.body_limit) {
            self.progress = http_progress::too_large;
            return 1;
        }
        self.message.body.append(data, size);
        return 0;
    }

    static int on_complete(http_parser* parser) {
        of(parser).progress = http_progress::complete;
        http_parser_pause(parser, 1);
        return 0;
    }

    static http_parser_settings const& settings() {
        static http_parser_settings const value = [] {
            http_parser_settings out;
            http_parser_settings_init(&out);
            out.on_url = on_url;
            out.on_header_field = on_field;
            out.on_header_value = on_value;
            out.on_headers_complete = on_headers;
            out.on_body = on_body;
            out.on_message_complete = on_complete;
            return out;
        }();
        return value;
    }
};

http_reader::http_reader(http_kind kind, std::size_t body_limit)
    : state_(std::make_unique<state>()) {
    state_->kind = kind;
    state_->body_limit = body_limit;
    state_->start();
}

http_reader::~http_reader() = default;

std::size_t http_reader::feed(std::string_view bytes) {
    auto& self = *state_;
    if (bytes.empty() || (self.progress != http_progress::headers &&
                          self.progress != http_progress::body))
        return 0;
    auto const used = http_parser_execute(&self.parser, &state::settings(),
                                          bytes.data(), bytes.size());
    auto const error = HTTP_PARSER_ERRNO(&self.parser);
    if (error != HPE_OK && error != HPE_PAUSED &&
        self.progress != http_progress::too_large)
        self.progress = http_progress::malformed;
    return used;
}

void http_reader::finish() {
    auto& self = *state_;
    if (self.progress != http_progress::headers &&
        self.progress != http_progress::body)
        return;
    http_parser_execute(&self.parser, &state::settings(), nullptr, 0);
    if (self.progress != http_progress::complete)
        self.progress = http_progress::malformed;
}

void http_reader::reset(bool without_body) {
    state_->without_body = without_body;
    state_->start();
}

void http_reader::stream_body(body_handler handler) {
    state_->handler = std::move(handler);
}

http_progress http_reader::progress() const {
    return state_->progress;
}

http_message const& http_reader::message() const {
    return state_->message;
}

} // namespace yuccabeam::standins
