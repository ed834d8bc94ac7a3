#include "yuccabeam/ctl/settings.hpp"

namespace yuccabeam::ctl {

std::variant<settings, std::vector<json_fault>>
parse_settings(std::string_view text) {
    std::vector<json_fault> faults;
    auto const document = parse_json(text, faults);
    if (!document)
        return faults;
    settings out;
    json_reader reader(*document, "", faults);
    out.author = reader.string("author");
    out.store = reader.ip_address("store");
    reader.objects("daemons", [&](json_reader& daemon) {
        out.daemons.push_back(daemon.ip_address("operator_rpc"));
    });
    out.timeout = std::chrono::milliseconds(
        reader.integer_or("timeout_ms", out.timeout.count(), {1, 60'000}));
    reader.finish();
    if (!faults.empty())
        return faults;
    return out;
}

} // namespace yuccabeam::ctl
