#include "yuccabeam/gateway/settings.hpp"

#include "yuccabeam/values/json_document.hpp"

#include <cmath>

namespace yuccabeam::gateway {

namespace {

constexpr double max_seconds = 24 * 3600;
constexpr double max_slack = 1e6;
constexpr double max_processors = 1'024;
constexpr double least_link_mbps = 0.1;
constexpr double max_link_mbps = 1e6;
constexpr double least_memory_mb = 16;
constexpr double max_memory_mb = 1e6;
constexpr double least_descriptors = 256;
constexpr double max_descriptors = 1e6;

std::chrono::milliseconds seconds_or(json_reader& reader, std::string_view name,
                                     std::chrono::milliseconds fallback) {
    auto const seconds =
        reader.number_or(name, static_cast<double>(fallback.count()) / 1'000,
                         0.001, max_seconds);
    return std::chrono::milliseconds(std::llround(seconds * 1'000));
}

void read_settings(json_reader& reader, settings& out) {
    out.vm = reader.string("vm");
    out.failure_domain = {reader.string("failure_domain")};
    out.callers = reader.ip_address("callers");
    out.readiness = reader.ip_address("readiness");
    out.control = reader.ip_address("control");
    out.peers = reader.ip_address("peers");
    out.store = reader.ip_address("store");
    out.seeds = reader.strings_or("seeds");
    out.failure_domains = reader.strings_or("failure_domains");
    out.processor_share = reader.number_or(
        "processor_share", out.processor_share, 0, max_processors);
    out.link_mbps = reader.number_or("link_mbps", out.link_mbps,
                                     least_link_mbps, max_link_mbps);
    out.memory_mb = reader.number_or("memory_mb", out.memory_mb,
                                     least_memory_mb, max_memory_mb);
    out.max_descriptors = static_cast<std::size_t>(reader.number_or(
        "max_descriptors", static_cast<double>(out.max_descriptors),
        least_descriptors, max_descriptors));
    out.grace = seconds_or(reader, "grace_s", out.grace);
    out.leaving_limit =
        seconds_or(reader, "leaving_limit_s", out.leaving_limit);
    out.target_heartbeat =
        seconds_or(reader, "target_heartbeat_s", out.target_heartbeat);
    out.strict_revocation =
        reader.boolean_or("strict_revocation", out.strict_revocation);
    out.revocation_limit =
        seconds_or(reader, "revocation_limit_s", out.revocation_limit);
    out.new_fleet = reader.boolean_or("new_fleet", out.new_fleet);
    out.quota.window =
        seconds_or(reader, "quota_window_s",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       out.quota.window));
    out.quota.overshoot =
        reader.number_or("quota_overshoot", out.quota.overshoot, 0, 10);
    out.quota.slack =
        reader.number_or("quota_slack", out.quota.slack, 0, max_slack);
    out.repeat_ratio =
        reader.number_or("repeat_ratio", out.repeat_ratio, 0, 10);
    out.repeat_slack =
        reader.number_or("repeat_slack", out.repeat_slack, 0, max_slack);
    out.repeat_window =
        seconds_or(reader, "repeat_window_s", out.repeat_window);
}

} // namespace

std::variant<settings, std::vector<json_fault>>
parse_settings(std::string_view text) {
    return read_document<settings>(text, read_settings);
}

} // namespace yuccabeam::gateway
