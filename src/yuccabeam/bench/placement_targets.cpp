#include "placement_targets.hpp"

#include <algorithm>

namespace yuccabeam::bench {

namespace {

using placement::attempt_outcome;

constexpr std::size_t slots = 6;
constexpr std::size_t queue_limit = 24;
constexpr std::size_t connection_limit = 330;
// A target counts as healthy this long after its own failures, and after a
// trouble that was planned.
constexpr duration own_recovery = std::chrono::seconds(2);
constexpr duration trouble_recovery = std::chrono::seconds(6);

duration exponential(duration mean, std::mt19937_64& random) {
    return from_seconds(
        std::exponential_distribution<double>(1 / to_seconds(mean))(random));
}

} // namespace

std::string domain_name(std::size_t domain) {
    return std::string(1, 'd').append(std::to_string(domain));
}

service_id const& model_service() {
    static service_id const service{"svc"};
    return service;
}

model_targets::model_targets(placement_scenario const& scenario,
                             virtual_time& time, std::mt19937_64& random,
                             job_ended ended)
    : scenario_(scenario), time_(time), random_(random),
      ended_(std::move(ended)) {
    for (std::size_t i = 0; i < scenario.targets; ++i)
        servers_.push_back({i % scenario.domains});
}

void model_targets::start() {
    for (std::size_t i = 0; i < servers_.size(); ++i)
        turn(i);
    for (auto const& period : scenario_.troubles)
        plan(period);
    for (auto const& loss : scenario_.losses)
        time_.after(loss.at, [this, loss] { lose(loss); });
}

bool model_targets::happens(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::size_t model_targets::domain(std::size_t target) const {
    return servers_[target].domain;
}

std::optional<loss_kind> model_targets::lost(std::size_t target) const {
    return servers_[target].lost;
}

std::vector<discovered_target> model_targets::listed() const {
    std::vector<discovered_target> out;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        auto const& at = servers_[i];
        if (at.lost && time_.now() >= at.lost_at + scenario_.entry_lease)
            continue;
        discovered_target target;
        target.target = {{std::to_string(i)},
                         model_service(),
                         {domain_name(at.domain)},
                         "",
                         slots,
                         connection_limit};
        out.push_back(target);
    }
    return out;
}

// --- failures ---------------------------------------------------------------

void model_targets::turn(std::size_t target) {
    auto& at = servers_[target];
    bool const was_failing =
        std::exchange(at.failing, happens(scenario_.failing_share));
    if (was_failing && !at.failing)
        at.healthy_from = std::max(at.healthy_from, time_.now() + own_recovery);
    time_.after(exponential(scenario_.turn_period, random_),
                [this, target] { turn(target); });
}

void model_targets::plan(trouble_period const& period) {
    time_.after(period.from, [this, period] {
        for (std::size_t i = 0; i < period.targets; ++i) {
            servers_[i].trouble = period.kind;
            servers_[i].trouble_share = period.share;
            servers_[i].slow_factor = period.slow_factor;
        }
    });
    time_.after(period.from + period.length, [this, period] {
        for (std::size_t i = 0; i < period.targets; ++i) {
            servers_[i].trouble = target_trouble::none;
            servers_[i].slow_factor = 1;
            servers_[i].healthy_from = time_.now() + trouble_recovery;
        }
    });
}

// The last targets in order, so that a trouble of the first ones meets those
// that are left.
void model_targets::lose(target_loss const& loss) {
    for (std::size_t i = 0; i < loss.targets; ++i) {
        auto const target = servers_.size() - 1 - i;
        auto& at = servers_[target];
        at.lost = loss.kind;
        at.lost_at = time_.now();
        auto held = std::exchange(at.running, {});
        held.insert(held.end(), at.queue.begin(), at.queue.end());
        at.queue.clear();
        at.busy = 0;
        for (auto const& work : held) {
            work->running = false;
            if (!work->cancelled && loss.kind == loss_kind::refuses)
                ended_(target, work, attempt_outcome::reset);
        }
    }
}

model_targets::healthy_usage model_targets::usage() const {
    auto const from = time_.now() - scenario_.usage_window;
    healthy_usage out;
    for (auto const& at : servers_) {
        if (at.failing || at.lost || at.trouble != target_trouble::none ||
            at.healthy_from > from)
            continue;
        ++out.healthy;
        out.used += at.last_arrival >= from;
    }
    return out;
}

// --- requests ---------------------------------------------------------------

// A planned spell of resets takes the place of the target's own turns.
bool model_targets::resets_request(server const& at) {
    if (at.trouble == target_trouble::reset)
        return happens(at.trouble_share);
    return at.failing && happens(scenario_.failing_resets);
}

void model_targets::arrive(std::size_t target, job_ptr const& work) {
    auto& to = servers_[target];
    to.last_arrival = time_.now();
    if (work->cancelled)
        return;
    if (resets_request(to)) {
        ++resets_;
        ended_(target, work, attempt_outcome::reset);
        return;
    }
    bool const hit = happens(to.trouble_share);
    if (hit && to.trouble == target_trouble::hang)
        return;
    bool const full = to.busy >= slots && to.queue.size() >= queue_limit;
    if ((hit && to.trouble == target_trouble::shed) || full)
        ended_(target, work, attempt_outcome::not_run);
    else if (to.busy < slots)
        begin(target, work);
    else
        to.queue.push_back(work);
    longest_queue_ =
        std::max(longest_queue_, static_cast<double>(to.queue.size()));
}

void model_targets::begin(std::size_t target, job_ptr const& work) {
    auto& at = servers_[target];
    ++at.busy;
    at.running.push_back(work);
    work->running = true;
    time_.after(work_time(target, *work),
                [this, target, work] { end(target, work); });
}

void model_targets::end(std::size_t target, job_ptr const& work) {
    if (!work->running)
        return;
    work->running = false;
    bool const error = work->from->has_error ||
                       (servers_[target].trouble == target_trouble::errors &&
                        happens(servers_[target].trouble_share));
    ended_(target, work,
           error ? attempt_outcome::target_error : attempt_outcome::success);
    release(target, work);
}

duration model_targets::work_time(std::size_t target,
                                  model_job const& work) const {
    auto const& at = servers_[target];
    double const busy = static_cast<double>(at.busy) / slots;
    double const crowd =
        1 + scenario_.full_slowdown * std::max(0.0, 2 * busy - 1);
    return from_seconds(to_seconds(work.from->work) * crowd * at.slow_factor);
}

void model_targets::release(std::size_t target, job_ptr const& work) {
    auto& of = servers_[target];
    --of.busy;
    std::erase(of.running, work);
    while (!of.queue.empty()) {
        auto const next = of.queue.front();
        of.queue.pop_front();
        if (next->cancelled)
            continue;
        begin(target, next);
        return;
    }
}

void model_targets::cancel(std::size_t target, job_ptr const& work) {
    work->cancelled = true;
    if (std::exchange(work->running, false))
        release(target, work);
}

} // namespace yuccabeam::bench
