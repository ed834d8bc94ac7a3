#include "yuccabeam/gateway/responses.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace yuccabeam::gateway {

namespace {

using http1::client_status;
using http1::field_value;
using placement::attempt_outcome;

// Statuses that tell a caller that its request was not run.
bool is_not_run_status(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool has(http1::message_head const& head, std::string const& name) {
    return !field_value(head.fields, name).empty();
}

attempt_outcome classify_response(http1::message_head const& head,
                                  header_names const& headers) {
    if (head.status == 421)
        return attempt_outcome::wrong_target;
    bool const marked = has(head, headers.not_run);
    if (marked && is_not_run_status(head.status))
        return attempt_outcome::not_run;
    if (head.status >= 500 || is_not_run_status(head.status))
        return attempt_outcome::target_error;
    // The not-run field contradicts the status. A 400 is forwarded
    // nevertheless, since a caller may not retry after it.
    if (marked && head.status != 400)
        return attempt_outcome::broken_answer;
    // A successful response without the target's signature, or with a content
    // encoding that was applied on the way, isn't what the target sent.
    if (head.status / 100 == 2 && (!has(head, headers.response_signature) ||
                                   has(head, "Content-Encoding")))
        return attempt_outcome::broken_answer;
    return attempt_outcome::success;
}

} // namespace

attempt_outcome classify_result(http1::client_result const& result,
                                header_names const& headers, bool late) {
    switch (result.status) {
    case client_status::complete:
        // A caller's deadline may be too short for any target, so a 504 before
        // the target is late is no evidence against it.
        if (result.head.status == 504 && !late)
            return attempt_outcome::expired;
        return classify_response(result.head, headers);
    case client_status::connect_failed:
        return attempt_outcome::connect_failed;
    case client_status::timed_out:
        return attempt_outcome::timed_out;
    case client_status::reset:
        return result.reused && !result.response_started
                   ? attempt_outcome::kept_reset
                   : attempt_outcome::reset;
    case client_status::cancelled:
        return attempt_outcome::reset;
    default:
        return attempt_outcome::broken_answer;
    }
}

// Seconds with an optional fraction. A date would need a clock in common with
// the target.
std::optional<duration> parse_rest(std::string_view text) {
    double seconds = 0;
    auto const* end = text.data() + text.size();
    auto const [rest, error] =
        std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    constexpr double longest_s = 1e6;
    if (text.empty() || error != std::errc() || rest != end ||
        !(seconds >= 0 && seconds <= longest_s))
        return std::nullopt;
    return from_seconds(seconds);
}

target_word word_of(http1::client_result const& result,
                    header_names const& headers) {
    target_word out;
    // 421: another target answered at the address.
    if (result.status != client_status::complete || result.head.status == 421)
        return out;
    out.leaving = !headers.leaving.empty() &&
                  field_value(result.head.fields, headers.leaving) == "1";
    auto const rest = field_value(result.head.fields, "Retry-After");
    if (result.head.status != 503 || rest.empty())
        return out;
    out.rest = parse_rest(rest);
    out.invalid_rest = !out.rest;
    return out;
}

bool is_unmarked_refusal(http1::message_head const& head,
                         header_names const& headers) {
    return is_not_run_status(head.status) && !has(head, headers.not_run);
}

http1::outgoing_response forwarded_response(http1::client_result result) {
    http1::outgoing_response out;
    out.status = result.head.status;
    out.fields = http1::end_to_end_fields(result.head.fields);
    out.body = std::move(result.body);
    out.hold = std::move(result.hold);
    return out;
}

http1::outgoing_response gateway_response(int status,
                                          std::string const& request_id,
                                          std::string_view reason) {
    nlohmann::json const body = {
        {"request_id", request_id},
        {"outcome", is_not_run_status(status) ? "not_run" : "unknown"},
        {"reason", reason}};
    http1::outgoing_response out;
    out.status = status;
    out.fields = {{"Content-Type", "application/json"}};
    out.body =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return out;
}

namespace {

http1::outgoing_response refusal(int status, std::string const& request_id,
                                 std::string_view reason,
                                 std::chrono::milliseconds retry_after) {
    auto out = gateway_response(status, request_id, reason);
    auto const seconds = static_cast<double>(retry_after.count()) / 1'000;
    auto text = std::to_string(seconds);
    out.fields.push_back({"Retry-After", text.substr(0, text.find('.') + 4)});
    return out;
}

} // namespace

http1::outgoing_response unknown_key_response(std::string const& request_id) {
    constexpr int unauthorized = 401;
    auto out = gateway_response(unauthorized, request_id, unknown_key_reason);
    out.fields.push_back({"WWW-Authenticate", "Bearer"});
    return out;
}

http1::outgoing_response
not_run_response(std::string const& request_id, std::string_view reason,
                 std::chrono::milliseconds retry_after) {
    return refusal(503, request_id, reason, retry_after);
}

http1::outgoing_response
over_quota_response(std::string const& request_id,
                    std::chrono::milliseconds retry_after) {
    return refusal(429, request_id, "quota", retry_after);
}

} // namespace yuccabeam::gateway
