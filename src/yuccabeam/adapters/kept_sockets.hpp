#pragma once

#include <curl/curl.h>
#include <string>
#include <unordered_map>

namespace yuccabeam::adapters {

/// Sockets of one libcurl multi handle by both ends of their connections.
///
/// libcurl does not tell which socket it reuses, and takes bytes that wait on
/// it for the answer to the request that it writes next.
class kept_sockets {
public:
    /// Keeps the book right when libcurl closes a connection of `easy`.
    void attach(CURL* easy);
    void add(std::string ends, curl_socket_t socket);
    /// Neither closed by the peer nor holding bytes of no request.
    bool is_reusable(std::string const& ends) const;

private:
    static int on_close(void* self, curl_socket_t socket);
    void remove(curl_socket_t socket);

    std::unordered_map<std::string, curl_socket_t> by_ends_;
    std::unordered_map<curl_socket_t, std::string> ends_;
};

} // namespace yuccabeam::adapters
