#include "placement_targets.hpp"

#include <algorithm>
#include <cmath>
#include <list>

namespace yuccabeam::bench {

namespace {

using placement::attempt_outcome;
using placement::dispatch_action;
using placement::dispatch_step;

constexpr duration local_link = std::chrono::microseconds(200);
constexpr duration near_heartbeat = std::chrono::seconds(1);
constexpr duration far_heartbeat = std::chrono::seconds(3);
constexpr duration check_work = std::chrono::milliseconds(20);
constexpr duration check_timeout = std::chrono::seconds(1);
constexpr double tail_share = 0.01;
constexpr double tail_factor = 5;
constexpr duration usage_period = std::chrono::milliseconds(250);

struct entry_vm {
    std::size_t domain = 0;
    std::shared_ptr<placement::target_table> table;
    std::shared_ptr<placement::fleet_budget> budget;
};

placement::retry_budget_options
budget_options(placement_scenario const& scenario) {
    placement::retry_budget_options out;
    out.fleet_slack = scenario.repeat_slack;
    return out;
}

placement::target_table_options
table_options(placement_scenario const& scenario,
              placement::target_table_options out) {
    out.domain_report_targets = scenario.digest_targets;
    return out;
}

class world {
public:
    world(placement_scenario const& scenario,
          placement::target_table_options const& table,
          placement::dispatch_options const& dispatch)
        : scenario_(scenario), table_options_(table_options(scenario, table)),
          dispatch_options_(dispatch), random_(scenario.seed),
          targets_(scenario, time_, random_,
                   [this](std::size_t target, job_ptr const& work,
                          attempt_outcome outcome) {
                       respond(target, work, outcome);
                   }) {
        for (std::size_t i = 0; i < scenario.daemons; ++i) {
            daemons_.push_back({i % scenario.domains, {}, {}});
            start_process(i, 0, placement::initial_credit::full);
        }
    }

    placement_result run() {
        targets_.start();
        for (auto const& loss : scenario_.losses)
            after(loss.at + scenario_.entry_lease, [this] { tell_list(); });
        for (std::size_t i = 0; i < scenario_.restarts.daemons; ++i)
            after(scenario_.restarts.from +
                      static_cast<int>(i) * scenario_.restarts.gap,
                  [this, i] {
                      start_process(i, random_(),
                                    placement::initial_credit::none);
                  });
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            heartbeat(i, 0);
        for (std::size_t i = 0; i < scenario_.domains; ++i)
            digest(i);
        tick();
        next_request(true);
        next_request(false);
        next_check();
        after(scenario_.usage_from, [this] { sample_usage(); });
        time_.run_until(time_point{} + scenario_.length);
        auto const asked = std::max<double>(
            1, static_cast<double>(result_.non_idempotent.asked +
                                   result_.idempotent.asked));
        result_.repeat_share = static_cast<double>(repeats_) / asked;
        result_.crossing_share =
            static_cast<double>(crossings_) /
            std::max<double>(1, static_cast<double>(result_.arrivals));
        result_.resets = targets_.resets();
        result_.longest_queue = targets_.longest_queue();
        return result_;
    }

private:
    void after(duration delay, std::function<void()> run) {
        time_.after(delay, std::move(run));
    }

    double uniform() {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }
    bool happens(double probability) { return uniform() < probability; }
    duration exponential(duration mean) {
        return from_seconds(std::exponential_distribution<double>(
            1 / to_seconds(mean))(random_));
    }
    duration link(std::size_t a, std::size_t b) const {
        return a == b ? local_link : scenario_.link;
    }

    void respond(std::size_t target, job_ptr const& work,
                 attempt_outcome outcome) {
        after(way(target, *work->from),
              [this, work, outcome] { end_attempt(work, outcome); });
    }

    duration way(std::size_t target, model_request const& from) const {
        return link(targets_.domain(target), daemons_[from.daemon].domain);
    }

    void end_attempt(job_ptr const& work, attempt_outcome outcome) {
        auto& dispatch = *work->from->dispatch;
        if (!dispatch.ended() && dispatch.attempts()[work->attempt].running)
            follow(work->from,
                   dispatch.on_attempt_end(work->attempt, outcome, now_,
                                           scenario_.answer_bytes));
    }

    // --- requests -----------------------------------------------------------

    // Requests that operators' tools send to see what is in force: little
    // work, little time.
    void next_check() {
        if (scenario_.checks_per_s <= 0)
            return;
        after(exponential(from_seconds(1 / scenario_.checks_per_s)), [this] {
            submit(scenario_.non_idempotent_per_s <= 0, true);
            next_check();
        });
    }

    void next_request(bool idempotent) {
        auto const rate = idempotent ? scenario_.idempotent_per_s
                                     : scenario_.non_idempotent_per_s;
        if (rate <= 0)
            return;
        after(exponential(from_seconds(1 / rate)), [this, idempotent] {
            submit(idempotent, false);
            next_request(idempotent);
        });
    }

    duration draw_work() {
        auto const sigma = scenario_.work_spread;
        std::lognormal_distribution<double> spread(-sigma * sigma / 2, sigma);
        auto const factor =
            spread(random_) * (happens(tail_share) ? tail_factor : 1);
        return from_seconds(to_seconds(scenario_.work) * factor);
    }

    void submit(bool idempotent, bool check) {
        auto from = std::make_shared<model_request>();
        from->daemon = random_() % daemons_.size();
        from->idempotent = idempotent;
        from->check = check;
        from->arrived = now_;
        from->work = check ? check_work : draw_work();
        from->has_error = happens(scenario_.error_share);
        auto const end = time_point{} + scenario_.length;
        from->counted = !check && now_ + scenario_.timeout < end;
        auto const window = time_point{} + scenario_.window_from;
        from->in_window =
            now_ >= window && now_ < window + scenario_.window_length;
        result_.request_times.push_back(now_);
        auto const timeout = check ? check_timeout : scenario_.timeout;
        auto const& vm = daemons_[from->daemon];
        from->process = std::make_shared<entry_vm>(vm);
        placement::dispatch_request wanted;
        wanted.service = model_service();
        wanted.idempotent = idempotent;
        wanted.max_attempts = 2;
        wanted.latency_objective = scenario_.objective;
        wanted.deadline = now_ + timeout;
        from->dispatch = std::make_unique<placement::request_dispatch>(
            wanted,
            placement::dispatch_dependencies{
                *vm.table, vm.budget->own(),
                [budget = vm.budget](time_point now) {
                    return budget->own().allows(now);
                }},
            dispatch_options_);
        if (from->counted)
            ++result_of(*from).asked;
        if (from->in_window)
            ++result_.window.asked;
        if (from->in_window && check)
            ++result_.window_checks.asked;
        after(timeout, [this, from] {
            if (!from->dispatch->ended())
                follow(from, from->dispatch->on_deadline(now_));
        });
        follow(from, from->dispatch->start(now_));
    }

    void follow(std::shared_ptr<model_request> const& from,
                dispatch_step const& step) {
        for (auto const& update : step.updates)
            tell(from->daemon, update);
        for (auto const& activity : step.activity)
            tell_near(from->daemon, activity);
        if (step.action == dispatch_action::send)
            send(from, step.attempt);
        plan_check(from);
        if (!from->dispatch->ended())
            return;
        count_end(*from, step);
        cancel_jobs(*from);
    }

    void send(std::shared_ptr<model_request> const& from, std::size_t attempt) {
        auto const target = static_cast<std::size_t>(
            std::stoul(from->dispatch->attempts()[attempt].to.id.value));
        auto const work = std::make_shared<model_job>(model_job{from, attempt});
        jobs_[from.get()].push_back({target, work});
        reach(target, work);
    }

    void plan_check(std::shared_ptr<model_request> const& from) {
        auto const due = from->dispatch->next_check();
        if (!due || from->check_planned == due)
            return;
        from->check_planned = due;
        after(*due - now_, [this, from] {
            if (!from->dispatch->ended() &&
                from->dispatch->next_check() == now_)
                follow(from, from->dispatch->on_check(now_));
        });
    }

    void reach(std::size_t target, job_ptr const& work) {
        auto const there = way(target, *work->from);
        if (targets_.lost(target) == loss_kind::dark)
            after(scenario_.connect_timeout, [this, work] {
                end_attempt(work, attempt_outcome::connect_failed);
            });
        else
            after(there, [this, target, work] { arrive(target, work); });
    }

    void arrive(std::size_t target, job_ptr const& work) {
        if (targets_.lost(target)) {
            respond(target, work, attempt_outcome::connect_failed);
            return;
        }
        count_arrival(target, *work);
        targets_.arrive(target, work);
    }

    void count_arrival(std::size_t target, model_job const& work) {
        if (++work.from->arrivals > 1)
            result_.repeat_times.push_back(now_);
        if (!work.from->counted)
            return;
        ++result_.arrivals;
        crossings_ +=
            targets_.domain(target) != daemons_[work.from->daemon].domain;
        repeats_ += work.attempt > 0;
    }

    void cancel_jobs(model_request const& from) {
        auto const found = jobs_.find(&from);
        if (found == jobs_.end())
            return;
        for (auto const& [target, work] : found->second)
            after(way(target, from), [this, target = target, work = work] {
                targets_.cancel(target, work);
            });
        jobs_.erase(found);
    }

    class_result& result_of(model_request const& from) {
        return from.idempotent ? result_.idempotent : result_.non_idempotent;
    }

    void count_end(model_request const& from, dispatch_step const& step) {
        if (from.in_window)
            count_in(result_.window, from);
        if (from.in_window && from.check)
            count_in(result_.window_checks, from);
        if (!from.counted)
            return;
        if (!from.dispatch->succeeded())
            ++result_.reasons[step.action == dispatch_action::end
                                  ? std::string(step.reason)
                                  : "target_error"];
        count_in(result_of(from), from);
    }

    void count_in(class_result& result, model_request const& from) const {
        if (from.dispatch->succeeded())
            ++(now_ - from.arrived <= scenario_.objective ? result.in_objective
                                                          : result.late);
        else if (!from.dispatch->may_have_run())
            ++result.refused;
        else
            ++result.failed;
    }

    // --- daemons ------------------------------------------------------------

    void start_process(std::size_t daemon, std::uint64_t first_number,
                       placement::initial_credit credit) {
        auto& vm = daemons_[daemon];
        vm.table = std::make_shared<placement::target_table>(
            failure_domain_id{domain_name(vm.domain)}, random_(),
            table_options_);
        vm.budget = std::make_shared<placement::fleet_budget>(
            budget_options(scenario_), daemon_id{std::to_string(daemon)},
            first_number, now_, credit);
        vm.budget->own().on_fleet_size(scenario_.daemons, now_);
        vm.table->replace(targets_.listed(), now_);
    }

    void tell_list() {
        for (auto& vm : daemons_)
            vm.table->replace(targets_.listed(), now_);
    }

    void message(std::size_t from, std::size_t to, std::function<void()> run) {
        if (happens(scenario_.message_loss))
            return;
        after(link(daemons_[from].domain, daemons_[to].domain), std::move(run));
    }

    void tell(std::size_t from, placement::dispatch_update const& update) {
        for (std::size_t to = 0; update.notice && to < daemons_.size(); ++to)
            if (to != from)
                message(from, to, [this, to, update] {
                    daemons_[to].table->on_peer_notice(*update.notice, now_);
                });
        ask_for_credit(from);
    }

    void ask_for_credit(std::size_t from) {
        auto const due = daemons_[from].budget->next_credit_request(now_);
        if (!due)
            return;
        auto const grantor = std::stoul(due->grantor.value);
        message(from, grantor, [this, from, grantor, request = due->request] {
            auto const grant =
                daemons_[grantor].budget->on_credit_request(request, now_);
            message(grantor, from, [this, from, grant] {
                daemons_[from].budget->on_grant(grant, now_);
            });
        });
    }

    void tell_near(std::size_t from,
                   placement::target_activity const& activity) {
        for (std::size_t to = 0; to < daemons_.size(); ++to)
            if (to != from && daemons_[to].domain == daemons_[from].domain)
                message(from, to, [this, from, to, activity] {
                    daemons_[to].table->on_peer_activity({std::to_string(from)},
                                                         activity, now_);
                });
    }

    // A daemon of each failure domain tells the others what its domain has at
    // each target.
    void digest(std::size_t domain) {
        // Each daemon tells in turn.
        std::size_t from = random_() % daemons_.size();
        while (daemons_[from].domain != domain)
            from = (from + 1) % daemons_.size();
        auto totals = daemons_[from].table->domain_activity(now_);
        if (totals.size() > scenario_.digest_targets)
            totals.resize(scenario_.digest_targets);
        for (std::size_t to = 0; to < daemons_.size(); ++to)
            if (daemons_[to].domain != domain)
                message(from, to, [this, domain, to, totals] {
                    daemons_[to].table->on_domain_activity(
                        {domain_name(domain)}, totals, now_);
                });
        after(scenario_.digest_period, [this, domain] { digest(domain); });
    }

    void heartbeat(std::size_t from, std::size_t count) {
        auto const report = daemons_[from].budget->report(now_);
        bool const far = count % (far_heartbeat / near_heartbeat) == 0;
        for (std::size_t to = 0; to < daemons_.size(); ++to)
            if (to != from &&
                (far || daemons_[to].domain == daemons_[from].domain))
                message(from, to, [this, from, to, report] {
                    daemons_[to].budget->on_report({std::to_string(from)},
                                                   report, now_);
                });
        after(near_heartbeat,
              [this, from, count] { heartbeat(from, count + 1); });
    }

    void sample_usage() {
        auto const now = targets_.usage();
        if (now.healthy >= scenario_.usage_least_targets) {
            auto& usage = result_.usage;
            auto const share = static_cast<double>(now.used) /
                               static_cast<double>(now.healthy);
            ++usage.windows;
            usage.windows_below += share < scenario_.usage_share;
            usage.least_share = std::min(usage.least_share, share);
            usage.sum_of_shares += share;
        }
        after(usage_period, [this] { sample_usage(); });
    }

    void tick() {
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            auto& vm = daemons_[i];
            vm.table->loads().set_fleet_rate(
                model_service(),
                vm.budget->fleet_requests(scenario_.daemons, now_) /
                    to_seconds(vm.budget->own().window()));
            ask_for_credit(i);
        }
        after(std::chrono::milliseconds(250), [this] { tick(); });
    }

    placement_scenario const& scenario_;
    placement::target_table_options table_options_;
    placement::dispatch_options dispatch_options_;
    std::mt19937_64 random_;
    virtual_time time_;
    time_point const& now_ = time_.now();
    model_targets targets_;
    std::vector<entry_vm> daemons_;
    std::map<model_request const*, std::vector<std::pair<std::size_t, job_ptr>>>
        jobs_;
    std::uint64_t crossings_ = 0;
    std::uint64_t repeats_ = 0;
    placement_result result_;
};

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

double class_result::failed_share() const {
    return share(failed + refused, asked);
}

double class_result::served_share() const {
    return share(in_objective + late, asked);
}

double class_result::late_share() const {
    return share(late, asked);
}

double usage_result::mean_share() const {
    return windows == 0 ? 1 : sum_of_shares / static_cast<double>(windows);
}

placement_result run_placement(placement_scenario const& scenario,
                               placement::target_table_options const& table,
                               placement::dispatch_options const& dispatch) {
    return world(scenario, table, dispatch).run();
}

} // namespace yuccabeam::bench
