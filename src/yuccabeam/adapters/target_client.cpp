#include "yuccabeam/adapters/target_client.hpp"

#include "curl_handle.hpp"
#include "kept_sockets.hpp"
#include "yuccabeam/adapters/clock.hpp"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <functional>
#include <map>
#include <mutex>
#include <queue>
#include <thread>
#include <unordered_map>
#include <utility>

namespace yuccabeam::adapters {

namespace {

constexpr int max_poll_ms = 1'000;
// Targets close idle connections; a younger one is more likely to be open.
constexpr long max_idle_seconds = 30;
constexpr long receive_buffer_bytes = 64 * 1024;

bool may_have_body(std::string const& method, int status) {
    return method != "HEAD" && status != 204 && status != 304;
}

void set_framing(answer_head& head, std::string const& method) {
    if (!may_have_body(method, head.status))
        return;
    if (!field_value(head.fields, "Transfer-Encoding").empty()) {
        head.framing = body_framing::chunked;
        return;
    }
    auto const length = field_value(head.fields, "Content-Length");
    std::uint64_t bytes = 0;
    auto const parsed =
        std::from_chars(length.data(), length.data() + length.size(), bytes);
    if (!length.empty() && parsed.ec == std::errc()) {
        head.framing = body_framing::length;
        head.content_length = bytes;
    } else {
        head.framing = body_framing::until_close;
    }
}

struct transfer {
    call_id id = 0;
    target_call call;
    std::shared_ptr<call_observer> observer;
    curl_easy_ptr easy;
    curl_slist_ptr fields;
    http_reply head_lines;
    answer_meter meter;
    time_point started;
    duration until_head{};
    bool head_delivered = false;
    bool malformed = false;
    bool paused = false;
    bool stray = false; ///< the answer belongs to another request
    kept_sockets* sockets = nullptr;
    curl_socket_t opened = CURL_SOCKET_BAD; ///< a new connection's
    bool unclean = false; ///< the kept connection can't be used
    bool ends_with_connection = false;

    bool is_stray() const {
        return std::ranges::any_of(head_lines.fields, [this](auto const& f) {
            return !call.match_field.empty() &&
                   same_field_name(f.name, call.match_field) &&
                   f.value != call.match_value;
        });
    }

    void deliver_head() {
        answer_head head;
        head.status = head_lines.status;
        head.fields = std::move(head_lines.fields);
        set_framing(head, call.method);
        ends_with_connection = head.framing == body_framing::until_close;
        head_delivered = true;
        until_head = boot_now() - started;
        observer->on_head(std::move(head));
    }
};

std::size_t on_header(char* data, std::size_t, std::size_t size, void* self) {
    auto& transfer = *static_cast<struct transfer*>(self);
    std::string_view const line(data, size);
    if (!transfer.meter.add_head_line(line))
        return 0;
    if (!ends_head(line)) {
        // Fields after the body are trailers; they are not forwarded.
        transfer.malformed = transfer.head_delivered
                                 ? !is_field_line(line)
                                 : !add_header_line(transfer.head_lines, line);
        return transfer.malformed ? 0 : size;
    }
    if (transfer.head_delivered || transfer.head_lines.status < 200)
        return size;
    transfer.stray = transfer.is_stray();
    transfer.malformed = !has_known_framing(transfer.head_lines.fields);
    if (transfer.stray || transfer.malformed)
        return 0;
    transfer.deliver_head();
    return size;
}

std::size_t on_body(char* data, std::size_t, std::size_t size, void* self) {
    auto& transfer = *static_cast<struct transfer*>(self);
    if (!transfer.observer->on_data({data, size})) {
        transfer.paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    return transfer.meter.add_body(size) ? size : 0;
}

int on_socket(void* self, curl_socket_t socket, curlsocktype) {
    static_cast<struct transfer*>(self)->opened = socket;
    return CURL_SOCKOPT_OK;
}

int before_request(void* self, char* target_ip, char* own_ip, int target_port,
                   int own_port) {
    auto& transfer = *static_cast<struct transfer*>(self);
    auto ends = std::string(own_ip) + ' ' + std::to_string(own_port) + ' ' +
                target_ip + ' ' + std::to_string(target_port);
    auto const opened = std::exchange(transfer.opened, CURL_SOCKET_BAD);
    if (opened != CURL_SOCKET_BAD)
        transfer.sockets->add(std::move(ends), opened);
    else
        transfer.unclean = !transfer.sockets->is_reusable(ends);
    return transfer.unclean ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

curl_easy_ptr make_easy(transfer& transfer) {
    curl_easy_ptr easy(curl_easy_init());
    auto* handle = easy.get();
    auto const& call = transfer.call;
    transfer.fields = set_request(handle, call.method, call.fields, call.body);
    transfer.meter.attach(handle, call.limits);
    curl_easy_setopt(handle, CURLOPT_URL,
                     ("http://" + call.address + "/").c_str());
    curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET,
                     call.request_target.c_str());
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.connect_timeout.count()));
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME,
                     static_cast<long>(call.stall_timeout.count()));
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, max_idle_seconds);
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, receive_buffer_bytes);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    if (call.fresh_connection) {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    transfer.sockets->attach(handle);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, on_socket);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, before_request);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    return easy;
}

call_status status_of(CURLcode code, transfer const& transfer,
                      bool request_sent) {
    if (code == CURLE_OK && transfer.head_delivered)
        return transfer.ends_with_connection &&
                       !sent_whole_body(transfer.easy.get(), transfer.call.body)
                   ? call_status::truncated
                   : call_status::complete;
    if (transfer.meter.exceeded() || is_too_large(code))
        return call_status::too_large;
    if (transfer.malformed || transfer.stray || is_malformed(code))
        return call_status::malformed;
    if (transfer.head_delivered)
        return call_status::truncated;
    if (code == CURLE_OPERATION_TIMEDOUT)
        return request_sent ? call_status::timed_out : call_status::refused;
    return request_sent ? call_status::reset : call_status::refused;
}

} // namespace

class target_client::worker {
public:
    explicit worker(target_client_options const& options)
        : multi_(curl_multi_init()) {
        curl_multi_setopt(multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                          options.connections_per_target);
        curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS,
                          options.idle_connections);
        thread_ = std::thread([this] { run(); });
    }

    ~worker() {
        stopping_ = true;
        curl_multi_wakeup(multi_.get());
        thread_.join();
        for (auto& [id, transfer] : transfers_)
            curl_multi_remove_handle(multi_.get(), transfer->easy.get());
    }

    void post(std::function<void()> command) {
        {
            std::lock_guard lock(mutex_);
            commands_.push_back(std::move(command));
        }
        curl_multi_wakeup(multi_.get());
    }

    void start(std::unique_ptr<transfer> transfer) {
        auto* started = transfer.get();
        started->started = boot_now();
        started->sockets = &sockets_;
        started->easy = make_easy(*started);
        deadlines_.emplace(started->started + started->call.head_timeout,
                           started->id);
        transfers_.emplace(started->id, std::move(transfer));
        curl_multi_add_handle(multi_.get(), started->easy.get());
    }

    void resume(call_id id) {
        auto const found = transfers_.find(id);
        if (found == transfers_.end() || !found->second->paused)
            return;
        found->second->paused = false;
        curl_easy_pause(found->second->easy.get(), CURLPAUSE_CONT);
    }

    void cancel(call_id id) {
        if (auto const found = transfers_.find(id); found != transfers_.end())
            end(*found->second, call_status::cancelled);
    }

private:
    void run() {
        while (!stopping_) {
            run_commands();
            int running = 0;
            curl_multi_perform(multi_.get(), &running);
            collect_ended();
            expire(boot_now());
            curl_multi_poll(multi_.get(), nullptr, 0, poll_timeout_ms(),
                            nullptr);
        }
    }

    void run_commands() {
        std::vector<std::function<void()>> commands;
        {
            std::lock_guard lock(mutex_);
            commands.swap(commands_);
        }
        for (auto const& command : commands)
            command();
    }

    void collect_ended() {
        int left = 0;
        while (auto* message = curl_multi_info_read(multi_.get(), &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            transfer* ended = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ended);
            auto const code = message->data.result;
            if (ended->unclean) {
                restart(*ended);
                continue;
            }
            bool const sent =
                code == CURLE_OK || !nothing_sent(message->easy_handle, code);
            end(*ended, status_of(code, *ended, sent), sent);
        }
    }

    // Nothing of the request has been sent. libcurl has closed the unclean
    // connection.
    void restart(transfer& again) {
        curl_multi_remove_handle(multi_.get(), again.easy.get());
        again.unclean = false;
        curl_multi_add_handle(multi_.get(), again.easy.get());
    }

    void expire(time_point now) {
        while (!deadlines_.empty() && deadlines_.top().first <= now) {
            auto const id = deadlines_.top().second;
            deadlines_.pop();
            auto const found = transfers_.find(id);
            if (found != transfers_.end() && !found->second->head_delivered)
                end(*found->second, call_status::timed_out);
        }
    }

    void end(transfer& ended, call_status status) {
        end(ended, status,
            !nothing_sent(ended.easy.get(), CURLE_OPERATION_TIMEDOUT));
    }

    void end(transfer& ended, call_status status, bool request_sent) {
        curl_multi_remove_handle(multi_.get(), ended.easy.get());
        auto const owned = transfers_.extract(ended.id);
        ended.observer->on_end({status, request_sent, ended.until_head,
                                boot_now() - ended.started});
    }

    int poll_timeout_ms() const {
        if (deadlines_.empty())
            return max_poll_ms;
        auto const left =
            to_milliseconds(deadlines_.top().first - boot_now()) + 1;
        return static_cast<int>(std::clamp<std::int64_t>(left, 0, max_poll_ms));
    }

    using deadline = std::pair<time_point, call_id>;

    kept_sockets sockets_; ///< outlives the connections
    curl_multi_ptr multi_;
    std::unordered_map<call_id, std::unique_ptr<transfer>> transfers_;
    std::priority_queue<deadline, std::vector<deadline>, std::greater<>>
        deadlines_;
    std::mutex mutex_;
    std::vector<std::function<void()>> commands_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

namespace {

std::atomic<call_id> next_call{1};

} // namespace

target_client::target_client(target_client_options options) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (unsigned i = 0; i < options.threads; ++i)
        workers_.push_back(std::make_unique<worker>(options));
}

target_client::~target_client() = default;

// The worker is part of the id, so that later commands find it.
call_id target_client::start(target_call call,
                             std::shared_ptr<call_observer> observer) {
    // One worker serves all calls to a target, which keeps its connections
    // in one pool.
    auto const index = std::hash<std::string>{}(call.address) % workers_.size();
    auto transfer = std::make_unique<struct transfer>();
    auto const id = next_call++ * workers_.size() + index;
    transfer->id = id;
    transfer->call = std::move(call);
    transfer->observer = std::move(observer);
    auto* worker = workers_[index].get();
    worker->post([worker, shared = std::make_shared<decltype(transfer)>(
                              std::move(transfer))] {
        worker->start(std::move(*shared));
    });
    return id;
}

void target_client::resume(call_id id) {
    auto* worker = workers_[id % workers_.size()].get();
    worker->post([worker, id] { worker->resume(id); });
}

void target_client::cancel(call_id id) {
    auto* worker = workers_[id % workers_.size()].get();
    worker->post([worker, id] { worker->cancel(id); });
}

} // namespace yuccabeam::adapters
