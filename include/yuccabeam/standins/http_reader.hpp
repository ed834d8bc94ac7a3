#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccabeam::standins {

/// One HTTP/1.1 request or response.
struct http_message {
    std::string method; ///< requests only
    std::string url;    ///< requests only
    int status = 0;     ///< responses only
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool keep_alive = false;

    /// Value of the first header of that name, in any case, or empty.
    std::string_view header(std::string_view name) const;
    std::string_view path() const;
    /// Value of a query parameter, or empty. Nothing is unescaped.
    std::string_view query(std::string_view name) const;
};

enum class http_kind { request, response };

enum class http_progress {
    headers, ///< header section incomplete
    body,
    complete,
    too_large, ///< body above the limit
    malformed
};

/// Incremental parser of one message after the other.
class http_reader {
public:
    using body_handler = std::function<void(std::string_view)>;

    explicit http_reader(http_kind kind, std::size_t body_limit);
    ~http_reader();
    http_reader(http_reader const&) = delete;
    http_reader& operator=(http_reader const&) = delete;

    /// Parses up to the end of the message; returns the bytes used.
    std::size_t feed(std::string_view bytes);
    /// End of the stream: completes a response that has no length.
    void finish();
    /// Starts the next message. `without_body` is for answers to HEAD.
    void reset(bool without_body = false);
    /// Body bytes go to `handler` instead of `message().body`.
    void stream_body(body_handler handler);

    http_progress progress() const;
    http_message const& message() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace yuccabeam::standins
