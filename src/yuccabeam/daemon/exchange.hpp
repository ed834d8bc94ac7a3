#pragma once

#include "yuccabeam/daemon/answer_stream.hpp"
#include "yuccabeam/daemon/http_rules.hpp"
#include "yuccabeam/daemon/proxy.hpp"
#include "yuccabeam/daemon/run_guard.hpp"
#include "yuccabeam/retry/decide.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::daemon {

/// One caller's request from its arrival to the end of its answer.
///
/// Events come from the caller's connection, the target client and the
/// service pool in different threads; the mutex orders them.
class exchange final : public adapters::call_observer,
                       public waiting_request,
                       public std::enable_shared_from_this<exchange> {
public:
    /// `guard` is the permission of a keyed request, or null.
    exchange(proxy& owner, routing_state const& state, route route,
             adapters::http_request request,
             adapters::http_responder_ptr responder, run_guard_ptr guard,
             time_point now);
    ~exchange() override;

    void start();

    void dispatched(attempt_ptr started) override;
    void refused(refusal reason) override;

    void on_head(adapters::answer_head head) override;
    bool on_data(std::string_view part) override;
    void on_end(adapters::call_end end) override;

private:
    enum class phase { waiting, calling, streaming, ended };

    void acquire_target();
    adapters::target_call make_call(std::string const& address) const;
    void caller_closed();
    void drop(std::size_t bytes);
    void part_written(std::size_t bytes, bool written);

    void begin_answer(adapters::answer_head const& head);
    attempt_end classify(adapters::call_end const& end) const;
    void end_attempt(adapters::call_end const& end);
    void end_streaming(adapters::call_end const& end);
    void attempt_failed(retry::failure_kind failure);
    void break_answer(std::string_view reason);
    void answer_fault(int status, std::string_view outcome,
                      std::string_view reason);
    void record_end(std::string_view outcome, int status,
                    std::string_view reason);

    proxy& owner_;
    route route_;
    service_pool_ptr pool_;
    adapters::http_request request_;
    answer_stream answer_;
    run_guard_ptr guard_;
    logged_request log_;
    account_id account_;
    std::uint32_t weight_ = 1;
    time_point arrived_;
    time_point deadline_;
    bool idempotent_;

    std::mutex mutex_;
    phase phase_ = phase::waiting;
    bool may_have_run_ = false;
    bool wants_target_ = false; ///< another attempt is to follow
    std::vector<std::shared_ptr<target_record>> tried_;

    // The running attempt.
    attempt_ptr attempt_;
    adapters::call_id call_ = 0;
    std::optional<adapters::answer_head> head_;
    /// The head asks for another attempt; its body is dropped.
    std::optional<retry::failure_kind> failed_answer_;
    std::size_t dropped_bytes_ = 0;

    // Answer to the caller.
    std::optional<resumable_download> download_;
    bool bad_continuation_ = false;
};

} // namespace yuccabeam::daemon
