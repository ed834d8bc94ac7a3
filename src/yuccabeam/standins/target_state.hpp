#pragma once

#include "yuccabeam/standins/target_server.hpp"

#include <asio.hpp>
#include <deque>
#include <functional>
#include <random>
#include <set>

namespace yuccabeam::standins {

using monotonic = std::chrono::steady_clock;

/// Slots of a target with a short queue in front.
class slot_pool {
public:
    /// Called once: true with a slot, false when the request is shed.
    using ready_handler = std::function<void(bool)>;
    struct waiter;

    slot_pool(asio::io_context& context, target_options const& options)
        : context_(context), options_(options) {}

    /// Null when the handler was called at once.
    std::shared_ptr<waiter> acquire(monotonic::duration longest_wait,
                                    ready_handler ready);
    static void cancel(waiter& entry);
    void release();
    /// A probe takes time beside the slots, so that probes always answer.
    void occupy() { ++busy_; }

    unsigned busy() const { return busy_; }
    std::size_t waiting() const { return waiters_.size(); }

private:
    asio::io_context& context_;
    target_options const& options_;
    unsigned busy_ = 0;
    std::deque<std::shared_ptr<waiter>> waiters_;
};

class target_session;

struct load_sample {
    unsigned busy = 0;
    std::size_t waiting = 0;
};

struct target_server::state {
    asio::io_context& context;
    target_directory const& directory;
    asio::ip::tcp::endpoint endpoint;
    target_options options;
    target_control control;
    monotonic::time_point cold_since = monotonic::now();
    std::mt19937_64 random;
    target_stats stats;
    execution_log log;
    slot_pool slots;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer load_timer;
    load_sample shown;
    load_sample newest;
    std::set<target_session*> sessions;

    state(asio::io_context& io, target_directory const& targets,
          asio::ip::tcp::endpoint const& local, target_options const& opts)
        : context(io), directory(targets), endpoint(local), options(opts),
          random(static_cast<std::uint64_t>(control.seed)), slots(io, options),
          acceptor(io), load_timer(io) {}

    void listen();
    void accept(std::shared_ptr<target_server> const& owner);
    void sample_load();
    double draw();
    std::chrono::nanoseconds service_time(failure fail, bool new_connection,
                                          std::string_view override_ms);
    std::string stats_json() const;
};

/// Serves one connection until it ends; keeps itself alive.
void start_session(asio::ip::tcp::socket socket,
                   std::shared_ptr<target_server> owner,
                   target_server::state& target);
/// Resets the connection. One that waits for the answer to a control request
/// closes after that answer instead.
void reset_session(target_session& session);

} // namespace yuccabeam::standins
