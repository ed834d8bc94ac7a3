#include "yuccabeam/gateway/control_service.hpp"

#include "yuccabeam/gateway/copy_compression.hpp"

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
        // Daemons of earlier versions accept no coding.
        return answer_changes(
            target.substr(changes.size()),
            http1::field_value(request.head.fields, "Accept-Encoding") ==
                copy_coding);
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
control_service::answer_changes(std::string_view after, bool compressed) const {
    std::uint64_t revision = 0;
    std::from_chars(after.data(), after.data() + after.size(), revision);
    auto changes = dependencies_.changes_after(revision, compressed);
    if (changes.empty())
        return text_response(503, "");
    auto out = text_response(200, std::move(changes));
    if (compressed)
        out.fields.push_back({"Content-Encoding", std::string(copy_coding)});
    return out;
}

} // namespace yuccabeam::gateway
