#pragma once

#include <cstdint>

namespace yuccabeam::health {

/// Slots that all arbiters together may eject: capacity above the floor.
/// `capacity_slots` counts the targets that are not in slow start after their
/// addition or re-admission, not leaving, and not lost with their failure
/// domain, including ejected ones.
constexpr std::uint32_t ejection_budget(std::uint32_t capacity_slots,
                                        std::uint32_t floor_slots) {
    return capacity_slots > floor_slots ? capacity_slots - floor_slots : 0;
}

/// Slots that an arbiter may eject when `supporters` of the `home_daemons`
/// support it.
///
/// All other arbiters together have at most `home_daemons - supporters`
/// supporters. At most one arbiter has a majority, so only it rounds up, and
/// the shares of all arbiters add up to at most the budget.
constexpr std::uint32_t permitted_slots(std::uint32_t budget,
                                        std::uint32_t supporters,
                                        std::uint32_t home_daemons) {
    if (home_daemons == 0 || supporters == 0)
        return 0;
    if (supporters >= home_daemons)
        return budget;
    auto const product = std::uint64_t{budget} * supporters;
    auto const rounding =
        std::uint64_t{supporters} * 2 > home_daemons ? home_daemons - 1 : 0;
    return static_cast<std::uint32_t>((product + rounding) / home_daemons);
}

} // namespace yuccabeam::health
