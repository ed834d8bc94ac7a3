#include "yuccabeam/gateway/control_service.hpp"

#include <charconv>

namespace yuccabeam::gateway {

http1::outgoing_response text_response(int status, std::string body) {
    http1::outgoing_response out;
    out.status = status;
    out.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
    out.body = std::move(body);
    return out;
}

http1::outgoing_response
control_service::answer(http1::incoming_request const& request) const {
    std::string_view const target = request.head.target;
    constexpr std::string_view changes = "/fleet/changes?after=";
    if (target.starts_with(changes))
        return answer_changes(target.substr(changes.size()));
    if (target == "/metrics") {
        dependencies_.refresh_gauges();
        return text_response(200, dependencies_.counters.text());
    }
    if (target == "/" && request.head.method == "POST") {
        auto out = text_response(
            200, answer_query(request.body, dependencies_.state()));
        out.fields = {{"Content-Type", "application/json"}};
        return out;
    }
    return text_response(404, "");
}

http1::outgoing_response
control_service::answer_changes(std::string_view after) const {
    std::uint64_t revision = 0;
    std::from_chars(after.data(), after.data() + after.size(), revision);
    auto changes = dependencies_.changes_after(revision);
    if (changes.empty())
        return text_response(503, "");
    return text_response(200, std::move(changes));
}

} // namespace yuccabeam::gateway
