#include "yuccabeam/gateway/control_service.hpp"

#include "yuccabeam/gateway/copy_compression.hpp"
#include "yuccabeam/values/ip_address.hpp"

#include <charconv>
#include <sstream>

namespace yuccabeam::gateway {

namespace {

constexpr std::string_view changes_target = "/fleet/changes?after=";
constexpr std::string_view receiver_parameter = "&receiver=";
constexpr std::size_t max_referrals = 16;

std::optional<changes_request>
read_changes_request(http1::message_head const& head) {
    std::string_view target = head.target;
    if (!target.starts_with(changes_target))
        return std::nullopt;
    target.remove_prefix(changes_target.size());
    changes_request out;
    std::from_chars(target.data(), target.data() + target.size(), out.revision);
    if (auto const at = target.find(receiver_parameter);
        at != std::string_view::npos)
        out.receiver = target.substr(at + receiver_parameter.size());
    // The value is sent to other daemons.
    if (!parse_ip_address(out.receiver))
        out.receiver.clear();
    out.accepts_compressed =
        http1::field_value(head.fields, "Accept-Encoding") == copy_coding;
    return out;
}

std::string lines_of(std::vector<std::string> const& texts) {
    std::string out;
    for (auto const& text : texts)
        out.append(text).append("\n");
    return out;
}

} // namespace

http1::outgoing_response text_response(int status, std::string body) {
    http1::outgoing_response out;
    out.status = status;
    out.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
    out.body = std::move(body);
    return out;
}

http1::client_request request_of(changes_request const& request) {
    http1::client_request out;
    out.target = std::string(changes_target) + std::to_string(request.revision);
    out.target.append(receiver_parameter).append(request.receiver);
    if (request.accepts_compressed)
        out.fields = {{"Accept-Encoding", std::string(copy_coding)}};
    return out;
}

std::vector<std::string> referrals_in(http1::client_result const& response) {
    std::vector<std::string> out;
    std::istringstream lines(response.body);
    std::string line;
    while (out.size() < max_referrals && std::getline(lines, line))
        if (parse_ip_address(line))
            out.push_back(line);
    return out;
}

http1::outgoing_response
control_service::answer(http1::incoming_request const& request) const {
    if (auto const changes = read_changes_request(request.head))
        return answer_changes(*changes);
    if (request.head.target == "/metrics") {
        dependencies_.refresh_gauges();
        return text_response(200, dependencies_.counters.text());
    }
    if (request.head.target == "/" && request.head.method == "POST") {
        auto out = text_response(
            200, answer_query(request.body, dependencies_.state()));
        out.fields = {{"Content-Type", "application/json"}};
        return out;
    }
    return text_response(404, "");
}

http1::outgoing_response
control_service::answer_changes(changes_request const& request) const {
    auto changes = dependencies_.changes(request);
    if (changes.body.empty())
        return text_response(503, lines_of(changes.referrals));
    auto out = text_response(200, std::move(changes.body));
    if (changes.is_compressed)
        out.fields.push_back({"Content-Encoding", std::string(copy_coding)});
    return out;
}

} // namespace yuccabeam::gateway
