#include "yuccabeam/health/status.hpp"

#include <array>

namespace yuccabeam::health {

std::string_view to_string(target_state value) {
    constexpr std::array<std::string_view, 6> names = {
        "healthy", "suspect", "ejected", "trial", "slow_start", "leaving"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(state_reason value) {
    constexpr std::array<std::string_view, 12> names = {
        "none",    "local_failures", "local_slowness", "own_link",
        "budget",  "domain_lost",    "local_floor",    "grant_lapsed",
        "granted", "returned",       "added",          "drain_signal"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(next_change value) {
    constexpr std::array<std::string_view, 7> names = {
        "none",   "good_requests",  "arbiter_verdict", "hold_end",
        "trials", "slow_start_end", "end_of_leaving"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace yuccabeam::health
