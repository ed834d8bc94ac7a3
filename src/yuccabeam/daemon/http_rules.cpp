#include "yuccabeam/daemon/http_rules.hpp"

#include "yuccabeam/http1/parser.hpp"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <vector>

namespace yuccabeam::daemon {

namespace {

using adapters::field_value;
using adapters::http_fields;
using adapters::same_field_name;

constexpr std::array<std::string_view, 4> set_for_target = {
    "Yuccabeam-Request-Id", "Yuccabeam-Deadline-Ms", "Yuccabeam-Peer-Auth",
    "Expect"};

constexpr std::array<std::string_view, 5> set_for_caller = {
    "Yuccabeam-Request-Id", "Yuccabeam-Drain", "Yuccabeam-Not-Run",
    "Yuccabeam-Outcome", "Yuccabeam-Ticket"};

constexpr std::chrono::milliseconds longest_timeout = std::chrono::hours(24);

template <class Names>
bool contains(Names const& names, std::string_view name) {
    for (auto const& candidate : names)
        if (same_field_name(candidate, name))
            return true;
    return false;
}

template <class Names>
http_fields forwarded(http_fields const& received, Names const& own) {
    http_fields out;
    for (auto& field : http1::end_to_end_fields(received))
        if (!contains(own, field.name))
            out.push_back(std::move(field));
    return out;
}

std::size_t count(http_fields const& fields, std::string_view name) {
    std::size_t found = 0;
    for (auto const& field : fields)
        found += same_field_name(field.name, name);
    return found;
}

std::optional<std::uint64_t> number(std::string_view text) {
    std::uint64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || rest != end)
        return std::nullopt;
    return value;
}

} // namespace

http_fields fields_for_target(http_fields const& received) {
    return forwarded(received, set_for_target);
}

http_fields fields_for_caller(http_fields const& received) {
    return forwarded(received, set_for_caller);
}

http_fields fields_for_relay(http_fields const& received) {
    return forwarded(received, std::array<std::string_view, 0>{});
}

std::string_view malformed(adapters::http_request const& request) {
    auto const lengths = count(request.fields, "Content-Length");
    if (lengths > 1)
        return "the request has more than one Content-Length";
    if (lengths == 1 && count(request.fields, "Transfer-Encoding") != 0)
        return "the request has both Content-Length and Transfer-Encoding";
    if (count(request.fields, "Host") != 1)
        return "the request needs exactly one Host field";
    if (!request.target.starts_with('/'))
        return "the request target is not a path";
    if (request.method == "CONNECT" || request.method == "TRACE")
        return "the method is not supported";
    return {};
}

std::chrono::milliseconds
requested_timeout(http_fields const& fields,
                  std::chrono::milliseconds fallback) {
    auto const wanted = number(field_value(fields, "Yuccabeam-Deadline-Ms"));
    if (!wanted || *wanted == 0 ||
        *wanted > static_cast<std::uint64_t>(longest_timeout.count()))
        return fallback;
    return std::chrono::milliseconds(*wanted);
}

adapters::http_reply fault_reply(int status, std::string_view request_id,
                                 std::string_view outcome,
                                 std::string_view reason) {
    nlohmann::json const body = {
        {"request_id", request_id}, {"outcome", outcome}, {"reason", reason}};
    auto reply = adapters::json_reply(status, body.dump());
    reply.fields.push_back({"Yuccabeam-Outcome", std::string(outcome)});
    reply.fields.push_back({"Yuccabeam-Request-Id", std::string(request_id)});
    return reply;
}

std::string_view path_of(std::string_view request_target) {
    return request_target.substr(0, request_target.find('?'));
}

std::optional<resumable_download> resumable(std::string_view method,
                                            adapters::answer_head const& head) {
    auto const etag = field_value(head.fields, "ETag");
    bool const strong = etag.starts_with('"');
    if (method != "GET" || head.status != 200 || !strong ||
        !head.content_length ||
        field_value(head.fields, "Accept-Ranges") != "bytes")
        return std::nullopt;
    return resumable_download{std::string(etag), *head.content_length};
}

bool continues(resumable_download const& download, std::uint64_t offset,
               adapters::answer_head const& head) {
    auto const expected = "bytes " + std::to_string(offset) + "-" +
                          std::to_string(download.length - 1) + "/" +
                          std::to_string(download.length);
    return head.status == 206 &&
           field_value(head.fields, "ETag") == download.etag &&
           field_value(head.fields, "Content-Range") == expected &&
           head.content_length == download.length - offset;
}

} // namespace yuccabeam::daemon
