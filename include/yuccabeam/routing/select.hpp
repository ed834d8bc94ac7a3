#pragma once

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>
#include <ranges>
#include <span>

namespace yuccabeam::routing {

enum class target_state : std::uint8_t {
    healthy,
    suspect, ///< used only when no healthy target has a free slot
    trial,   ///< ejected, but this daemon may send a trial request now
    ejected,
    leaving
};

/// State of one target as selection sees it.
struct candidate {
    std::uint32_t index = 0; ///< the calling code's index of the target
    std::uint32_t slots = 6;
    double weight = 1.0;         ///< 0..1, below 1 in slow start
    std::uint32_t in_flight = 0; ///< this daemon's requests
    double load_hint = 0.0;      ///< other daemons' requests in flight
    std::uint32_t failure_domain = 0;
    target_state state = target_state::healthy;
    std::uint32_t limit = 6; ///< current concurrency limit

    bool operator==(candidate const&) const = default;
};

/// A random access range whose elements convert to `candidate`, such as
/// `std::span<candidate const>` or a transforming view over target records.
template <class View>
concept candidate_view =
    std::ranges::random_access_range<View> && std::ranges::sized_range<View> &&
    std::convertible_to<std::ranges::range_reference_t<View>, candidate>;

struct select_options {
    std::uint32_t failure_domain = 0; ///< of this daemon
    /// The request may be sent as a trial: it is idempotent, and the health
    /// module permits a trial now.
    bool may_run_trial = false;
};

enum class select_status : std::uint8_t {
    chosen,
    all_busy,     ///< every eligible target is at its limit: queue the request
    none_eligible ///< every target is ejected, leaving or excluded
};

struct selection {
    select_status status = select_status::none_eligible;
    std::uint32_t index = 0; ///< of the chosen candidate

    bool operator==(selection const&) const = default;
};

/// Chooses the less loaded of two random eligible candidates (Mitzenmacher,
/// "The power of two choices in randomized load balancing", 2001).
///
/// Load is (in flight + load hint) / (slots x weight). Candidates are drawn
/// with probability proportional to weight, so that an idle target in slow
/// start isn't chosen as often as a warm one. Both candidates come from the
/// first tier that isn't empty:
/// 1. an idle target on trial, if the request may be sent as a trial;
/// 2. healthy, own failure domain, total load below slots;
/// 3. healthy, other failure domains, total load below slots;
/// 4. healthy and below this daemon's limit, own failure domain, then others;
/// 5. suspect, own failure domain, then others.
///
/// @param excluded  indices of targets that were already tried
template <candidate_view View, std::uniform_random_bit_generator Generator>
selection select(View const& candidates, select_options const& options,
                 std::span<std::uint32_t const> excluded, Generator& random);

} // namespace yuccabeam::routing

#include "yuccabeam/routing/select_impl.hpp"
