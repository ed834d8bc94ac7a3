#include "yuccabeam/standins/store_server.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/adapters/http_server.hpp"
#include "yuccabeam/adapters/timer_service.hpp"
#include "yuccabeam/standins/store_state.hpp"
#include "yuccabeam/values/json_reader.hpp"

#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

namespace yuccabeam::standins {

namespace {

using adapters::boot_now;
using adapters::field_value;
using adapters::http_reply;
using adapters::http_request;
using adapters::http_responder_ptr;
using nlohmann::json;

constexpr std::chrono::milliseconds watch_tick{20};

enum class mode { up, down, slow };

std::vector<std::pair<std::string_view, mode>> const mode_words = {
    {"up", mode::up}, {"down", mode::down}, {"slow", mode::slow}};

// Milliseconds or a number of replies; the range keeps sums of times valid.
constexpr integer_range control_range{0, 1'000'000'000};

struct waiting_watch {
    std::string key;
    std::uint64_t after = 0;
    time_point until;
    http_responder_ptr responder;
};

struct call_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t vm_lists = 0;
    std::uint64_t refused = 0; ///< while down
};

std::uint64_t number(std::string_view text) {
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

// Value of a parameter of the request target's query.
std::uint64_t parameter(std::string_view target, std::string const& name) {
    auto const at = target.find(name + "=");
    return at == std::string_view::npos
               ? 0
               : number(target.substr(at + name.size() + 1));
}

http_reply value_reply(stored_value const& stored) {
    return {200,
            {{"Version", std::to_string(stored.version)},
             {"Content-Type", "application/octet-stream"}},
            stored.value};
}

http_reply write_reply(write_result const& written) {
    int status = 200;
    if (written.status == write_status::conflict)
        status = 409;
    if (written.status == write_status::too_large)
        status = 413;
    json const body = {{"version", written.version}};
    return adapters::json_reply(status, body.dump());
}

} // namespace

struct store_server::implementation {
    store_server_options options;
    std::mutex mutex;
    store_state state;
    call_counts calls;
    standins::mode mode = mode::up;
    std::chrono::milliseconds slow{0};
    std::uint64_t drop_replies = 0;
    std::chrono::milliseconds vm_lag{0};
    std::vector<std::pair<time_point, std::string>> vm_lists;
    std::vector<waiting_watch> watches;
    // The body limit lets too large values reach the state's own check.
    adapters::http_server server{
        {.address = options.address,
         .threads = 2,
         .max_body_bytes = store_state::max_value_bytes + 1},
        [this](auto request, auto responder) {
            handle(std::move(request), std::move(responder));
        }};
    adapters::timer_service timers;

    explicit implementation(store_server_options given)
        : options(std::move(given)) {}

    void handle(http_request request, http_responder_ptr responder) {
        if (request.target == "/v1/control")
            return responder->send(control(request.body));
        if (request.target == "/v1/stats")
            return responder->send(statistics());
        std::unique_lock lock(mutex);
        if (mode == mode::down) {
            ++calls.refused;
            lock.unlock();
            return responder->abort();
        }
        auto const delay = mode == mode::slow ? slow : slow.zero();
        lock.unlock();
        if (delay == delay.zero())
            return serve(request, responder);
        timers.after(delay, [this, request = std::move(request),
                             responder](auto) { serve(request, responder); });
    }

    void serve(http_request const& request,
               http_responder_ptr const& responder) {
        if (request.target.starts_with("/v1/watch/"))
            return start_watch(request, responder);
        if (request.target == "/v1/vms")
            return responder->send(
                request.method == "PUT" ? write_vms(request.body) : read_vms());
        if (!request.target.starts_with("/v1/kv/"))
            return responder->send(
                adapters::json_reply(404, R"({"reason":"no such endpoint"})"));
        if (request.method == "GET")
            return responder->send(read(request));
        bool lost = false;
        auto reply = write(request, lost);
        finish_watches(boot_now());
        lost ? responder->abort() : responder->send(std::move(reply));
    }

    static std::string key_of(http_request const& request) {
        return request.target.substr(std::string("/v1/kv/").size());
    }

    http_reply read(http_request const& request) {
        std::lock_guard lock(mutex);
        ++calls.reads;
        auto const found = state.read(key_of(request), boot_now());
        return found ? value_reply(*found) : adapters::json_reply(404, "{}");
    }

    http_reply write(http_request const& request, bool& lost) {
        std::lock_guard lock(mutex);
        ++calls.writes;
        auto const expected = number(field_value(request.fields, "If-Version"));
        auto const lease = field_value(request.fields, "Lease-Ms");
        std::optional<duration> ends;
        if (!lease.empty())
            ends = std::chrono::milliseconds(number(lease));
        auto const key = key_of(request);
        auto const written =
            request.method == "DELETE"
                ? state.remove(key, expected, boot_now())
                : state.write(key, request.body, expected, ends, boot_now());
        lost = drop_replies > 0;
        if (lost)
            --drop_replies;
        return write_reply(written);
    }

    void start_watch(http_request const& request,
                     http_responder_ptr const& responder) {
        auto const path = request.target.substr(0, request.target.find('?'));
        waiting_watch watch;
        watch.key = path.substr(std::string("/v1/watch/").size());
        watch.after = parameter(request.target, "after");
        watch.until = boot_now() + std::chrono::milliseconds(
                                       parameter(request.target, "wait_ms"));
        watch.responder = responder;
        {
            std::lock_guard lock(mutex);
            ++calls.watches;
            watches.push_back(std::move(watch));
        }
        finish_watches(boot_now());
    }

    // Answers the watches that have news or have waited long enough.
    void finish_watches(time_point now) {
        std::vector<std::pair<http_responder_ptr, http_reply>> answers;
        std::vector<http_responder_ptr> broken;
        {
            std::lock_guard lock(mutex);
            std::erase_if(watches, [&](waiting_watch& watch) {
                if (mode == mode::down) {
                    broken.push_back(std::move(watch.responder));
                    return true;
                }
                auto const found = state.read(watch.key, now);
                bool const news = found && found->version > watch.after;
                if (!news && now < watch.until)
                    return false;
                answers.emplace_back(std::move(watch.responder),
                                     news ? value_reply(*found)
                                          : http_reply{204, {}, ""});
                return true;
            });
        }
        for (auto& [responder, reply] : answers)
            responder->send(std::move(reply));
        for (auto const& responder : broken)
            responder->abort();
    }

    http_reply write_vms(std::string const& body) {
        std::lock_guard lock(mutex);
        vm_lists.emplace_back(boot_now(), body);
        return adapters::json_reply(200, "{}");
    }

    http_reply read_vms() {
        std::lock_guard lock(mutex);
        ++calls.vm_lists;
        auto const shown = boot_now() - vm_lag;
        std::string list = "[]";
        for (auto const& [time, body] : vm_lists)
            if (time <= shown)
                list = body;
        return adapters::json_reply(200, list);
    }

    // A wrong request changes nothing.
    http_reply control(std::string const& body) {
        std::vector<json_fault> faults;
        auto const wanted = parse_json(body, faults);
        std::lock_guard lock(mutex);
        auto next_mode = mode;
        std::int64_t slow_ms = slow.count();
        auto drops = static_cast<std::int64_t>(drop_replies);
        std::int64_t lag_ms = vm_lag.count();
        if (wanted) {
            json_reader reader(*wanted, "", faults);
            next_mode = reader.word_or("mode", mode, mode_words);
            slow_ms = reader.integer_or("slow_ms", slow_ms, control_range);
            drops = reader.integer_or("drop_replies", drops, control_range);
            lag_ms = reader.integer_or("vm_lag_ms", lag_ms, control_range);
            reader.finish();
        }
        if (!faults.empty())
            return adapters::json_reply(
                400, json{{"reason", describe(faults)}}.dump());
        mode = next_mode;
        slow = std::chrono::milliseconds(slow_ms);
        drop_replies = static_cast<std::uint64_t>(drops);
        vm_lag = std::chrono::milliseconds(lag_ms);
        return adapters::json_reply(200, "{}");
    }

    http_reply statistics() {
        std::lock_guard lock(mutex);
        json const body = {{"reads", calls.reads},
                           {"writes", calls.writes},
                           {"watches", calls.watches},
                           {"vm_lists", calls.vm_lists},
                           {"refused", calls.refused}};
        return adapters::json_reply(200, body.dump());
    }
};

store_server::store_server(store_server_options options)
    : self_(std::make_unique<implementation>(std::move(options))) {}

store_server::~store_server() = default;

std::uint16_t store_server::port() const {
    return self_->server.port();
}

result<void> store_server::start() {
    self_->timers.every(watch_tick, [self = self_.get()](auto now) {
        self->finish_watches(now);
    });
    return self_->server.start();
}

} // namespace yuccabeam::standins
