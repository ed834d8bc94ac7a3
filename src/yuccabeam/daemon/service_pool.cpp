#include "yuccabeam/daemon/service_pool.hpp"

#include "yuccabeam/routing/health_state.hpp"
#include "yuccabeam/routing/select_impl.hpp"

#include <algorithm>
#include <span>

namespace yuccabeam::daemon {

namespace {

// Weight of one answer in the moving mean of the time to the head.
constexpr double latency_share = 0.05;

health::health_options options_of(snapshot const& configuration) {
    health::health_options options;
    options.detector = health::options_for(configuration.rules.policy);
    return options;
}

limits::attempt_result load_result(health::request_outcome outcome) {
    switch (outcome) {
    case health::request_outcome::ok:
    case health::request_outcome::server_error:
    case health::request_outcome::short_answer:
    case health::request_outcome::caller_error:
        return limits::attempt_result::ok;
    case health::request_outcome::shed:
        return limits::attempt_result::shed;
    case health::request_outcome::timeout:
        return limits::attempt_result::timeout;
    default:
        return limits::attempt_result::neutral;
    }
}

refusal refusal_of(limits::drop_reason reason) {
    return reason == limits::drop_reason::cannot_finish ? refusal::cannot_finish
                                                        : refusal::queue_full;
}

} // namespace

service_pool::service_pool(health::observer_identity self,
                           snapshot const& configuration, service_id id,
                           std::uint64_t seed, time_point now)
    : self_(std::move(self)), id_(std::move(id)),
      health_(self_, health::topology_of(configuration, id_),
              options_of(configuration), now),
      random_(seed), options_(options_of(configuration)) {
    rebuild_records(configuration);
}

void service_pool::configure(snapshot const& configuration, time_point now) {
    std::lock_guard lock(mutex_);
    options_ = options_of(configuration);
    auto topology = health::topology_of(configuration, id_);
    health_.configure(topology, options_.detector, now);
    if (arbiter_)
        arbiter_->configure(std::move(topology), options_.detector, now);
    rebuild_records(configuration);
}

void service_pool::rebuild_records(snapshot const& configuration) {
    auto const old = std::move(records_);
    for (auto const& record : old)
        record->index.reset();
    auto const& topology = health_.topology();
    records_.assign(topology.targets.size(), nullptr);
    domain_numbers_.clear();
    for (auto const& target : configuration.asset_register.targets) {
        if (target.service != id_)
            continue;
        auto const index = health::target_index(topology, target.id.value);
        if (!index)
            continue;
        // A target whose address changed is another process.
        auto const known =
            std::find_if(old.begin(), old.end(), [&](auto const& candidate) {
                return candidate->target.id == target.id &&
                       candidate->target.address == target.address;
            });
        auto record =
            known != old.end() ? *known : std::make_shared<target_record>();
        if (known == old.end())
            record->limit = limits::concurrency_limit(target.slots);
        else
            record->limit.resize(target.slots);
        record->target = target;
        record->index = index;
        domain_numbers_.try_emplace(
            target.failure_domain,
            static_cast<std::uint32_t>(domain_numbers_.size()));
        records_[*index] = std::move(record);
    }
    // Number of a failure domain in which this service has no target.
    domain_numbers_.try_emplace(
        self_.failure_domain,
        static_cast<std::uint32_t>(domain_numbers_.size()));
}

void service_pool::set_home_daemons(std::vector<daemon_id> const& homes,
                                    std::uint32_t known, time_point now) {
    std::lock_guard lock(mutex_);
    home_daemons_ = known;
    arbiter_id_ = homes.empty() ? self_.id : homes.front();
    health_.choose_arbiter(arbiter_id_, home_daemons_);
    if (arbiter_id_ != self_.id) {
        arbiter_.reset();
        return;
    }
    if (!arbiter_)
        arbiter_.emplace(self_.id, self_.incarnation + arbiters_started_++,
                         health_.topology(), options_, random_(), now);
    arbiter_->set_home_daemons(home_daemons_);
}

void service_pool::refresh_candidates(time_point now) {
    candidates_.clear();
    for (std::uint32_t i = 0; i < records_.size(); ++i) {
        auto const& record = *records_[i];
        auto const status = health_.status(i, now);
        routing::candidate candidate;
        candidate.index = i;
        candidate.slots = record.target.slots;
        candidate.weight = status.weight;
        candidate.in_flight = record.in_flight;
        candidate.failure_domain =
            domain_numbers_.at(record.target.failure_domain);
        candidate.state = routing::selection_state(status.state);
        candidate.limit = record.limit.limit();
        candidates_.push_back(candidate);
    }
}

std::vector<std::uint32_t>
service_pool::excluded(pool_request const& wanted) const {
    std::vector<std::uint32_t> out;
    for (auto const& record : wanted.tried)
        if (record->index)
            out.push_back(*record->index);
    return out;
}

std::variant<attempt_ptr, routing::select_status>
service_pool::try_start(pool_request const& wanted, time_point now) {
    refresh_candidates(now);
    auto skip = excluded(wanted);
    routing::select_options options;
    options.failure_domain = domain_numbers_.at(self_.failure_domain);
    options.may_run_trial = wanted.idempotent && wanted.tried.empty();
    for (;;) {
        auto const picked = routing::select(
            std::span<routing::candidate const>(candidates_), options,
            std::span<std::uint32_t const>(skip), random_);
        if (picked.status != routing::select_status::chosen)
            return picked.status;
        bool const trial =
            candidates_[picked.index].state == routing::target_state::trial;
        if (!trial || health_.try_start_trial(picked.index, now))
            return start_at(picked.index, wanted, trial, now);
        skip.push_back(picked.index);
    }
}

attempt_ptr service_pool::start_at(std::uint32_t index,
                                   pool_request const& wanted, bool trial,
                                   time_point now) {
    auto started = std::make_shared<attempt>();
    started->record = records_[index];
    started->target = started->record->target.id;
    started->address = started->record->target.address;
    started->kind = wanted.kind;
    started->caller = std::hash<account_id>{}(wanted.account);
    started->started = now;
    started->trial = trial;
    ++started->record->in_flight;
    auto const kind = health::kind_index(health_.topology(), wanted.kind.value);
    if (kind) {
        auto const allowance = health_.slow_after(index, *kind);
        if (allowance < time_point::max() - now)
            overdue_.emplace(now + allowance, started);
    }
    return started;
}

void service_pool::acquire(pool_request wanted,
                           std::shared_ptr<waiting_request> request,
                           time_point now) {
    notifications out;
    {
        std::lock_guard lock(mutex_);
        if (wanted.tried.empty())
            budget_.on_request();
        // Requests that wait already go first.
        if (queue_.empty()) {
            auto started = try_start(wanted, now);
            if (auto* attempt = std::get_if<attempt_ptr>(&started))
                out.push_back({std::move(request), std::move(*attempt)});
            else if (std::get<routing::select_status>(started) ==
                     routing::select_status::none_eligible)
                out.push_back({std::move(request), refusal::no_target});
        }
        if (out.empty()) {
            enqueue({std::move(wanted), std::move(request)}, now, out);
            pump(now, out);
        }
    }
    notify(out);
}

void service_pool::enqueue(waiting entry, time_point now, notifications& out) {
    limits::queue_entry queued;
    queued.id = next_entry_++;
    queued.account = entry.wanted.account;
    queued.weight = entry.wanted.weight;
    queued.priority = entry.wanted.priority;
    queued.deadline = entry.wanted.deadline;
    queued.service_time = usual_latency_;
    waiting_.emplace(queued.id, std::move(entry));
    handle(queue_.push(queued, now), now, out);
}

void service_pool::handle(std::vector<limits::queue_action> const& actions,
                          time_point now, notifications& out) {
    for (auto const& action : actions) {
        if (auto const* drop = std::get_if<limits::drop_entry>(&action)) {
            auto entry = waiting_.extract(drop->id);
            out.push_back(
                {std::move(entry.mapped().request), refusal_of(drop->reason)});
            continue;
        }
        auto const id = std::get<limits::dispatch_entry>(action).id;
        auto entry = std::move(waiting_.extract(id).mapped());
        auto started = try_start(entry.wanted, now);
        if (auto* attempt = std::get_if<attempt_ptr>(&started))
            out.push_back({std::move(entry.request), std::move(*attempt)});
        else
            // The only free targets were tried before by this request.
            out.push_back({std::move(entry.request), refusal::no_target});
    }
}

std::size_t service_pool::free_slots() const {
    std::size_t free = 0;
    for (auto const& candidate : candidates_) {
        bool const usable = candidate.state == routing::target_state::healthy ||
                            candidate.state == routing::target_state::suspect;
        if (usable && candidate.limit > candidate.in_flight)
            free += candidate.limit - candidate.in_flight;
    }
    return free;
}

void service_pool::pump(time_point now, notifications& out) {
    if (queue_.empty())
        return;
    refresh_candidates(now);
    handle(queue_.take(free_slots(), now), now, out);
}

void service_pool::head_arrived(attempt& started) {
    std::lock_guard lock(mutex_);
    started.head_arrived = true;
}

void service_pool::release(attempt& ended, attempt_end const& end,
                           time_point now) {
    notifications out;
    {
        std::lock_guard lock(mutex_);
        auto& record = *ended.record;
        limits::attempt_report load;
        load.result = load_result(end.outcome);
        load.latency = end.until_head;
        load.in_flight = record.in_flight;
        record.limit.on_report(load, now);
        --record.in_flight;
        ended.head_arrived = true;
        if (end.outcome == health::request_outcome::ok) {
            auto const change = to_seconds(end.until_head - usual_latency_);
            usual_latency_ += from_seconds(latency_share * change);
        }
        auto const kind =
            health::kind_index(health_.topology(), ended.kind.value);
        if (record.index && kind) {
            health::observation seen;
            seen.target = *record.index;
            seen.kind = *kind;
            seen.outcome = end.outcome;
            seen.latency = end.until_head;
            seen.caller = ended.caller;
            seen.overdue_reported = ended.overdue_reported;
            seen.trial = ended.trial;
            health_.observe(seen, now);
            if (end.drain_signal)
                health_.mark_leaving(*record.index, now);
        }
        pump(now, out);
    }
    notify(out);
}

retry_conditions service_pool::conditions(
    std::vector<std::shared_ptr<target_record>> const& tried, time_point now) {
    std::lock_guard lock(mutex_);
    retry_conditions out;
    out.budget_available = budget_.available();
    out.overloaded = queue_.overloaded(now);
    refresh_candidates(now);
    for (auto const& candidate : candidates_) {
        bool const usable = candidate.state == routing::target_state::healthy ||
                            candidate.state == routing::target_state::suspect;
        bool const fresh = std::find(tried.begin(), tried.end(),
                                     records_[candidate.index]) == tried.end();
        out.other_target_available |= usable && fresh;
    }
    return out;
}

bool service_pool::take_retry() {
    std::lock_guard lock(mutex_);
    return budget_.take();
}

duration service_pool::usual_latency() const {
    std::lock_guard lock(mutex_);
    return usual_latency_;
}

void service_pool::report_overdue(time_point now) {
    while (!overdue_.empty() && overdue_.begin()->first <= now) {
        auto const started = overdue_.begin()->second.lock();
        overdue_.erase(overdue_.begin());
        if (!started || started->head_arrived || !started->record->index)
            continue;
        auto const kind =
            health::kind_index(health_.topology(), started->kind.value);
        if (!kind)
            continue;
        health::observation seen;
        seen.target = *started->record->index;
        seen.kind = *kind;
        seen.outcome = health::request_outcome::overdue;
        seen.latency = now - started->started;
        seen.caller = started->caller;
        seen.trial = started->trial;
        started->overdue_reported = true;
        health_.observe(seen, now);
    }
}

std::vector<health_message> service_pool::tick(time_point now) {
    notifications out;
    std::vector<health_message> messages;
    {
        std::lock_guard lock(mutex_);
        report_overdue(now);
        handle(queue_.take(0, now), now, out);
        pump(now, out);
        if (now >= health_.report_due()) {
            if (auto report = health_.report(now)) {
                if (report->arbiter == self_.id.value)
                    messages = judge(*report, now);
                else
                    messages.push_back(std::move(*report));
            }
        }
    }
    notify(out);
    return messages;
}

attempt_ptr service_pool::take_probe(time_point now) {
    std::lock_guard lock(mutex_);
    auto const index = health_.target_to_probe(now);
    if (!index || !health_.try_start_trial(*index, now))
        return nullptr;
    pool_request wanted;
    if (!health_.topology().kinds.empty())
        wanted.kind = health_.topology().kinds.front();
    return start_at(*index, wanted, true, now);
}

// Tables for this daemon are applied here; the others are returned.
std::vector<health_message>
service_pool::judge(health::evidence_report const& report, time_point now) {
    std::vector<health_message> out;
    if (!arbiter_ || report.arbiter != self_.id.value)
        return out;
    for (auto& table : arbiter_->receive(report, now)) {
        if (table.receiver == self_.id.value)
            health_.apply(table, now);
        else
            out.emplace_back(std::move(table));
    }
    return out;
}

std::vector<health_message>
service_pool::receive(health::evidence_report const& report, time_point now) {
    std::lock_guard lock(mutex_);
    return judge(report, now);
}

void service_pool::receive(health::ejection_table const& table,
                           time_point now) {
    notifications out;
    {
        std::lock_guard lock(mutex_);
        health_.apply(table, now);
        pump(now, out);
    }
    notify(out);
}

void service_pool::mark_leaving(target_id const& id, time_point now) {
    std::lock_guard lock(mutex_);
    if (auto const index = health::target_index(health_.topology(), id.value))
        health_.mark_leaving(*index, now);
}

pool_status service_pool::status(time_point now) const {
    std::lock_guard lock(mutex_);
    pool_status out;
    out.service = id_;
    out.floor_slots = health_.topology().floor_slots;
    out.healthy_slots = health_.healthy_slots(now);
    for (auto const& record : records_) {
        out.capacity_slots += record->target.slots;
        out.in_flight += record->in_flight;
    }
    out.queued = queue_.size();
    out.degraded = health_.degraded(now);
    out.overloaded = queue_.overloaded(now);
    out.arbiter = arbiter_id_;
    return out;
}

std::vector<health::explanation> service_pool::explain(time_point now) const {
    std::lock_guard lock(mutex_);
    std::vector<health::explanation> out;
    for (std::uint32_t i = 0; i < records_.size(); ++i)
        out.push_back(health_.explain(i, now));
    return out;
}

void service_pool::notify(notifications const& out) {
    for (auto const& [request, what] : out) {
        if (auto const* started = std::get_if<attempt_ptr>(&what))
            request->dispatched(*started);
        else
            request->refused(std::get<refusal>(what));
    }
}

} // namespace yuccabeam::daemon
