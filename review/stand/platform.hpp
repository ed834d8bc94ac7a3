// Stand-ins of the platform: its store, workers, and the gateways under test.
#pragma once

#include "net.hpp"

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <signal.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

namespace stand {

using json = nlohmann::json;

// The record of a run: one line for each event.
class record {
public:
    explicit record(std::string const& path) : out_(path) {}
    void line(std::string const& text) {
        std::lock_guard lock(mutex_);
        char head[32];
        std::snprintf(head, sizeof head, "%9.3f ", now_s());
        out_ << head << text << "\n";
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline std::string base64(std::string const& in) {
    static char const* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned v = 0;
        for (std::size_t k = 0; k < 3; ++k)
            v = v << 8 | (i + k < in.size() ? (unsigned char)in[i + k] : 0u);
        for (int k = 0; k < 4; ++k)
            out += i + static_cast<std::size_t>(k) > in.size()
                       ? '='
                       : digits[v >> (18 - 6 * k) & 63];
    }
    return out;
}

inline std::string query_value(std::string const& target,
                               std::string const& name) {
    auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    at += name.size() + 1;
    auto const raw = target.substr(at, target.find('&', at) - at);
    std::string out;
    for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
            out +=
                static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            out += raw[i];
    }
    return out;
}

// How the store treats one machine.
enum class reach { open, silent };

// The platform's store. Each machine reaches it at an address of its own, so
// that one machine can be partitioned from it.
class store {
public:
    store() {
        std::thread([this] {
            for (;;) {
                sleep_s(0.05);
                expire();
            }
        }).detach();
    }

    int add_entrance() {
        auto* const at =
            entrances_.emplace_back(std::make_unique<entrance>()).get();
        at->port = serve([this, at](int fd) { session(fd, *at); });
        return at->port;
    }

    void set_reach(int port, reach value) {
        for (auto& at : entrances_)
            if (at->port == port)
                at->value = value;
    }

    std::uint64_t put(std::string const& key, std::string const& value,
                      std::uint64_t lease = 0) {
        std::lock_guard lock(mutex_);
        return put_locked(key, value, lease);
    }

    std::uint64_t remove(std::string const& key) {
        std::lock_guard lock(mutex_);
        return remove_locked(key);
    }

private:
    struct entrance {
        int port = 0;
        std::atomic<reach> value = reach::open;
    };
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease_state {
        double ttl = 0;
        double until = 0;
    };
    struct event {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        item at;
    };

    std::uint64_t put_locked(std::string const& key, std::string const& value,
                             std::uint64_t lease) {
        auto& at = items_[key];
        at.value = value;
        at.revision = ++revision_;
        if (at.created == 0)
            at.created = revision_;
        at.lease = lease;
        events_.push_back({key, revision_, false, at});
        changed_.notify_all();
        return revision_;
    }

    std::uint64_t remove_locked(std::string const& key) {
        if (items_.erase(key) == 0)
            return revision_;
        events_.push_back({key, ++revision_, true, {}});
        changed_.notify_all();
        return revision_;
    }

    void end_lease(std::uint64_t id) {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (auto const& [key, at] : items_)
            if (at.lease == id)
                keys.push_back(key);
        for (auto const& key : keys)
            remove_locked(key);
    }

    void expire() {
        std::lock_guard lock(mutex_);
        std::vector<std::uint64_t> ended;
        for (auto const& [id, at] : leases_)
            if (now_s() >= at.until)
                ended.push_back(id);
        for (auto const id : ended)
            end_lease(id);
    }

    static json row(std::string const& key, item const& at) {
        return {{"key", key},
                {"value", base64(at.value)},
                {"revision", at.revision},
                {"created", at.created},
                {"lease", at.lease}};
    }

    void session(int fd, entrance const& by) {
        reader in(fd);
        message request;
        while (in.read(request, now_s() + 3600) == read_result::complete) {
            // A partitioned machine gets no answer, and nothing is done.
            if (by.value != reach::open) {
                while (!peer_closed(fd))
                    sleep_s(0.02);
                return;
            }
            sleep_s(0.004);
            auto const answer = handle(request, by);
            while (by.value != reach::open) {
                if (peer_closed(fd))
                    return;
                sleep_s(0.02);
            }
            if (!send_all(fd, answer))
                return;
        }
    }

    static std::string ok(json const& body) {
        return response(200, {{"Content-Type", "application/json"}},
                        body.dump());
    }

    std::string handle(message const& request, entrance const& by) {
        auto const method = request.word(0);
        auto const target = request.word(1);
        auto const starts = [&](char const* text) {
            return target.rfind(text, 0) == 0;
        };
        std::unique_lock lock(mutex_);
        if (starts("/api/kv-range")) {
            json rows = json::array();
            auto const prefix = query_value(target, "prefix");
            auto const after = query_value(target, "after");
            bool more = false;
            for (auto const& [key, at] : items_) {
                if (key.rfind(prefix, 0) != 0 ||
                    (!after.empty() && key <= after))
                    continue;
                if (rows.size() == 500) {
                    more = true;
                    break;
                }
                rows.push_back(row(key, at));
            }
            return ok({{"items", rows},
                       {"has_more", more},
                       {"current_rev", revision_}});
        }
        if (starts("/api/kv-watch")) {
            auto const prefix = query_value(target, "prefix");
            auto const after = std::stoull(query_value(target, "after"));
            double const until =
                now_s() + std::stod(query_value(target, "wait_ms")) / 1000;
            for (;;) {
                json rows = json::array();
                for (auto const& e : events_)
                    if (e.revision > after && e.key.rfind(prefix, 0) == 0)
                        rows.push_back(e.removed
                                           ? json{{"key", e.key},
                                                  {"revision", e.revision},
                                                  {"tombstone", true}}
                                           : row(e.key, e.at));
                if (!rows.empty() || now_s() >= until ||
                    by.value != reach::open)
                    return ok({{"events", rows}, {"current_rev", revision_}});
                changed_.wait_for(lock, std::chrono::milliseconds(20));
            }
        }
        if (starts("/api/kv-lease-end/")) {
            end_lease(std::stoull(target.substr(18)));
            return ok(json::object());
        }
        if (starts("/api/kv-lease")) {
            auto const ttl =
                json::parse(request.body).at("ttl_s_time").get<double>();
            leases_[++last_lease_] = {ttl, now_s() + ttl};
            return ok({{"lease", last_lease_}, {"ttl_s_time", ttl}});
        }
        if (starts("/api/kv-keep/")) {
            auto const found = leases_.find(std::stoull(target.substr(13)));
            if (found == leases_.end())
                return response(404, {}, "{}");
            found->second.until = now_s() + found->second.ttl;
            return ok({{"ttl_s_time", found->second.ttl}});
        }
        if (starts("/api/kv-txn")) {
            auto const body = json::parse(request.body);
            for (auto const& write : body.at("writes"))
                if (auto const lease = write.value("lease", std::uint64_t(0));
                    lease != 0 && !leases_.contains(lease))
                    return response(404, {}, "{}");
            for (auto const& write : body.at("writes"))
                put_locked(write.at("key"), decode(write.at("value")),
                           write.value("lease", std::uint64_t(0)));
            for (auto const& key : body.at("deletes"))
                remove_locked(key);
            return ok({{"revision", revision_}});
        }
        return response(404, {}, "{}");
    }

    static std::string decode(std::string const& in) {
        std::string out;
        unsigned v = 0;
        int bits = 0;
        for (char const c : in) {
            int d = c >= 'A' && c <= 'Z'   ? c - 'A'
                    : c >= 'a' && c <= 'z' ? c - 'a' + 26
                    : c >= '0' && c <= '9' ? c - '0' + 52
                    : c == '+'             ? 62
                    : c == '/'             ? 63
                                           : -1;
            if (d < 0)
                break;
            v = v << 6 | static_cast<unsigned>(d);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                out += static_cast<char>(v >> bits & 255);
            }
        }
        return out;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::uint64_t last_lease_ = 7000;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease_state> leases_;
    std::vector<event> events_;
    std::vector<std::unique_ptr<entrance>> entrances_;
};

struct arrival {
    double at = 0;
    std::string worker;
    std::string id;
};

// A sound worker: slots, a short queue, 421 for another instance's requests,
// and it drops a request whose channel closes.
class worker {
public:
    worker(store& platform, record& log, std::string id, std::string service,
           std::string zone, int slots, int queue, double work)
        : platform_(platform), log_(log), id_(std::move(id)),
          service_(std::move(service)), zone_(std::move(zone)), slots_(slots),
          queue_(queue), work_(work) {
        port_ = serve([this](int fd) { session(fd); });
    }

    std::string const& id() const { return id_; }

    void enter(char const* state = "ready") {
        platform_.put(
            "servers/" + id_,
            json{{"address", "127.0.0.1:" + std::to_string(port_)},
                 {"born", born_},
                 {"info",
                  {{"service", service_},
                   {"version", "v1"},
                   {"zone", zone_},
                   {"slots", slots_}}},
                 {"status", {{"state", state}, {"seq", 1}, {"cold_left_s", 0}}}}
                .dump());
    }

    /// The entry is removed; the worker continues to serve.
    void leave_without_word() {
        platform_.remove("servers/" + id_);
        left_at_ = now_s();
        log_.line("store: removed the entry of worker " + id_);
    }

    double left_at() const { return left_at_; }
    /// Pads the bodies of answers to this size.
    void set_answer_bytes(std::size_t bytes) { answer_bytes_ = bytes; }
    static bool is_short(message const& request) {
        return request.word(1).ends_with("/0");
    }

    std::vector<arrival> arrivals() {
        std::lock_guard lock(mutex_);
        return arrivals_;
    }

private:
    void session(int fd) {
        reader in(fd);
        message request;
        while (in.read(request, now_s() + 10) == read_result::complete)
            if (!answer(fd, request))
                return;
    }

    bool answer(int fd, message const& request) {
        auto const id = request.field("X-Attempt-Id");
        auto const expected = request.field("X-Expect-Instance");
        if (!expected.empty() && expected != id_)
            return send_all(
                fd,
                response(421, {{"X-Instance-Id", id_}, {"X-Attempt-Id", id}},
                         ""));
        double const limit =
            now_s() + std::atof(request.field("X-Deadline-Ms").c_str()) / 1000;
        {
            std::lock_guard lock(mutex_);
            arrivals_.push_back({now_s(), id_, id});
            if (busy_ >= slots_ + queue_) {
                return send_all(fd, response(503,
                                             {{"X-Not-Executed", "1"},
                                              {"X-Attempt-Id", id}},
                                             ""));
            }
            ++busy_;
        }
        log_.line("worker " + id_ + ": request " + id + " arrives");
        bool const done = run(fd, limit);
        {
            std::lock_guard lock(mutex_);
            --busy_;
        }
        if (!done)
            return false;
        auto body = "done by " + id_ + " for " + id;
        if (!is_short(request))
            body.resize(std::max(body.size(), answer_bytes_), '.');
        bool const sent = send_all(
            fd, response(200,
                         {{"X-Attempt-Id", id},
                          {"X-Response-Signature", "sig." + id_ + "." + id}},
                         body));
        log_.line("worker " + id_ + ": answer to " + id +
                  (sent ? " is sent" : " is broken off"));
        return sent;
    }

    bool run(int fd, double limit) {
        {
            std::unique_lock lock(mutex_);
            while (running_ >= slots_) {
                free_.wait_for(lock, std::chrono::milliseconds(10));
                if (peer_closed(fd))
                    return false;
            }
            ++running_;
        }
        double const end = now_s() + work_;
        bool closed = false;
        while (!closed && now_s() < end && now_s() < limit) {
            sleep_s(std::min(0.02, end - now_s()));
            closed = peer_closed(fd);
        }
        std::lock_guard lock(mutex_);
        --running_;
        free_.notify_one();
        return !closed;
    }

    store& platform_;
    record& log_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    int queue_;
    double work_;
    std::size_t answer_bytes_ = 0;
    int port_ = 0;
    std::int64_t born_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    std::atomic<double> left_at_ = 0;
    std::mutex mutex_;
    std::condition_variable free_;
    int busy_ = 0;
    int running_ = 0;
    std::vector<arrival> arrivals_;
};

// Free ports in the order of their addresses' texts.
inline std::vector<int> free_ports_in_order(std::size_t count) {
    std::vector<int> out;
    while (out.size() < count)
        out.push_back(free_port());
    std::sort(out.begin(), out.end(), [](int a, int b) {
        return std::to_string(a) < std::to_string(b);
    });
    return out;
}

// One gateway process, started as the deploy file says.
class gateway {
public:
    gateway(record& log, std::string dir, std::string name, std::string zone,
            std::vector<std::string> zones, int store_port, int peers_port)
        : log_(log), dir_(std::move(dir)), name_(std::move(name)),
          store_port_(store_port), front_(free_port()), ready_(free_port()),
          control_(free_port()), peers_(peers_port) {
        settings_ = {{"vm", name_},
                     {"failure_domain", zone},
                     {"failure_domains", zones},
                     {"processor_share", 0.2},
                     {"memory_mb", 260},
                     {"callers", at(front_)},
                     {"readiness", at(ready_)},
                     {"control", at(control_)},
                     {"peers", at(peers_)},
                     {"store", at(store_port)},
                     {"seeds", json::array()},
                     {"new_fleet", true},
                     {"grace_s", 6},
                     {"leaving_limit_s", 2},
                     {"repeat_ratio", 0.2},
                     {"repeat_slack", 56},
                     {"repeat_window_s", 10}};
    }
    ~gateway() { kill_now(); }

    void set_seeds(std::vector<std::string> const& seeds) {
        settings_["seeds"] = seeds;
    }
    std::string control() const { return at(control_); }
    int front() const { return front_; }
    int ready_port() const { return ready_; }
    int store_port() const { return store_port_; }
    std::string const& name() const { return name_; }
    pid_t pid() const { return pid_; }

    void start() {
        auto const file = dir_ + "/" + name_ + ".json";
        std::ofstream(file) << settings_.dump(2);
        auto const output = dir_ + "/" + name_ + ".log";
        std::string const program = "target/bin/yuccabeam-gateway";
        std::string const variable = "YUCCABEAM_NODE_FILE=" + file;
        std::string const path = "PATH=/usr/bin:/bin";
        char* const argv[] = {const_cast<char*>(program.c_str()), nullptr};
        char* const env[] = {const_cast<char*>(variable.c_str()),
                             const_cast<char*>(path.c_str()), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                         O_CREAT | O_WRONLY | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv, env) !=
            0)
            throw std::runtime_error("cannot start " + program);
        posix_spawn_file_actions_destroy(&actions);
        std::ofstream(pid_file()) << pid_ << "\n";
        log_.line("started " + name_ + ", callers at " + at(front_));
    }

    void signal(int number) {
        if (pid_ > 0)
            kill(pid_, number);
    }

    void kill_now() {
        if (pid_ <= 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
        unlink(pid_file().c_str());
    }

    bool is_ready() const {
        int const fd = connect_to(ready_, 0.5);
        if (fd < 0)
            return false;
        message answer;
        bool const good =
            send_all(fd, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
            reader(fd).read(answer, now_s() + 0.5) == read_result::complete &&
            answer.status() == 200;
        close(fd);
        return good;
    }

    bool wait_ready(double seconds) const {
        double const until = now_s() + seconds;
        while (now_s() < until) {
            if (is_ready())
                return true;
            sleep_s(0.05);
        }
        return false;
    }

private:
    // Lets run.sh end the process if this program is ended itself.
    std::string pid_file() const { return dir_ + "/" + name_ + ".pid"; }

    static std::string at(int port) {
        return "127.0.0.1:" + std::to_string(port);
    }

    record& log_;
    std::string dir_;
    std::string name_;
    int store_port_;
    int front_;
    int ready_;
    int control_;
    int peers_;
    json settings_;
    pid_t pid_ = 0;
};

struct outcome {
    read_result result = read_result::closed;
    bool connected = false;
    message answer;
    double sent_at = 0;
    double ended_at = 0;
};

// One request on a new channel.
inline outcome ask(int port, std::string const& method, std::string const& host,
                   std::string const& path, std::string const& id,
                   double time_limit, std::string const& body = {}) {
    outcome out;
    out.sent_at = now_s();
    int const fd = connect_to(port, 1.0);
    if (fd >= 0) {
        out.connected = true;
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                           "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " +
                           std::to_string(static_cast<int>(time_limit * 1000)) +
                           "\r\n";
        if (method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        out.result = send_all(fd, text + "\r\n" + body)
                         ? reader(fd).read(out.answer, out.sent_at + time_limit)
                         : read_result::reset;
        close(fd);
    }
    out.ended_at = now_s();
    return out;
}

inline json route(std::string const& name, std::string const& host,
                  std::string const& prefix, std::string const& kind,
                  std::string const& service, double timeout, double aim,
                  int attempts) {
    return {{"resource_kind", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", host},
              {"prefix", prefix},
              {"kind", kind},
              {"timeout_s", timeout},
              {"target_latency_s", aim},
              {"priority", 2},
              {"service", service},
              {"max_attempts", attempts}}}};
}

inline json service(std::string const& name) {
    return {{"resource_kind", "services"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"health_path", "/health"},
              {"max_conns", 330},
              {"protocol", "h1"},
              {"tls", false}}}};
}

inline json limits() {
    return {{"resource_kind", "limits"},
            {"metadata", json::object()},
            {"spec",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout_s", 3},
              {"idle_timeout_s", 15}}}};
}

} // namespace stand
