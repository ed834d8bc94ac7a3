#pragma once

#include "yuccabeam/placement/fleet_budget.hpp"
#include "yuccabeam/placement/request_dispatch.hpp"
#include "yuccabeam/placement/target_table.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// One service of a deployment in virtual time: the gateway's decisions on
/// all daemons, and targets that fail gray in turns. No sockets, no threads.
namespace yuccabeam::bench {

/// How some targets fail while their health looks good.
enum class target_trouble : std::uint8_t {
    none,
    reset,
    hang,
    errors,
    shed,
    slow
};

struct trouble_period {
    target_trouble kind = target_trouble::none;
    double share = 1;        ///< of the requests that it hits
    std::size_t targets = 1; ///< first ones in order
    duration from{};
    duration length{};
    double slow_factor = 1; ///< on the work time, for `slow`
};

/// How a target that is gone meets connections.
enum class loss_kind : std::uint8_t {
    refuses, ///< at once; what it had is reset
    dark     ///< nothing comes back
};

/// Targets that are gone from a moment on, the last ones in order.
struct target_loss {
    std::size_t targets = 0;
    duration at{};
    loss_kind kind = loss_kind::refuses;
};

/// Daemons that restart one after another. The next process takes all new
/// requests, and knows the list of targets only.
struct restart_series {
    std::size_t daemons = 0;
    duration from{};
    duration gap{};
};

struct placement_scenario {
    std::string name;
    std::size_t daemons = 32;
    double repeat_slack = 50; ///< of the fleet's budget in one window
    std::size_t domains = 3;
    duration link = std::chrono::milliseconds(3); ///< between domains, one way
    std::size_t targets = 15;
    double non_idempotent_per_s = 60;
    double idempotent_per_s = 5;
    double checks_per_s = 8;
    duration work = std::chrono::milliseconds(480); ///< mean
    double work_spread = 0.3; ///< sigma of the log-normal work time
    duration objective = std::chrono::seconds(2);
    duration timeout = std::chrono::seconds(4);
    /// Part by which work takes longer at a target with all slots in use;
    /// from half of them on it grows in proportion.
    double full_slowdown = 0.15;
    std::size_t answer_bytes = 5'000;
    double error_share = 0.012; ///< requests that fail wherever they run
    /// Each target turns over after a period of this mean and is then
    /// failing with the given probability.
    duration turn_period = std::chrono::seconds(9);
    double failing_share = 0.3;
    double failing_resets = 0.85; ///< requests that a failing target resets
    std::vector<trouble_period> troubles;
    std::vector<target_loss> losses;
    /// From the loss of a target until its entry is missing in the lists.
    duration entry_lease = std::chrono::milliseconds(4'500);
    duration connect_timeout = std::chrono::milliseconds(300);
    restart_series restarts;
    /// Requests sent in this time are counted apart.
    duration window_from{};
    duration window_length{};
    duration length = std::chrono::seconds(40);
    /// From here on the use of healthy targets is measured. The windows slide;
    /// those with fewer healthy targets than the least number don't count.
    duration usage_from = std::chrono::seconds(10);
    duration usage_window = std::chrono::seconds(2);
    std::size_t usage_least_targets = 4;
    double usage_share = 0.7;
    /// Between what a failure domain tells the others of its load.
    duration digest_period = std::chrono::milliseconds(100);
    std::size_t digest_targets = 35; ///< in one such message
    double message_loss = 0.001;
    std::uint64_t seed = 1;
};

struct class_result {
    std::uint64_t asked = 0;
    std::uint64_t in_objective = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;

    double failed_share() const;
    double late_share() const;
    double served_share() const;
};

/// Share of the healthy targets that got a request in a window, over all
/// windows from the scenario's `usage_from` on.
struct usage_result {
    std::uint64_t windows = 0;
    std::uint64_t windows_below = 0; ///< with less than the least share
    double least_share = 1;
    double sum_of_shares = 0;

    double mean_share() const;
};

struct placement_result {
    class_result non_idempotent;
    class_result idempotent;
    std::uint64_t arrivals = 0; ///< requests that reached a target
    std::uint64_t resets = 0;
    double longest_queue = 0;
    double crossing_share = 0; ///< arrivals from another failure domain
    double repeat_share = 0;   ///< arrivals beyond the first, of requests
    std::map<std::string, std::uint64_t> reasons; ///< of requests that failed
    class_result window; ///< of the scenario's window, checks included
    class_result window_checks;
    usage_result usage;
    std::vector<time_point> request_times;
    std::vector<time_point> repeat_times; ///< arrivals beyond a request's first
};

/// Runs a scenario from the start of all daemons on.
placement_result
run_placement(placement_scenario const& scenario,
              placement::target_table_options const& table = {},
              placement::dispatch_options const& dispatch = {});

std::vector<placement_scenario> const& placement_scenarios();

} // namespace yuccabeam::bench
