#include "yuccabeam/gateway/daemon_options.hpp"

#include "yuccabeam/gateway/peer_link.hpp"

#include <algorithm>
#include <chrono>
#include <sys/resource.h>

namespace yuccabeam::gateway {

yuccabeam::incarnation new_incarnation() {
    return static_cast<yuccabeam::incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

placement::target_table_options
target_table_options_of(settings const& settings) {
    placement::target_table_options out;
    out.leaving_limit = settings.leaving_limit;
    out.availability.leaving_limit = settings.leaving_limit;
    out.domain_report_targets = max_activities_per_message;
    return out;
}

placement::retry_budget_options budget_options_of(settings const& settings) {
    placement::retry_budget_options out;
    out.ratio = settings.repeat_ratio;
    out.fleet_slack = settings.repeat_slack;
    out.window = settings.repeat_window;
    return out;
}

placement::initial_credit initial_credit_of(settings const& settings) {
    return settings.new_fleet ? placement::initial_credit::full
                              : placement::initial_credit::none;
}

peer_link_options peer_link_options_of(settings const& settings) {
    constexpr double percent = 100;
    peer_link_options out;
    out.address = settings.peers;
    out.control = settings.control;
    out.failure_domain = settings.failure_domain;
    out.failure_domains = settings.failure_domains.size();
    out.incarnation = new_incarnation();
    out.processor_percent =
        static_cast<std::uint32_t>(settings.processor_share * percent);
    return out;
}

quota_service_options quota_service_options_of(settings const& settings) {
    constexpr double percent = 100;
    quota_service_options out;
    out.address = settings.peers;
    out.incarnation = new_incarnation();
    out.processor_percent =
        static_cast<std::uint32_t>(settings.processor_share * percent);
    out.new_fleet = settings.new_fleet;
    out.quota.bound = settings.quota;
    return out;
}

copy_sharing_options copy_sharing_options_of(settings const& settings) {
    constexpr double bytes_per_s_of_mbps = 1e6 / 8;
    copy_sharing_options out;
    out.link_bytes_per_s = settings.link_mbps * bytes_per_s_of_mbps;
    return out;
}

drain_options drain_options_of(settings const& settings) {
    drain_options out;
    out.grace = settings.grace;
    return out;
}

http1::server_options caller_options_of(settings const& settings,
                                        std::size_t system_descriptors) {
    // Reserved for files and for the daemon's own sockets.
    constexpr std::size_t reserved_descriptors = 200;
    constexpr double bytes_per_mb = 1e6;
    // Unread bytes in the kernel take up to this share of the memory. Each
    // connection has its least buffer from one half of it; the first ones get
    // larger buffers from the other half.
    constexpr double socket_share = 0.25;
    // The same for connections that wait to be accepted.
    constexpr double waiting_share = 1.0 / 16;
    constexpr int least_waiting = 16;
    constexpr int most_waiting = 4'096;
    // The kernel admits about 1.25 times the size that is set.
    constexpr double kernel_factor = 1.5;
    auto const socket_bytes = static_cast<std::size_t>(
        settings.memory_mb * bytes_per_mb * socket_share / kernel_factor);
    auto const descriptors =
        std::min(settings.max_descriptors, system_descriptors);
    http1::server_options out;
    // A running request needs a second descriptor, for its target.
    auto const by_descriptors =
        (descriptors - std::min(descriptors, reserved_descriptors)) / 2;
    auto const by_memory = socket_bytes / 2 / http1::least_socket_bytes;
    out.max_connections =
        std::max<std::size_t>(1, std::min(by_descriptors, by_memory));
    out.socket_bytes =
        socket_bytes - out.max_connections * http1::least_socket_bytes;
    auto const waiting = settings.memory_mb * bytes_per_mb * waiting_share /
                         kernel_factor / http1::most_socket_bytes;
    out.max_waiting = static_cast<int>(
        std::clamp<double>(waiting, least_waiting, most_waiting));
    return out;
}

std::size_t system_descriptor_limit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

std::size_t body_bytes_of(settings const& settings) {
    constexpr double share = 0.5;
    constexpr double bytes_per_mb = 1e6;
    return static_cast<std::size_t>(settings.memory_mb * bytes_per_mb * share);
}

} // namespace yuccabeam::gateway
