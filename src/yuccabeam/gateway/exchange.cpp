#include "yuccabeam/gateway/exchange.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/gateway/responses.hpp"
#include "yuccabeam/gateway/target_description.hpp"
#include "yuccabeam/net/one_shot_timer.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace yuccabeam::gateway {

namespace {

using adapters::boot_now;
using http1::client_result;
using http1::field_value;
using http1::same_field_name;
using placement::attempt_outcome;
using placement::dispatch_action;
using placement::dispatch_step;

// Connecting within a region takes milliseconds. A target that has not accepted
// by then is partitioned or down, and nothing has been sent to it.
constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::milliseconds retry_after_refusal{400};
// The request's deadline ends an attempt. The client's own timeout is later by
// this margin, so that the decision is made in one place.
constexpr std::chrono::seconds client_limit_margin{1};

std::optional<std::int64_t> number(std::string_view text) {
    std::int64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || rest != end || value < 0)
        return std::nullopt;
    return value;
}

std::string_view kind_of(route const& route) {
    if (route.large_answers)
        return "download";
    return route.idempotence == idempotence::always ? "idempotent"
                                                    : "non_idempotent";
}

/// Serves one request: performs the I/O for the steps that the request's state
/// machine decides on.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(exchange_dependencies const& dependencies, routed_request request)
        : dependencies_(dependencies), request_(std::move(request)),
          id_(request_id_of(request_.request, dependencies.headers)),
          body_(std::make_shared<std::string const>(
              std::move(request_.request.body))),
          service_(request_.service
                       ? *request_.service
                       : pick_service(request_.route, dependencies.random)),
          deadline_(deadline_of(request_, dependencies.headers)),
          dispatch_(dispatch_request(), dispatch_dependencies()),
          deadline_timer_(dependencies.executor),
          check_timer_(dependencies.executor) {}

    void start() {
        deadline_timer_.start(
            std::max<duration>(deadline_ - boot_now(), {}),
            [self = shared_from_this()] {
                if (!self->dispatch_.ended())
                    self->execute(self->dispatch_.on_deadline(boot_now()));
            });
        request_.responder->on_disconnect(
            [self = shared_from_this()] { self->on_caller_disconnected(); });
        if (!dispatch_.ended())
            execute(dispatch_.start(boot_now()));
    }

private:
    placement::dispatch_request dispatch_request() const {
        placement::dispatch_request out;
        out.service = service_;
        out.idempotent = request_.route.idempotence == idempotence::always ||
                         request_.route.large_answers;
        out.max_attempts = request_.route.max_attempts;
        out.latency_objective = request_.route.latency_objective;
        out.deadline = deadline_;
        return out;
    }

    placement::dispatch_dependencies dispatch_dependencies() const {
        return {dependencies_.target_table, *dependencies_.budget(service_),
                [&dependencies = dependencies_,
                 service = service_](time_point now) {
                    return dependencies.may_retry(service, now);
                }};
    }

    std::chrono::milliseconds time_left() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline_ - boot_now());
    }

    // --- executing a step ---------------------------------------------------

    void execute(dispatch_step const& step) {
        for (auto const& update : step.updates)
            dependencies_.publish_notice(update.notice, service_,
                                         update.repeated);
        for (auto const& activity : step.activity)
            dependencies_.publish_activity(activity);
        switch (step.action) {
        case dispatch_action::wait:
            if (dispatch_.waiting())
                dependencies_.counters.count("slot_looks");
            set_check_timer();
            break;
        case dispatch_action::send:
            send(step.attempt);
            break;
        case dispatch_action::deliver:
            deliver(step.attempt);
            break;
        case dispatch_action::end:
            count_abandoned_attempts();
            end_without_answer(step.reason);
            break;
        }
    }

    void send(std::size_t attempt) {
        key_removed_ = key_removed_ || !key_is_valid();
        if (key_removed_) {
            execute(
                dispatch_.withdraw(attempt, unknown_key_reason, boot_now()));
            return;
        }
        calls_.resize(attempt + 1);
        calls_[attempt] = dependencies_.targets.start(
            client_request(attempt),
            [self = shared_from_this(), attempt](client_result result) {
                self->on_result(attempt, std::move(result));
            });
        set_check_timer();
    }

    http1::client_request client_request(std::size_t attempt) const {
        auto const& current = dispatch_.attempts()[attempt];
        http1::client_request out;
        auto const& head = request_.request.head;
        out.address = current.to.address;
        out.method = head.method;
        out.target = head.target;
        out.fields = fields_for(current.to);
        out.shared_body = body_;
        out.connect_timeout = connect_timeout;
        out.timeout = time_left() + client_limit_margin;
        out.reuse = current.may_reuse && can_match_response(attempt);
        out.match_field = dependencies_.headers.request_id;
        out.match_value = id_;
        return out;
    }

    // All attempts of a request carry the same id. On a connection that has
    // served an earlier attempt, a stray response to that one can't be
    // distinguished from the response to this one.
    bool can_match_response(std::size_t attempt) const {
        auto const current =
            dispatch_.attempts().begin() + static_cast<std::ptrdiff_t>(attempt);
        auto const same_address = [&](auto const& earlier) {
            return earlier.to.address == current->to.address;
        };
        return !id_.empty() && std::none_of(dispatch_.attempts().begin(),
                                            current, same_address);
    }

    http1::http_fields fields_for(target const& to) const {
        http1::http_fields out;
        for (auto& field :
             http1::end_to_end_fields(request_.request.head.fields))
            if (!is_replaced(field.name))
                out.push_back(std::move(field));
        out.push_back(
            {dependencies_.headers.time_left_ms,
             std::to_string(std::max<std::int64_t>(time_left().count(), 1))});
        out.push_back({dependencies_.headers.expected_target, to.id.value});
        if (request_.account && !dependencies_.headers.account.empty())
            out.push_back(
                {dependencies_.headers.account, request_.account->id.value});
        return out;
    }

    // Fields that the daemon sets itself or keeps from the target.
    bool is_replaced(std::string_view name) const {
        auto const& headers = dependencies_.headers;
        bool const identity = request_.hide_credentials &&
                              (same_field_name(name, "Authorization") ||
                               same_field_name(name, headers.account));
        return identity || same_field_name(name, headers.time_left_ms) ||
               same_field_name(name, headers.expected_target) ||
               same_field_name(name, "Expect");
    }

    // The key may have been removed while the request waited.
    bool key_is_valid() const {
        if (!request_.key || request_.route.anonymous)
            return true;
        auto const holder = dependencies_.find_account(*request_.key);
        return holder && holder->id == request_.account->id;
    }

    void set_check_timer() {
        auto const due = dispatch_.next_check();
        if (!due)
            return;
        check_timer_.start(std::max<duration>(*due - boot_now(), {}),
                           [self = shared_from_this()] { self->on_check(); });
    }

    void on_check() {
        if (dispatch_.ended())
            return;
        auto const step = dispatch_.on_check(boot_now());
        if (step.action == dispatch_action::send) {
            dependencies_.counters.count("hedges");
            log_hedge(step.attempt);
        }
        execute(step);
    }

    void on_result(std::size_t attempt, client_result result) {
        if (dispatch_.ended())
            return;
        auto const now = boot_now();
        auto const outcome = classify_result(result, dependencies_.headers,
                                             dispatch_.was_late(attempt, now));
        record_word(attempt, result, now);
        auto const step =
            dispatch_.on_attempt_end(attempt, outcome, now, result.body.size());
        count_attempt(attempt, outcome);
        if (outcome != attempt_outcome::success) {
            log_attempt(attempt, outcome, result, step);
            count_unmet_conditions(step.retry.missing);
        }
        results_[attempt] = std::move(result);
        execute(step);
    }

    // Before the attempt's end is handled, so that no retry goes there.
    void record_word(std::size_t attempt, client_result const& result,
                     time_point now) {
        auto const word = word_of(result, dependencies_.headers);
        auto const& done = dispatch_.attempts()[attempt];
        auto& table = dependencies_.target_table;
        if (word.leaving)
            if (auto const notice =
                    table.on_leaving(done.to.id, done.started, now)) {
                dependencies_.publish_notice(notice, service_, false);
                dependencies_.log.write("target_leaves",
                                        {{"target", done.to.id.value},
                                         {"service", service_.value},
                                         {"id", id_}});
            }
        if (word.rest) {
            table.on_rest(done.to.id, *word.rest, done.started, now);
            dependencies_.counters.count("target_rests");
            dependencies_.log.write(
                "target_rests",
                {{"target", done.to.id.value},
                 {"service", service_.value},
                 {"id", id_},
                 {"rest_ms", std::to_string(to_milliseconds(*word.rest))}});
        }
        if (word.invalid_rest)
            dependencies_.counters.count("invalid_retry_after");
    }

    // The least time after which a caller may come back.
    std::chrono::milliseconds retry_after() const {
        auto const now = boot_now();
        auto const end = dependencies_.target_table.rest_end(service_, now);
        if (!end)
            return retry_after_refusal;
        return std::max(
            retry_after_refusal,
            std::chrono::duration_cast<std::chrono::milliseconds>(*end - now));
    }

    // --- ending -------------------------------------------------------------

    void deliver(std::size_t attempt) {
        auto& result = results_[attempt];
        auto const status = result.head.status;
        // After a 408, 421, 429 or 503 without the not-run field, the target
        // may have run the request despite the status.
        if (is_unmarked_refusal(result.head, dependencies_.headers)) {
            end_without_answer("target_status_" + std::to_string(status));
            return;
        }
        finish(forwarded_response(std::move(result)),
               status < 500 ? "answered" : "target_error");
    }

    // Ends the request with a response generated by the gateway.
    void end_without_answer(std::string_view reason) {
        bool const ran = dispatch_.may_have_run();
        auto const outcome = ran ? "unknown" : "not_run";
        log_end(outcome, reason);
        if (!ran && reason == unknown_key_reason)
            finish(unknown_key_response(id_), outcome);
        else if (!ran)
            finish(not_run_response(id_, reason, retry_after()), outcome);
        else
            finish(
                gateway_response(reason == "deadline" ? 504 : 502, id_, reason),
                outcome);
    }

    // Counts the attempts that were in flight when the request ended without a
    // target's response.
    void count_abandoned_attempts() {
        for (std::size_t i = 0; i < calls_.size(); ++i)
            if (!results_.contains(i))
                count_attempt(i, dispatch_.was_late(i, boot_now())
                                     ? attempt_outcome::timed_out
                                     : attempt_outcome::expired);
    }

    void on_caller_disconnected() {
        if (dispatch_.ended())
            return;
        dependencies_.counters.count("callers_gone");
        log_end("caller_gone",
                dispatch_.running() == 0 ? "before_sending" : "at_target");
        execute(dispatch_.abandon(boot_now()));
        close();
    }

    void finish(http1::outgoing_response response, std::string_view outcome) {
        close();
        dependencies_.counters.on_request(
            service_.value, kind_of(request_.route), outcome,
            to_seconds(boot_now() - request_.request.first_byte));
        request_.responder->send(std::move(response));
        request_.responder = nullptr;
    }

    void close() {
        deadline_timer_.cancel();
        check_timer_.cancel();
        for (std::size_t i = 0; i < calls_.size(); ++i)
            if (!results_.contains(i))
                http1::client::cancel(calls_[i]);
        calls_.clear();
    }

    // --- logging ------------------------------------------------------------

    void count_attempt(std::size_t attempt, attempt_outcome outcome) {
        dependencies_.counters.on_attempt(
            service_.value, to_string(outcome),
            to_seconds(boot_now() - dispatch_.attempts()[attempt].started));
    }

    void count_unmet_conditions(placement::unmet_conditions const& missing) {
        if (missing.any())
            dependencies_.counters.on_attempt_not_retried(service_.value,
                                                          to_string(missing));
    }

    telemetry::log_fields common_fields() const {
        return {{"id", id_},
                {"route", request_.route.id.value},
                {"service", service_.value},
                {"kind", std::string(kind_of(request_.route))},
                {"policy", std::to_string(request_.policy_revision)},
                {"account", request_.account ? request_.account->id.value : ""},
                {"left_ms", std::to_string(time_left().count())}};
    }

    static telemetry::log_fields
    assessment_fields(placement::retry_assessment const& assessment) {
        return {{"missing", to_string(assessment.missing)},
                {"credit_percent",
                 std::to_string(std::lround(assessment.credit * 100))},
                {"others", std::to_string(assessment.others.untried)},
                {"unreachable",
                 std::to_string(assessment.others.untried_unreachable)},
                {"again", std::to_string(assessment.others.retryable)}};
    }

    void log_attempt(std::size_t attempt, attempt_outcome outcome,
                     client_result const& result, dispatch_step const& step) {
        auto const& done = dispatch_.attempts()[attempt];
        auto fields = common_fields();
        fields.insert(
            fields.end(),
            {{"target", done.to.id.value},
             {"address", done.to.address},
             {"outcome", std::string(to_string(outcome))},
             {"transport", std::string(to_string(result.status))},
             {"http", std::to_string(result.head.status)},
             {"reused", result.reused ? "1" : "0"},
             {"begun", result.request_begun ? "1" : "0"},
             {"connect_ms",
              std::to_string(to_milliseconds(result.connect_time))},
             {"suspected", done.suspected ? "1" : "0"},
             {"ms", std::to_string(to_milliseconds(result.total_time))},
             {"sent", std::to_string(dispatch_.attempts_sent())},
             {"running", std::to_string(dispatch_.running())},
             {"next", std::string(to_string(step.decision))}});
        auto const assessment = assessment_fields(step.retry);
        fields.insert(fields.end(), assessment.begin(), assessment.end());
        auto const basis = risk_fields(done.risk, done.evidence, done.started);
        fields.insert(fields.end(), basis.begin(), basis.end());
        dependencies_.log.write("attempt_failed", fields);
    }

    void log_hedge(std::size_t second) {
        auto const& attempts = dispatch_.attempts();
        auto const first = std::ranges::find_if(
            attempts, &placement::dispatch_attempt::running);
        auto fields = common_fields();
        fields.insert(fields.end(), {{"target", first->to.id.value},
                                     {"second", attempts[second].to.id.value}});
        dependencies_.log.write("hedged", fields);
    }

    void log_end(std::string_view outcome, std::string_view reason) {
        auto const& attempts = dispatch_.attempts();
        auto fields = common_fields();
        fields.insert(
            fields.end(),
            {{"target", attempts.empty() ? "" : attempts.back().to.id.value},
             {"outcome", std::string(outcome)},
             {"reason", std::string(reason)},
             {"sent", std::to_string(dispatch_.attempts_sent())},
             {"targets",
              std::to_string(dependencies_.target_table.size(service_))}});
        dependencies_.log.write("request_ended", fields);
    }

    exchange_dependencies const& dependencies_;
    routed_request request_;
    std::string id_;
    std::shared_ptr<std::string const> body_; ///< shared by all attempts
    service_id service_;
    time_point deadline_;
    placement::request_dispatch dispatch_;
    net::one_shot_timer deadline_timer_;
    net::one_shot_timer check_timer_;
    /// Indexed by attempt. Ends before the attempt that finds the key removed,
    /// as none is sent from then on.
    std::vector<http1::client::call_ptr> calls_;
    bool key_removed_ = false;
    std::map<std::size_t, client_result> results_;
};

} // namespace

service_id pick_service(route const& route, std::mt19937_64& random) {
    std::uint64_t total = 0;
    for (auto const& destination : route.destinations)
        total += destination.weight;
    if (total == 0)
        return route.service;
    auto at =
        std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random);
    for (auto const& destination : route.destinations) {
        if (at < destination.weight)
            return destination.service;
        at -= destination.weight;
    }
    return route.destinations.back().service;
}

time_point deadline_of(routed_request const& request,
                       header_names const& headers) {
    auto limit = request.route.timeout;
    if (auto const caller_limit = number(
            field_value(request.request.head.fields, headers.time_left_ms)))
        limit = std::min(limit, std::chrono::milliseconds(*caller_limit));
    return request.request.first_byte + limit;
}

std::string request_id_of(http1::incoming_request const& request,
                          header_names const& headers) {
    return std::string(field_value(request.head.fields, headers.request_id));
}

void start_exchange(exchange_dependencies const& dependencies,
                    routed_request request) {
    std::make_shared<exchange>(dependencies, std::move(request))->start();
}

} // namespace yuccabeam::gateway
