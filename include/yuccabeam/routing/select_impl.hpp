#pragma once

#include "yuccabeam/routing/select.hpp"

namespace yuccabeam::routing {

namespace detail {

constexpr std::size_t tier_count = 7;
constexpr std::size_t no_tier = tier_count;

inline double capacity_of(candidate const& c) {
    return c.slots * c.weight;
}

inline double load_of(candidate const& c) {
    return (c.in_flight + c.load_hint) / capacity_of(c);
}

/// In slow start, the weight reduces the limit as it reduces the slots.
inline bool has_free_slot(candidate const& c) {
    return c.in_flight < std::max(1.0, c.limit * c.weight);
}

inline bool is_eligible(candidate const& c, select_options const& options) {
    if (c.weight <= 0.0 || c.slots == 0)
        return false;
    switch (c.state) {
    case target_state::healthy:
    case target_state::suspect:
        return true;
    case target_state::trial:
        return options.may_run_trial;
    case target_state::ejected:
    case target_state::leaving:
        break;
    }
    return false;
}

/// Preference tier of an eligible candidate, 0 first; `no_tier` if it is busy.
inline std::size_t tier_of(candidate const& c, select_options const& options) {
    if (c.state == target_state::trial)
        return c.in_flight == 0 ? 0 : no_tier;
    if (!has_free_slot(c))
        return no_tier;
    std::size_t const other =
        c.failure_domain == options.failure_domain ? 0 : 1;
    if (c.state == target_state::suspect)
        return 5 + other;
    bool const has_spare_capacity =
        c.in_flight + c.load_hint < std::max(1.0, capacity_of(c));
    return (has_spare_capacity ? 1 : 3) + other;
}

struct tier_sum {
    double weight = 0.0;
    std::size_t count = 0;
};

inline double uniform(double below, auto& random) {
    return std::uniform_real_distribution<double>(0.0, below)(random);
}

} // namespace detail

template <candidate_view View, std::uniform_random_bit_generator Generator>
selection select(View const& candidates, select_options const& options,
                 std::span<std::uint32_t const> excluded, Generator& random) {
    using detail::tier_of;
    auto const is_open = [&](candidate const& c) {
        return detail::is_eligible(c, options) &&
               std::ranges::find(excluded, c.index) == excluded.end();
    };

    std::array<detail::tier_sum, detail::tier_count> tiers{};
    bool any = false;
    for (candidate const& c : candidates) {
        if (!is_open(c))
            continue;
        any = any || c.state != target_state::trial;
        if (auto const tier = tier_of(c, options); tier != detail::no_tier) {
            tiers[tier].weight += c.weight;
            ++tiers[tier].count;
        }
    }
    auto const best = static_cast<std::size_t>(
        std::ranges::find_if(tiers, [](auto const& t) { return t.count > 0; }) -
        tiers.begin());
    if (best == detail::no_tier)
        return {any ? select_status::all_busy : select_status::none_eligible,
                0};

    // Subtracts the weights of the tier's candidates until `at` is negative. If
    // rounding errors leave a remainder, the last candidate is chosen.
    auto const draw = [&](double at, candidate const* skip) {
        candidate drawn;
        for (candidate const& c : candidates) {
            if ((skip && c.index == skip->index) || !is_open(c) ||
                tier_of(c, options) != best)
                continue;
            drawn = c;
            at -= c.weight;
            if (at < 0.0)
                break;
        }
        return drawn;
    };
    auto const [weight, count] = tiers[best];
    candidate const first = draw(detail::uniform(weight, random), nullptr);
    if (count == 1)
        return {select_status::chosen, first.index};
    candidate const second =
        draw(detail::uniform(weight - first.weight, random), &first);
    bool const take_second = detail::load_of(second) < detail::load_of(first);
    return {select_status::chosen, take_second ? second.index : first.index};
}

} // namespace yuccabeam::routing
