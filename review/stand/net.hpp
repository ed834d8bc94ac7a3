// Blocking HTTP/1.1 over loopback sockets, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stand {

using clock_type = std::chrono::steady_clock;

inline double now_s() {
    static auto const start = clock_type::now();
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

inline void sleep_s(double seconds) {
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleep_until_s(double at) {
    sleep_s(at - now_s());
}

inline sockaddr_in loopback(int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

inline int port_of(int fd) {
    sockaddr_in name{};
    socklen_t size = sizeof name;
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    return ntohs(name.sin_port);
}

inline int listen_on_free_port() {
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const at = loopback(0);
    if (bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
        listen(fd, 512) != 0)
        throw std::runtime_error("cannot listen");
    return fd;
}

// A port that is free for TCP and UDP now. It is below the range from which the
// kernel takes the ports of outgoing connections, so that none of these takes
// it before a gateway listens there.
inline int free_port() {
    static int next = 10'000 + static_cast<int>(getpid()) % 1'000 * 20;
    for (;;) {
        int const port = next++;
        if (next >= 32'000)
            next = 10'000;
        auto const at = loopback(port);
        auto const* const address = reinterpret_cast<sockaddr const*>(&at);
        int const tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        bool const free = bind(tcp, address, sizeof at) == 0 &&
                          bind(udp, address, sizeof at) == 0;
        close(udp);
        close(tcp);
        if (free)
            return port;
    }
}

// Returns -1 on failure.
inline int connect_to(int port, double timeout) {
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto const at = loopback(port);
    int result = connect(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd wait{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&wait, 1, static_cast<int>(timeout * 1000)) == 1 &&
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
            error == 0)
            result = 0;
    }
    if (result != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string const& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        auto const n =
            send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

struct message {
    std::string first; ///< request or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(char const* name) const {
        for (auto const& [key, value] : fields)
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        return {};
    }
    bool has(char const* name) const {
        for (auto const& [key, value] : fields)
            if (strcasecmp(key.c_str(), name) == 0)
                return true;
        return false;
    }
    std::string word(int index) const {
        std::size_t at = 0;
        for (; index > 0; --index) {
            at = first.find(' ', at);
            if (at == std::string::npos)
                return {};
            ++at;
        }
        return first.substr(at, first.find(' ', at) - at);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

enum class read_result { complete, closed, reset, timed_out, malformed };

// Reads one message with a Content-Length (or without a body).
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}

    read_result read(message& out, double until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (auto const r = more(until); r != read_result::complete)
                return r;
        out = {};
        std::size_t at = 0;
        while (at < end + 2) {
            auto const eol = buffer_.find("\r\n", at);
            auto const line = buffer_.substr(at, eol - at);
            at = eol + 2;
            if (out.first.empty()) {
                out.first = line;
                continue;
            }
            if (line.empty())
                break;
            auto const colon = line.find(':');
            if (colon == std::string::npos)
                return read_result::malformed;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            out.fields.emplace_back(line.substr(0, colon), value);
        }
        buffer_.erase(0, end + 4);
        auto const length = static_cast<std::size_t>(
            std::atoll(out.field("Content-Length").c_str()));
        while (buffer_.size() < length)
            if (auto const r = more(until); r != read_result::complete)
                return r;
        out.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return read_result::complete;
    }

    std::size_t buffered() const { return buffer_.size(); }

private:
    read_result more(double until) {
        double const left = until - now_s();
        pollfd wait{fd_, POLLIN, 0};
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return read_result::timed_out;
        char bytes[16384];
        auto const n = recv(fd_, bytes, sizeof bytes, 0);
        if (n == 0)
            return read_result::closed;
        if (n < 0)
            return read_result::reset;
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return read_result::complete;
    }

    int fd_;
    std::string buffer_;
};

inline std::string
response(int status,
         std::vector<std::pair<std::string, std::string>> const& fields,
         std::string const& body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& [name, value] : fields)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// True if the peer has closed the connection.
inline bool peer_closed(int fd) {
    char byte = 0;
    auto const n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Accepts on a free port; threads are detached and live as long as the program.
inline int serve(std::function<void(int)> session) {
    int const fd = listen_on_free_port();
    int const port = port_of(fd);
    std::thread([fd, session = std::move(session)] {
        for (;;) {
            int const accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            int const on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([accepted, &session] {
                session(accepted);
                close(accepted);
            }).detach();
        }
    }).detach();
    return port;
}

} // namespace stand
