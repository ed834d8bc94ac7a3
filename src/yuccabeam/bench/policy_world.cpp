#include "policy_world.hpp"

#include <algorithm>

namespace yuccabeam::bench {
namespace {

/// A request waits this long for a slot before the target sheds it.
constexpr duration slot_wait = std::chrono::milliseconds(50);
constexpr std::uint32_t slots_per_target = 6;
constexpr std::uint64_t accounts = 200;
constexpr double cold_factor_at_start = 5;
constexpr duration cold_time = std::chrono::seconds(30);
/// A target without requests for this long counts as left.
constexpr duration quiet_time = std::chrono::seconds(2);
/// An ejection that outlasts its fault by this much is not a false one.
constexpr duration return_time = std::chrono::minutes(6);

bool has_fault(fake_target const& target) {
    return target.draining || target.fault.kind != fault_kind::none;
}

duration times(duration d, double factor) {
    return from_seconds(to_seconds(d) * factor);
}

} // namespace

double latency_histogram::quantile(double q) const {
    std::uint64_t total = 0;
    for (auto const& [bucket, count] : counts)
        total += count;
    auto left = q * static_cast<double>(total);
    for (auto const& [bucket, count] : counts)
        if ((left -= static_cast<double>(count)) <= 0)
            return std::exp((bucket + 1) * 0.02);
    return 0;
}

std::uint32_t world_options::floor_slots() const {
    return static_cast<std::uint32_t>(
        std::lround(floor_share * slots_per_target * service.targets));
}

world::world(world_options opts)
    : options(std::move(opts)), random(options.seed) {
    for (std::uint32_t i = 0; i < options.service.targets; ++i) {
        targets.emplace_back();
        targets.back().domain = i % options.deployment.domains;
        targets.back().slot_free.resize(slots_per_target);
    }
    healthy_since_.resize(targets.size(), time_point{} - return_time);
    was_ejected_.resize(targets.size());
    auto const slots =
        static_cast<std::uint32_t>(targets.size()) * slots_per_target;
    result_.lowest_slots = slots;
    result_.floor_slots = options.floor_slots();
    at({}, [this] { next_call(); });
}

void world::at(time_point when, action run) {
    events_.push({std::max(when, now_), sequence_++, std::move(run)});
}

void world::run_until(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
        auto run = std::move(const_cast<event&>(events_.top()).run);
        now_ = events_.top().when;
        events_.pop();
        run();
    }
    now_ = end;
}

double world::uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

duration world::delay(std::uint32_t a, std::uint32_t b) {
    auto const base = a == b ? duration(std::chrono::microseconds(200))
                             : options.deployment.link;
    return base + times(base, -0.2 * std::log(1 - uniform()));
}

std::uint32_t world::domain_of(std::uint32_t daemon) const {
    return daemon % options.deployment.domains;
}

bool world::alive(std::uint32_t daemon) const {
    return lost_domain_ != domain_of(daemon);
}

void world::message(std::uint32_t from, std::uint32_t to, action deliver) {
    if (from == to)
        at(now_, std::move(deliver));
    else if (alive(from) && alive(to) && uniform() >= options.message_loss)
        at(now_ + delay(domain_of(from), domain_of(to)), std::move(deliver));
}

void world::next_call() {
    auto const& service = options.service;
    auto const rate = rate_factor * options.load *
                      static_cast<double>(targets.size() * slots_per_target) /
                      to_seconds(service.median);
    add_call(0);
    at(now_ + from_seconds(-std::log(1 - uniform()) / rate),
       [this] { next_call(); });
}

void world::add_call(std::uint32_t repeats) {
    call made;
    do
        made.daemon =
            static_cast<std::uint32_t>(random() % options.deployment.daemons);
    while (!alive(made.daemon));
    made.arrived = now_;
    made.deadline = now_ + options.service.deadline;
    made.caller = (random() % accounts + 1) * 0x9e3779b97f4a7c15U;
    made.repeats = repeats;
    made.idempotent = uniform() < options.service.idempotent_share;
    submit(made.daemon, calls_.add(made));
}

std::uint64_t world::add_probe(std::uint32_t daemon) {
    call made;
    made.daemon = daemon;
    made.arrived = now_;
    made.deadline = now_ + std::chrono::seconds(1);
    made.probe = true;
    return calls_.add(made);
}

bool world::is_faulty(std::uint32_t target, std::uint32_t daemon) const {
    auto const& fault = targets[target].fault;
    return targets[target].draining ||
           (fault.kind != fault_kind::none &&
            fault.only_domain.value_or(domain_of(daemon)) == domain_of(daemon));
}

void world::send(std::uint32_t daemon, std::uint64_t call_id,
                 std::uint32_t target, bool trial) {
    auto& request = call_of(call_id);
    ++request.attempts;
    request.tried.push_back(target);
    if (measuring_ && !request.probe) {
        ++result_.attempts;
        result_.during_fault += std::ranges::any_of(targets, has_fault);
        if (is_faulty(target, daemon) && !trial) {
            ++result_.at_faulty;
            auto& last =
                last_at_faulty_.try_emplace(target, fault_start_[target])
                    .first->second;
            if (now_ - last >= quiet_time)
                quiet_from_.try_emplace(target, last);
            last = now_;
        }
    }
    auto const id =
        attempts_.add({call_id, daemon, target, now_, trial, false, false, {}});
    sent(id);
    at(now_ + delay(domain_of(daemon), targets[target].domain),
       [this, id] { arrive(id); });
}

void world::arrive(std::uint64_t id) {
    auto const& tried = *attempts_.find(id);
    auto& request = call_of(tried.call);
    auto& target = targets[tried.target];
    auto fault = target.fault;
    if (!is_faulty(tried.target, tried.daemon) || uniform() >= fault.share)
        fault = {};
    if (fault.kind == fault_kind::mute) {
        respond(id, time_point::max(), request_outcome::timeout);
        return;
    }
    if (fault.kind == fault_kind::refuse) {
        respond(id, now_, request_outcome::refused);
        return;
    }
    if (request.probe) {
        auto const answers = fault.kind != fault_kind::one_way;
        respond(id, answers ? now_ : time_point::max(), request_outcome::ok);
        return;
    }
    auto& slot =
        *std::min_element(target.slot_free.begin(), target.slot_free.end());
    auto const start = std::max(now_, slot);
    if (start > now_ + slot_wait) {
        respond(id, now_ + slot_wait, request_outcome::shed);
        return;
    }
    ++request.executions;
    std::normal_distribution<double> spread(0, options.sigma);
    auto time = times(options.service.median,
                      std::exp(spread(random)) * fault.slow_factor);
    if (target.cold_since && now_ < *target.cold_since + cold_time)
        time = times(time, cold_factor_at_start -
                               (cold_factor_at_start - 1) *
                                   to_seconds(now_ - *target.cold_since) /
                                   to_seconds(cold_time));
    // The target stops work at the request's deadline.
    slot = std::min(start + time, request.deadline);
    auto const bad =
        fault.kind == fault_kind::errors || uniform() < options.error_rate;
    respond(id,
            fault.kind == fault_kind::one_way ? time_point::max()
                                              : start + time,
            bad ? request_outcome::server_error : request_outcome::ok);
}

void world::respond(std::uint64_t id, time_point when,
                    request_outcome outcome) {
    auto& tried = *attempts_.find(id);
    auto const& request = call_of(tried.call);
    if (when != time_point::max())
        when += delay(domain_of(tried.daemon), targets[tried.target].domain);
    if (when > request.deadline) {
        when = request.deadline;
        outcome = request_outcome::timeout;
    }
    tried.outcome = outcome;
    tried.drain_signal = targets[tried.target].draining &&
                         outcome != request_outcome::timeout &&
                         outcome != request_outcome::refused;
    at(when, [this, id] {
        auto const copy = *attempts_.find(id);
        attempts_.release(id);
        if (alive(copy.daemon))
            ended(copy);
        else
            calls_.release(copy.call);
    });
}

void world::answer(std::uint64_t id, bool success) {
    auto const request = call_of(id);
    calls_.release(id);
    if (request.probe || !measuring_ || request.arrived < measured_from_)
        return;
    success = success && now_ <= request.deadline;
    ++result_.calls;
    result_.successes += success ? 1 : 0;
    result_.duplicates += !request.idempotent && request.executions > 1 ? 1 : 0;
    if (success)
        result_.latency.add(to_seconds(now_ - request.arrived) * 1000);
    auto const second =
        static_cast<std::size_t>(to_seconds(request.arrived - measured_from_));
    good_in_second_.resize(std::max(good_in_second_.size(), second + 1));
    calls_in_second_.resize(good_in_second_.size());
    ++calls_in_second_[second];
    good_in_second_[second] += success ? 1 : 0;
    if (!success && options.callers_repeat && request.repeats < 3)
        at(now_ + from_seconds(0.5 + uniform()),
           [this, repeats = request.repeats + 1] { add_call(repeats); });
}

void world::start_measuring() {
    measuring_ = true;
    measured_from_ = recovered_from_ = now_;
}

void world::set_fault(std::uint32_t target, target_fault fault) {
    targets[target].fault = fault;
    if (fault.kind != fault_kind::none)
        fault_start_.try_emplace(target, now_);
    healthy_since_[target] = now_;
}

void world::drain(std::uint32_t target, bool draining) {
    targets[target].draining = draining;
    if (draining)
        fault_start_.try_emplace(target, now_);
    healthy_since_[target] = now_;
}

void world::lose_domain(std::uint32_t domain) {
    lost_domain_ = domain;
    for (std::uint32_t i = 0; i < targets.size(); ++i)
        if (targets[i].domain == domain)
            set_fault(i, {fault_kind::mute, 1, 1, {}});
}

void world::list(std::uint32_t target, bool listed) {
    targets[target].listed = listed;
    healthy_since_[target] = now_;
    vm_list(target, !listed);
}

/// The VM list is read every 5 s; a leaving target stays in it.
void world::repeat_vm_list() {
    for (std::uint32_t t = 0; t < targets.size(); ++t)
        if (!targets[t].listed)
            vm_list(t, true);
    at(now_ + std::chrono::seconds(5), [this] { repeat_vm_list(); });
}

void world::start_sampling() {
    sample();
    at(now_ + options.sample_period, [this] { start_sampling(); });
}

void world::sample() {
    std::uint32_t capacity = 0;
    std::uint32_t ejected_slots = 0;
    for (std::uint32_t t = 0; t < targets.size(); ++t) {
        bool ejected = false;
        for (std::uint32_t d = 0; d < options.deployment.daemons; ++d)
            ejected = ejected || (alive(d) && ejects(d, t));
        auto const healthy = targets[t].fault.kind == fault_kind::none &&
                             now_ - healthy_since_[t] > return_time;
        if (measuring_ && ejected && !was_ejected_[t] && healthy)
            ++result_.false_ejections;
        was_ejected_[t] = ejected;
        if (!targets[t].listed || targets[t].draining)
            continue;
        capacity += slots_per_target;
        ejected_slots += ejected ? slots_per_target : 0;
    }
    if (!measuring_)
        return;
    auto const left = capacity - ejected_slots;
    result_.lowest_slots = std::min(result_.lowest_slots, left);
    auto const violated = ejected_slots > 0 && left < result_.floor_slots;
    result_.floor_violations += violated && !below_floor_ ? 1 : 0;
    below_floor_ = violated;
}

measurement world::finish() {
    for (auto const& [target, start] : fault_start_) {
        auto const last =
            last_at_faulty_.try_emplace(target, start).first->second;
        auto const quiet = quiet_from_.try_emplace(target, last).first->second;
        result_.detection_s.push_back(to_seconds(last - start));
        result_.quiet_s.push_back(to_seconds(quiet - start));
    }
    result_.target_days = to_seconds(now_ - measured_from_) / 86'400 *
                          static_cast<double>(targets.size());
    auto const from = to_seconds(recovered_from_ - measured_from_);
    // The last seconds' requests may not have ended.
    auto const end = good_in_second_.size() -
                     std::min<std::size_t>(good_in_second_.size(), 2);
    // Five failures at least: a share of few requests is noise.
    for (auto s = static_cast<std::size_t>(from); s < end; ++s) {
        auto const failed = calls_in_second_[s] - good_in_second_[s];
        if (failed >= 5 && failed > 0.05 * calls_in_second_[s])
            result_.recovery_s = static_cast<double>(s) + 1 - from;
    }
    return result_;
}

} // namespace yuccabeam::bench
