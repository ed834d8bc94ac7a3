// Stand-ins for the cases of the second review: the platform's store, workers
// and clients, as the pages PROTOCOL.md and DEPLOY.md describe them. They run
// in the driver of a case; the gateways are processes of their own.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;

inline void sleep_ms(int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// --- the record --------------------------------------------------------------

class record {
public:
    explicit record(std::string const& path)
        : file_(std::fopen(path.c_str(), "w")) {
        if (!file_)
            throw std::runtime_error("can't write " + path);
    }
    void write(char const* format, ...) {
        std::lock_guard const lock(mutex_);
        auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            clock::now() - start_)
                            .count();
        std::fprintf(file_, "%8.3f s  ", static_cast<double>(ms) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fprintf(file_, "\n");
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
    clock::time_point start_ = clock::now();
};

// --- sockets -----------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    return out;
}

/// A listening socket on a port of 127.0.0.1 that the kernel chooses.
inline int listen_on_free_port(int& port) {
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(fd, 256) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("no port to listen on");
    port = ntohs(address.sin_port);
    return fd;
}

/// A port that is free now, for TCP and UDP.
inline int free_port() {
    for (int i = 0; i < 100; ++i) {
        int port = 0;
        int const tcp = listen_on_free_port(port);
        int const udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto const address = loopback(port);
        bool const free = bind(udp, reinterpret_cast<sockaddr const*>(&address),
                               sizeof address) == 0;
        close(tcp);
        close(udp);
        if (free)
            return port;
    }
    throw std::runtime_error("no free port");
}

inline void set_no_delay(int fd) {
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int connect_to(int port) {
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr const*>(&address),
                sizeof address) != 0) {
        close(fd);
        return -1;
    }
    set_no_delay(fd);
    return fd;
}

inline bool send_all(int fd, std::string const& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        auto const size =
            send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

// --- HTTP --------------------------------------------------------------------

struct message {
    std::string start;                         ///< the start line
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;

    std::string field(std::string const& name) const {
        auto const found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    int status() const {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const {
        auto const at = start.find(' ') + 1;
        return start.substr(at, start.find(' ', at) - at);
    }
};

/// A connection whose bytes are read as messages with a length.
class channel {
public:
    explicit channel(int fd) : fd_(fd) {}
    ~channel() { end(); }
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;

    int fd() const { return fd_; }
    bool open() const { return fd_ >= 0; }
    void end() {
        if (fd_ >= 0)
            close(fd_);
        fd_ = -1;
    }
    bool write(std::string const& text) { return send_all(fd_, text); }

    /// Reads one message. False if the channel ended first, or on a time-out.
    bool read(message& out, int timeout_ms = 30'000) {
        auto const end = clock::now() + std::chrono::milliseconds(timeout_ms);
        std::size_t head_end = 0;
        while ((head_end = input_.find("\r\n\r\n")) == std::string::npos)
            if (!receive(end))
                return false;
        out = {};
        std::size_t at = input_.find("\r\n");
        out.start = input_.substr(0, at);
        while (at < head_end) {
            auto const begin = at + 2;
            at = input_.find("\r\n", begin);
            auto const line = input_.substr(begin, at - begin);
            auto const colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            for (auto& c : name)
                c = static_cast<char>(std::tolower(c));
            auto const value = line.find_first_not_of(' ', colon + 1);
            out.fields[name] =
                value == std::string::npos ? "" : line.substr(value);
        }
        auto const length = static_cast<std::size_t>(
            std::atoll(out.field("content-length").c_str()));
        while (input_.size() < head_end + 4 + length)
            if (!receive(end))
                return false;
        out.body = input_.substr(head_end + 4, length);
        input_.erase(0, head_end + 4 + length);
        return true;
    }

private:
    bool receive(clock::time_point end) {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
                              end - clock::now())
                              .count();
        pollfd wait{fd_, POLLIN, 0};
        if (fd_ < 0 || left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        auto const size = recv(fd_, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        input_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    int fd_;
    std::string input_;
};

/// Accepts connections and serves each in a thread of its own.
class listener {
public:
    using handler = std::function<void(channel&)>;

    explicit listener(handler serve) : serve_(std::move(serve)) {
        fd_ = listen_on_free_port(port_);
        std::thread([this] {
            for (;;) {
                int const fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                set_no_delay(fd);
                std::thread([this, fd] {
                    channel one(fd);
                    serve_(one);
                }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    handler serve_;
    int fd_ = -1;
    int port_ = 0;
};

// --- the platform's store ----------------------------------------------------

inline std::string base64(std::string const& in) {
    static char const* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8 |
                   (i + j < in.size() ? static_cast<unsigned char>(in[i + j])
                                      : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j > in.size() ? '=' : digits[bits >> (18 - 6 * j) & 63];
    }
    return out;
}

inline std::string from_base64(std::string const& in) {
    std::string out;
    unsigned bits = 0;
    int count = 0;
    for (char const c : in) {
        int const value = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (value < 0)
            break;
        bits = bits << 6 | static_cast<unsigned>(value);
        if ((count += 6) >= 8)
            out += static_cast<char>(bits >> (count -= 8) & 255);
    }
    return out;
}

/// Implements the calls of the page "The platform's metadata store". It keeps
/// its whole history and never fails.
class store {
public:
    store() : listener_([this](channel& one) { serve(one); }) {}

    std::string address() const { return listener_.address(); }

    void put(std::string const& key, std::string const& value) {
        std::lock_guard const lock(mutex_);
        change(key, value, false);
        changed_.notify_all();
    }
    void remove(std::string const& key) {
        std::lock_guard const lock(mutex_);
        change(key, "", true);
        changed_.notify_all();
    }

private:
    struct event {
        std::string key;
        std::string value;
        std::uint64_t revision;
        bool removed;
    };

    void change(std::string const& key, std::string const& value,
                bool removed) {
        events_.push_back({key, value, ++revision_, removed});
        if (removed)
            items_.erase(key);
        else
            items_[key] = events_.back();
    }

    static json row(event const& of) {
        if (of.removed)
            return {{"key", of.key},
                    {"revision", of.revision},
                    {"tombstone", true}};
        return {{"key", of.key},
                {"value", base64(of.value)},
                {"revision", of.revision},
                {"created", of.revision},
                {"lease", 0}};
    }

    static std::string parameter(std::string const& target,
                                 std::string const& name) {
        auto at = target.find("?" + name + "=");
        if (at == std::string::npos)
            at = target.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        at += name.size() + 2;
        std::string out;
        for (; at < target.size() && target[at] != '&'; ++at)
            if (target[at] == '%') {
                out += static_cast<char>(
                    std::stoi(target.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                out += target[at];
            }
        return out;
    }

    void serve(channel& one) {
        message in;
        while (one.read(in, 600'000)) {
            int status = 200;
            auto const body = answer(in, status).dump();
            if (!one.write("HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    json answer(message const& in, int& status) {
        std::unique_lock lock(mutex_);
        auto const target = in.target();
        auto const starts = [&](char const* path) {
            return target.rfind(path, 0) == 0;
        };
        if (starts("/api/kv-range")) {
            json items = json::array();
            auto const prefix = parameter(target, "prefix");
            auto const after = parameter(target, "after");
            for (auto const& [key, item] : items_)
                if (key.rfind(prefix, 0) == 0 && key > after)
                    items.push_back(row(item));
            return {{"items", items},
                    {"has_more", false},
                    {"current_rev", revision_}};
        }
        if (starts("/api/kv-watch")) {
            auto const prefix = parameter(target, "prefix");
            auto const after = std::stoull(parameter(target, "after"));
            auto const wait = std::chrono::milliseconds(
                std::stoll(parameter(target, "wait_ms")));
            json events = json::array();
            auto const look = [&] {
                for (auto const& one : events_)
                    if (one.revision > after && one.key.rfind(prefix, 0) == 0)
                        events.push_back(row(one));
                return !events.empty();
            };
            changed_.wait_for(lock, wait, look);
            return {{"events", events}, {"current_rev", revision_}};
        }
        if (starts("/api/kv-txn")) {
            auto const body = json::parse(in.body);
            for (auto const& write : body.at("writes"))
                change(write.at("key"),
                       from_base64(write.at("value").get<std::string>()),
                       false);
            changed_.notify_all();
            return {{"revision", revision_}};
        }
        if (starts("/api/kv-lease-end"))
            return json::object();
        if (starts("/api/kv-lease"))
            return {{"lease", ++lease_},
                    {"ttl_s_time", json::parse(in.body).at("ttl_s_time")}};
        if (starts("/api/kv-keep"))
            return {{"ttl_s_time", 45}};
        status = 404;
        return json::object();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, event> items_;
    std::vector<event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t lease_ = 77'000;
    listener listener_;
};

// --- what the operator and the workers write ---------------------------------

inline json route(std::string const& name, std::string const& host,
                  std::string const& prefix, std::string const& kind,
                  std::string const& service, double timeout_s,
                  int max_attempts) {
    return {{"resource_kind", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", host},
              {"prefix", prefix},
              {"kind", kind},
              {"timeout_s", timeout_s},
              {"target_latency_s", 2},
              {"priority", 1},
              {"service", service},
              {"max_attempts", max_attempts}}}};
}

inline std::string configuration(int version, std::vector<json> routes,
                                 std::vector<std::string> const& services) {
    for (auto const& service : services)
        routes.push_back({{"resource_kind", "services"},
                          {"metadata", {{"name", service}}},
                          {"spec",
                           {{"health_path", "/health"},
                            {"max_conns", 330},
                            {"protocol", "h1"},
                            {"tls", false}}}});
    routes.push_back({{"resource_kind", "limits"},
                      {"metadata", json::object()},
                      {"spec",
                       {{"max_header_bytes", 16384},
                        {"max_body_bytes", 67108864},
                        {"header_timeout_s", 3},
                        {"idle_timeout_s", 15}}}});
    return json{{"version", "r" + std::to_string(version)},
                {"resources", routes}}
        .dump();
}

inline std::string beat(std::string const& address, std::string const& service,
                        std::string const& state = "ready", int seq = 4) {
    return json{
        {"address", address},
        {"info",
         {{"service", service},
          {"version", "v1"},
          {"zone", "ga-central-a"},
          {"slots", 6}}},
        {"status", {{"state", state}, {"seq", seq}, {"cold_left_s", 0}}}}
        .dump();
}

// --- a gateway ---------------------------------------------------------------

/// A gateway process, started as the deploy file says, with the settings that
/// the template gives for a machine of a small deployment.
class gateway {
public:
    gateway(std::string const& program, std::string const& folder,
            std::string const& name, std::string const& store)
        : program_(program), folder_(folder), name_(name),
          path_(folder + "/" + name + ".json"), front_(free_port()),
          ready_(free_port()) {
        auto const at = [](int port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        auto const control = free_port();
        json const settings = {
            {"vm", name},
            {"failure_domain", "ga-central-a"},
            {"failure_domains",
             {"ga-central-a", "ga-central-b", "ga-central-c"}},
            {"processor_share", 0.2},
            {"memory_mb", 260},
            {"max_descriptors", 4100},
            {"callers", at(front_)},
            {"readiness", at(ready_)},
            {"control", at(control)},
            {"peers", at(free_port())},
            {"store", store},
            {"seeds", {at(control)}},
            {"new_fleet", true},
            {"grace_s", 6},
            {"leaving_limit_s", 2},
            {"target_heartbeat_s", 1.5},
            {"repeat_ratio", 0.2},
            {"repeat_slack", 56},
            {"repeat_window_s", 10}};
        std::ofstream(path_) << settings.dump(2);
        start();
    }
    ~gateway() { stop(); }
    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    void start() {
        auto const variable = "YUCCABEAM_NODE_FILE=" + path_;
        std::string const path = "PATH=/usr/bin:/bin";
        char* const environment[] = {const_cast<char*>(variable.c_str()),
                                     const_cast<char*>(path.c_str()), nullptr};
        char* const arguments[] = {program_.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        auto const log = folder_ + "/" + name_ + ".log";
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (posix_spawn(&pid_, program_.c_str(), &actions, nullptr, arguments,
                        environment) != 0)
            throw std::runtime_error("can't start " + program_);
        posix_spawn_file_actions_destroy(&actions);
        // Read by run.sh, which ends the process if this driver can't.
        std::ofstream(folder_ + "/" + name_ + ".pid") << pid_ << "\n";
    }
    void stop() {
        if (pid_ <= 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        std::remove((folder_ + "/" + name_ + ".pid").c_str());
        pid_ = 0;
    }
    int front() const { return front_; }
    pid_t pid() const { return pid_; }

    bool is_ready() const {
        channel one(connect_to(ready_));
        message answer;
        return one.open() &&
               one.write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
               one.read(answer, 1'000) && answer.status() == 200;
    }
    bool wait_ready(int timeout_ms = 10'000) const {
        for (int i = 0; i < timeout_ms / 50; ++i) {
            if (is_ready())
                return true;
            sleep_ms(50);
        }
        return false;
    }

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    std::string path_;
    int front_;
    int ready_;
    pid_t pid_ = 0;
};

/// True unless the environment says TROUBLE=0.
inline bool with_trouble() {
    auto const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline int const exit_held = 0;
inline int const exit_broken = 1;
inline int const exit_not_run = 2;

} // namespace standin
