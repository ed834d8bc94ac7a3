#include "yuccabeam/daemon/settings.hpp"

#include "yuccabeam/values/json_document.hpp"

#include <limits>

namespace yuccabeam::daemon {

namespace {

constexpr std::int64_t min_key_length = 16;
constexpr std::int64_t max_threads = 64;
constexpr std::int64_t max_body_limit = 64 << 20;
constexpr std::int64_t max_wait_ms = 24LL * 3600 * 1000;

std::chrono::milliseconds milliseconds_or(json_reader& reader,
                                          std::string_view name,
                                          std::chrono::milliseconds fallback) {
    return std::chrono::milliseconds(
        reader.integer_or(name, fallback.count(), {0, max_wait_ms}));
}

void read_addresses(json_reader& reader, settings& out) {
    out.listen = reader.ip_address("listen");
    out.metrics = reader.ip_address("metrics");
    out.peer = reader.ip_address("peer");
    out.peer_http = reader.ip_address("peer_http");
    out.operator_rpc = reader.ip_address("operator_rpc");
    out.store = reader.ip_address("store");
    out.vm_list = reader.ip_address("vm_list");
}

std::string read_key(json_reader& reader) {
    auto key = reader.string("shared_key");
    if (!key.empty() && std::ssize(key) < min_key_length)
        reader.add_fault("shared_key",
                         "a text of at least " +
                             std::to_string(min_key_length) + " bytes",
                         std::to_string(key.size()) + " bytes");
    return key;
}

void read_settings(json_reader& reader, settings& out) {
    out.deployment = reader.string("deployment");
    out.daemon = {reader.string("daemon")};
    out.failure_domain = {reader.string("failure_domain")};
    read_addresses(reader, out);
    out.shared_key = read_key(reader);
    out.threads = static_cast<unsigned>(
        reader.integer_or("threads", out.threads, {1, max_threads}));
    out.max_body_bytes = static_cast<std::size_t>(reader.integer_or(
        "max_body_bytes", static_cast<std::int64_t>(out.max_body_bytes),
        {1024, max_body_limit}));
    out.drain_notice =
        milliseconds_or(reader, "drain_notice_ms", out.drain_notice);
    out.drain_limit =
        milliseconds_or(reader, "drain_limit_ms", out.drain_limit);
    out.log_level = reader.word_or<std::string>("log_level", out.log_level,
                                                {{"debug", "debug"},
                                                 {"info", "info"},
                                                 {"warn", "warn"},
                                                 {"error", "error"}});
    out.log_file = reader.string_or("log_file", "");
}

} // namespace

std::variant<settings, std::vector<json_fault>>
parse_settings(std::string_view text) {
    return read_document<settings>(text, read_settings);
}

} // namespace yuccabeam::daemon
