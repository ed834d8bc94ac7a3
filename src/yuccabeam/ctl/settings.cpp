#include "yuccabeam/ctl/settings.hpp"

#include "yuccabeam/values/json_document.hpp"

namespace yuccabeam::ctl {

std::variant<settings, std::vector<json_fault>>
parse_settings(std::string_view text) {
    return read_document<settings>(text, [](json_reader& reader,
                                            settings& out) {
        out.author = reader.string("author");
        out.store = reader.ip_address("store");
        reader.objects("daemons", [&](json_reader& daemon) {
            out.daemons.push_back(daemon.ip_address("operator_rpc"));
        });
        out.timeout = std::chrono::milliseconds(
            reader.integer_or("timeout_ms", out.timeout.count(), {1, 60'000}));
    });
}

} // namespace yuccabeam::ctl
