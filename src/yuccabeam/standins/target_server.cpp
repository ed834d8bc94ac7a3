#include "yuccabeam/standins/target_server.hpp"

#include "target_state.hpp"

#include <algorithm>
#include <charconv>

namespace yuccabeam::standins {

struct slot_pool::waiter {
    asio::steady_timer timer;
    ready_handler ready;
    bool settled = false;

    void settle(bool has_slot) {
        settled = true;
        timer.cancel();
        auto const call = std::move(ready);
        call(has_slot);
    }
};

std::shared_ptr<slot_pool::waiter>
slot_pool::acquire(monotonic::duration longest_wait, ready_handler ready) {
    if (busy_ < options_.slots) {
        ++busy_;
        ready(true);
        return nullptr;
    }
    auto const most = std::size_t{options_.slots} * options_.waiting_per_slot;
    if (waiters_.size() >= most || longest_wait <= monotonic::duration{}) {
        ready(false);
        return nullptr;
    }
    auto entry = std::make_shared<waiter>(
        waiter{asio::steady_timer(context_, longest_wait), std::move(ready)});
    waiters_.push_back(entry);
    entry->timer.async_wait([this, entry](std::error_code const&) {
        std::erase(waiters_, entry);
        if (!entry->settled)
            entry->settle(false);
    });
    return entry;
}

void slot_pool::cancel(waiter& entry) {
    entry.settled = true;
    entry.ready = nullptr;
    entry.timer.cancel();
}

void slot_pool::release() {
    --busy_;
    while (busy_ < options_.slots && !waiters_.empty()) {
        auto const next = waiters_.front();
        waiters_.pop_front();
        if (next->settled)
            continue;
        ++busy_;
        next->settle(true);
    }
}

void target_server::state::listen() {
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(1024);
}

void target_server::state::accept(std::shared_ptr<target_server> const& owner) {
    acceptor.async_accept(
        [this, owner](std::error_code error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted || !acceptor.is_open())
                return;
            if (!error && sessions.size() >= options.connections) {
                ++stats.connections_rejected;
                std::error_code ignored;
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            } else if (!error) {
                ++stats.connections;
                start_session(std::move(socket), owner, *this);
            }
            accept(owner);
        });
}

void target_server::state::sample_load() {
    load_timer.expires_after(options.load_period);
    load_timer.async_wait([this](std::error_code const& error) {
        if (error)
            return;
        shown = newest;
        newest = {slots.busy(), slots.waiting()};
        sample_load();
    });
}

double target_server::state::draw() {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

std::chrono::nanoseconds
target_server::state::service_time(failure fail, bool new_connection,
                                   std::string_view override_ms) {
    std::chrono::duration<double> base = options.service_time;
    unsigned asked_ms = 0;
    auto const end = override_ms.data() + override_ms.size();
    if (!override_ms.empty() &&
        std::from_chars(override_ms.data(), end, asked_ms).ec == std::errc{})
        base = std::chrono::milliseconds(std::min(asked_ms, 600'000U));
    // 20% to either side: equal times would let requests march in step.
    base *= 0.8 + 0.4 * draw();
    base *= cold_factor(monotonic::now() - cold_since,
                        std::chrono::milliseconds(control.cold_ms));
    if (fail == failure::slow)
        base *= control.slow_factor;
    if (new_connection)
        base += options.connection_cost;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(base);
}

std::string target_server::state::stats_json() const {
    nlohmann::json out = stats;
    out.update(log.totals());
    out["busy"] = slots.busy();
    out["waiting"] = slots.waiting();
    out["open_connections"] = sessions.size();
    out["control"] = control;
    return out.dump();
}

target_server::target_server(asio::io_context& context,
                             target_directory const& directory,
                             std::string const& address, std::uint16_t port,
                             target_options const& options)
    : state_(std::make_unique<state>(
          context, directory,
          asio::ip::tcp::endpoint(asio::ip::make_address(address), port),
          options)) {
    state_->listen();
    // Set once: other threads read the port.
    state_->endpoint = state_->acceptor.local_endpoint();
}

target_server::~target_server() = default;

std::uint16_t target_server::port() const {
    return state_->endpoint.port();
}

asio::io_context& target_server::context() {
    return state_->context;
}

void target_server::start() {
    state_->accept(shared_from_this());
    state_->sample_load();
}

text_answer target_server::apply(nlohmann::json const& document) {
    std::vector<json_fault> faults;
    json_reader reader(document, "", faults);
    auto const next = parse_control(reader, state_->control);
    reader.finish();
    if (!faults.empty())
        return {400, describe(faults)};
    if (document.contains("cold_ms"))
        state_->cold_since = monotonic::now();
    if (document.contains("seed"))
        state_->random.seed(static_cast<std::uint64_t>(next.seed));
    auto const refused = state_->control.fail == failure::refuse;
    auto const refuses = next.fail == failure::refuse;
    if (refuses && state_->directory.size() < 2)
        return {409, "a target that refuses needs another port in the same "
                     "process for its control\n"};
    try {
        if (refused && !refuses) {
            state_->listen();
            state_->accept(shared_from_this());
        }
    } catch (std::system_error const& error) {
        return {503, std::string("can't listen again: ") + error.what()};
    }
    state_->control = next;
    if (refuses && !refused) {
        state_->acceptor.close();
        for (auto* session : std::set(state_->sessions))
            reset_session(*session);
    }
    return {200, nlohmann::json(state_->control).dump()};
}

void target_server::stop() {
    std::error_code ignored;
    state_->acceptor.close(ignored);
    state_->load_timer.cancel();
    for (auto* session : std::set(state_->sessions))
        reset_session(*session);
}

void target_directory::add(std::shared_ptr<target_server> target) {
    targets_.push_back(std::move(target));
}

std::shared_ptr<target_server>
target_directory::find(std::uint16_t port) const {
    for (auto const& target : targets_)
        if (target->port() == port)
            return target;
    return nullptr;
}

} // namespace yuccabeam::standins
