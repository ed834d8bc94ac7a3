#include "exchange.hpp"

#include "yuccabeam/adapters/clock.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace yuccabeam::daemon {

namespace {

using adapters::answer_head;
using adapters::boot_now;
using adapters::call_status;
using adapters::field_value;
using health::request_outcome;

// Targets that one download may use before the caller sees the break.
constexpr std::size_t most_download_attempts = 5;

// A body that no caller gets is read up to this size, so that its connection
// can serve again.
constexpr std::size_t max_dropped_bytes = 64u << 10;

// Time for the head of a download's continuation; the caller's deadline was
// met by the first head.
constexpr std::chrono::seconds continuation_timeout{10};

// A caller's deadline below this multiple of the usual latency says nothing
// about the target when it passes.
constexpr int tight_deadline_factor = 4;

constexpr char const* request_id_field = "Yuccabeam-Request-Id";
constexpr std::string_view not_run = "not-run";
constexpr std::string_view unknown = "unknown";

bool declared_not_run(answer_head const& head) {
    return field_value(head.fields, "Yuccabeam-Not-Run") == "1";
}

bool is_shed(answer_head const& head) {
    return declared_not_run(head) || head.status == 429 ||
           (head.status == 503 &&
            !field_value(head.fields, "Retry-After").empty());
}

bool is_drain_signal(answer_head const& head) {
    bool const closing_for_a_while =
        head.status == 503 &&
        adapters::same_field_name(field_value(head.fields, "Connection"),
                                  "close") &&
        !field_value(head.fields, "Retry-After").empty();
    return field_value(head.fields, "Yuccabeam-Drain") == "1" ||
           closing_for_a_while;
}

request_outcome outcome_of(answer_head const& head) {
    if (is_shed(head))
        return request_outcome::shed;
    if (head.status >= 500 ||
        head.framing == adapters::body_framing::until_close)
        return request_outcome::server_error;
    return head.status >= 400 ? request_outcome::caller_error
                              : request_outcome::ok;
}

request_outcome outcome_of(call_status status) {
    switch (status) {
    case call_status::refused:
        return request_outcome::refused;
    case call_status::reset:
        return request_outcome::reset;
    case call_status::timed_out:
        return request_outcome::timeout;
    case call_status::truncated:
        return request_outcome::short_answer;
    case call_status::malformed:
    case call_status::too_large:
        return request_outcome::server_error;
    case call_status::complete:
    case call_status::cancelled:
        break;
    }
    return request_outcome::cancelled;
}

} // namespace

exchange::exchange(proxy& owner, routing_state const& state, route route,
                   adapters::http_request request,
                   adapters::http_responder_ptr responder, run_guard_ptr guard,
                   time_point now)
    : owner_(owner), route_(std::move(route)),
      pool_(state.pools.at(route_.service)), request_(std::move(request)),
      answer_(std::move(responder), owner.client_),
      guard_(std::move(guard)), account_{std::string(field_value(
                                    request_.fields, "Yuccabeam-Account"))},
      arrived_(now),
      deadline_(now + requested_timeout(request_.fields, route_.timeout)),
      idempotent_(is_idempotent(route_, request_.method)) {
    ++owner_.running_;
    log_.id = owner.next_request_id();
    log_.service = route_.service;
    log_.kind = route_.id;
    log_.method = request_.method;
    log_.idempotent = idempotent_;
    if (auto const weight = state.account_weights.find(account_);
        weight != state.account_weights.end())
        weight_ = weight->second;
}

exchange::~exchange() {
    --owner_.running_;
}

void exchange::start() {
    answer_.responder().on_closed([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->caller_closed();
    });
    acquire_target();
}

void exchange::acquire_target() {
    pool_request wanted;
    wanted.kind = route_.id;
    wanted.account = account_;
    wanted.weight = weight_;
    wanted.priority = route_.priority;
    wanted.deadline = std::max(deadline_, boot_now());
    if (download_)
        wanted.deadline += continuation_timeout;
    wanted.idempotent = idempotent_;
    wanted.tried = tried_;
    pool_->acquire(std::move(wanted), shared_from_this(), boot_now());
}

adapters::target_call exchange::make_call(std::string const& address) const {
    adapters::target_call call;
    auto const left = std::chrono::milliseconds(
        std::max<std::int64_t>(1, to_milliseconds(deadline_ - boot_now())));
    call.address = address;
    call.method = request_.method;
    call.request_target = request_.target;
    call.fields = fields_for_target(request_.fields);
    call.fields.push_back({request_id_field, log_.id});
    call.head_timeout = left;
    call.connect_timeout = std::min(call.connect_timeout, left);
    call.body = request_.body;
    call.fresh_connection = !idempotent_;
    call.match_field = request_id_field;
    call.match_value = log_.id;
    if (phase_ == phase::streaming) {
        call.head_timeout = continuation_timeout;
        call.fields.push_back(
            {"Range", "bytes=" + std::to_string(answer_.delivered()) + "-"});
        call.fields.push_back({"If-Range", download_->etag});
    }
    call.fields.push_back(
        {"Yuccabeam-Deadline-Ms", std::to_string(call.head_timeout.count())});
    return call;
}

void exchange::dispatched(attempt_ptr started) {
    std::unique_lock lock(mutex_);
    if (phase_ == phase::ended) {
        lock.unlock();
        pool_->release(*started, {request_outcome::cancelled}, boot_now());
        return;
    }
    if (phase_ == phase::waiting)
        phase_ = phase::calling;
    if (guard_ && !guard_->may_send(boot_now(), deadline_)) {
        answer_fault(503, may_have_run_ ? unknown : not_run,
                     "the permission for this key ran out");
        lock.unlock();
        pool_->release(*started, {request_outcome::cancelled}, boot_now());
        return;
    }
    attempt_ = std::move(started);
    tried_.push_back(attempt_->record);
    head_.reset();
    failed_answer_.reset();
    dropped_bytes_ = 0;
    answer_.next_call();
    call_ =
        owner_.client_.start(make_call(attempt_->address), shared_from_this());
}

void exchange::refused(refusal reason) {
    std::lock_guard lock(mutex_);
    if (phase_ == phase::ended)
        return;
    if (phase_ == phase::streaming)
        return break_answer("no other target for the rest of the download");
    auto const outcome = may_have_run_ ? unknown : not_run;
    switch (reason) {
    case refusal::no_target:
        return answer_fault(503, outcome,
                            "no target of the service can take the request");
    case refusal::queue_full:
        return answer_fault(503, outcome, "the service is overloaded");
    case refusal::cannot_finish:
        return answer_fault(504, outcome,
                            "the request could not finish in time");
    }
}

void exchange::on_head(answer_head head) {
    std::lock_guard lock(mutex_);
    pool_->head_arrived(*attempt_);
    head_ = std::move(head);
    if (phase_ == phase::ended)
        return;
    if (phase_ == phase::streaming) {
        bad_continuation_ = !continues(*download_, answer_.delivered(), *head_);
        return;
    }
    // Without length or chunks nobody can tell whether an answer is whole.
    bool const unframed = head_->framing == adapters::body_framing::until_close;
    if (declared_not_run(*head_))
        failed_answer_ = retry::failure_kind::declared_not_run;
    else if (unframed || (idempotent_ && head_->status >= 500))
        failed_answer_ = retry::failure_kind::other;
    else
        begin_answer(*head_);
}

void exchange::begin_answer(answer_head const& head) {
    phase_ = phase::streaming;
    download_ = resumable(request_.method, head);
    auto fields = fields_for_caller(head.fields);
    fields.push_back({request_id_field, log_.id});
    if (!idempotent_)
        fields.push_back({"Yuccabeam-Ticket", owner_.tickets_->issue()});
    if (guard_)
        guard_->end(retry::run_outcome::ran, head.status, [](auto) {});
    answer_.start(head, fields);
}

bool exchange::on_data(std::string_view part) {
    std::lock_guard lock(mutex_);
    if (phase_ != phase::streaming || failed_answer_ || bad_continuation_) {
        drop(part.size());
        return true;
    }
    return answer_.write(part,
                         [self = shared_from_this()](auto bytes, bool sent) {
                             self->part_written(bytes, sent);
                         });
}

void exchange::drop(std::size_t bytes) {
    dropped_bytes_ += bytes;
    if (dropped_bytes_ > max_dropped_bytes)
        owner_.client_.cancel(call_);
}

void exchange::part_written(std::size_t bytes, bool written) {
    std::lock_guard lock(mutex_);
    answer_.written(bytes, call_);
    if (written || phase_ == phase::ended)
        return;
    record_end("broken", head_ ? head_->status : 0, "the caller left");
    owner_.client_.cancel(call_);
}

void exchange::caller_closed() {
    std::lock_guard lock(mutex_);
    if (phase_ == phase::ended)
        return;
    record_end("broken", head_ ? head_->status : 0, "the caller left");
    if (attempt_)
        owner_.client_.cancel(call_);
}

attempt_end exchange::classify(adapters::call_end const& end) const {
    attempt_end out;
    bool const cut_off = end.status == call_status::cancelled && failed_answer_;
    bool const answered =
        head_ && (end.status == call_status::complete || cut_off);
    out.outcome = answered ? outcome_of(*head_) : outcome_of(end.status);
    out.until_head = head_ ? end.until_head : end.total;
    out.drain_signal = head_ && is_drain_signal(*head_);
    bool const tight =
        end.total < tight_deadline_factor * pool_->usual_latency();
    if (out.outcome == request_outcome::timeout && tight)
        out.outcome = request_outcome::cancelled;
    return out;
}

void exchange::on_end(adapters::call_end end) {
    std::unique_lock lock(mutex_);
    auto const ended = std::move(attempt_);
    auto const seen = classify(end);
    log_.attempts.push_back({ended->target,
                             std::string(health::to_string(seen.outcome)),
                             boot_now() - arrived_});
    lock.unlock();
    // Released first, so that a retry sees the evidence of this attempt.
    pool_->release(*ended, seen, boot_now());
    lock.lock();
    end_attempt(end);
    bool const again = std::exchange(wants_target_, false);
    lock.unlock();
    if (again)
        acquire_target();
}

void exchange::end_attempt(adapters::call_end const& end) {
    if (phase_ == phase::ended)
        return;
    if (phase_ == phase::streaming)
        end_streaming(end);
    else if (failed_answer_)
        attempt_failed(*failed_answer_);
    else
        attempt_failed(end.request_sent ? retry::failure_kind::other
                                        : retry::failure_kind::connect_refused);
}

void exchange::end_streaming(adapters::call_end const& end) {
    if (bad_continuation_)
        return break_answer("the other target has other content");
    if (end.status == call_status::complete) {
        answer_.finish();
        return record_end("answered", head_->status, "");
    }
    if (!download_ || tried_.size() >= most_download_attempts)
        return break_answer("the target's answer ended too early");
    wants_target_ = true;
}

void exchange::attempt_failed(retry::failure_kind failure) {
    auto const now = boot_now();
    auto const conditions = pool_->conditions(tried_, now);
    retry::failed_attempt failed;
    failed.idempotent = idempotent_;
    failed.failure = failure;
    failed.earlier_may_have_run = may_have_run_;
    failed.attempts = static_cast<std::uint32_t>(tried_.size());
    failed.deadline_left = deadline_ - now;
    failed.service_time = pool_->usual_latency();
    failed.budget_available = conditions.budget_available;
    failed.overloaded = conditions.overloaded;
    failed.other_target_available = conditions.other_target_available;
    may_have_run_ = retry::may_have_run(failed);
    switch (retry::decide_retry(failed)) {
    case retry::retry_decision::retry_elsewhere:
        // Another request may have taken the last token meanwhile.
        if (pool_->take_retry()) {
            phase_ = phase::waiting;
            wants_target_ = true;
            return;
        }
        return answer_fault(502, may_have_run_ ? unknown : not_run,
                            "the target failed and the retry budget is "
                            "used up");
    case retry::retry_decision::answer_not_run:
        return answer_fault(503, not_run, "no target ran the request");
    case retry::retry_decision::answer_unknown:
        return answer_fault(502, unknown,
                            "the target gave no valid answer; the request "
                            "may have run");
    }
}

void exchange::break_answer(std::string_view reason) {
    answer_.abort();
    record_end("broken", head_ ? head_->status : 0, reason);
}

void exchange::answer_fault(int status, std::string_view outcome,
                            std::string_view reason) {
    auto send = [self = shared_from_this(), status,
                 reason = std::string(reason)](retry::run_outcome settled) {
        auto const said =
            settled == retry::run_outcome::not_run ? not_run : unknown;
        auto reply = fault_reply(status, self->log_.id, said, reason);
        if (!self->idempotent_)
            reply.fields.push_back(
                {"Yuccabeam-Ticket", self->owner_.tickets_->issue()});
        self->answer_.responder().send(std::move(reply));
    };
    record_end(outcome, status, reason);
    auto const run = outcome == not_run ? retry::run_outcome::not_run
                                        : retry::run_outcome::unknown;
    // A claimed key has to be free again before `not-run` may be told.
    if (guard_)
        guard_->end(run, status, std::move(send));
    else
        send(run);
}

void exchange::record_end(std::string_view outcome, int status,
                          std::string_view reason) {
    phase_ = phase::ended;
    log_.outcome = outcome;
    log_.status = status;
    log_.reason = reason;
    log_.total = boot_now() - arrived_;
    owner_.metrics_.on_request({route_.service.value, route_.id.value,
                                account_.value, outcome,
                                to_seconds(log_.total)});
    owner_.log_.add(log_);
}

} // namespace yuccabeam::daemon
