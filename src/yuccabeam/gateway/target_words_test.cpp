#include "simulated_fleet.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr duration leaving_limit =
    placement::target_table_options().leaving_limit;
// What is on its way when a target asks for a rest may still arrive.
constexpr duration rest_grace = 500ms;
constexpr std::size_t allowed_in_rest = 2;
constexpr duration run_time = 25s;

struct fleet_case {
    char const* guards;
    std::size_t domains;
    std::size_t daemons_per_domain;
    std::size_t targets;
    std::size_t silent_targets; ///< of six; the others say something
    duration request_interval;  ///< of each daemon, in the mean
    unsigned seeds;
};

/// A target as its own process sees it.
struct simulated_target {
    std::optional<duration> leaves_at;
    std::optional<duration> rests_at;
    duration rest{};
};

/// From the response that asked for a rest.
struct rest_period {
    time_point from;
    time_point until;
    std::size_t sent = 0; ///< requests within it
};

/// What a daemon has passed on from a target, and what it has sent there since.
struct exchange_record {
    std::optional<time_point> leaving_passed_on;
    std::vector<rest_period> rests;
};

/// Requests of a fleet to targets of which a third say that they leave or want
/// a rest. Daemons are cut off from each other or paused, and entries lapse and
/// return.
class words_simulation {
public:
    words_simulation(fleet_case const& c, unsigned seed)
        : random_(seed), interval_(c.request_interval),
          listed_(simulated_targets(c.targets, c.domains)),
          fleet_(c.domains, c.daemons_per_domain, c.targets) {
        for (std::size_t t = 0; t < c.targets; ++t)
            targets_.push_back(
                random_target(t % 6 >= c.silent_targets, t % 2 == 1));
        for (std::size_t i = 0; i < fleet_.size(); i += 7)
            for (std::size_t j = 0; j < fleet_.size(); j += 2)
                fleet_.cut(fleet_.at(i).address, fleet_.at(j).address);
        for (std::size_t d = 0; d < fleet_.size(); ++d) {
            schedule_request(d);
            if (d % 5 == 0)
                schedule_pause(d);
            schedule_lapse(d);
        }
    }

    void run() { fleet_.run_for(run_time); }

    std::size_t late_requests() const { return late_; }
    std::size_t most_in_rest() const { return most_in_rest_; }
    std::size_t words() const { return words_; }

private:
    duration random_time(duration longest) {
        return 1ms * std::uniform_int_distribution<std::int64_t>(
                         0, to_milliseconds(longest))(random_);
    }

    simulated_target random_target(bool says_something, bool leaves) {
        simulated_target out;
        if (!says_something)
            return out;
        if (leaves) {
            out.leaves_at = 2s + random_time(10s);
        } else {
            out.rests_at = 2s + random_time(10s);
            out.rest = 5s + random_time(5s);
        }
        return out;
    }

    duration elapsed() const { return fleet_.now() - simulation_start; }

    void schedule_request(std::size_t d) {
        fleet_.after(random_time(2 * interval_), [this, d] {
            if (fleet_.at(d).runs)
                send(d, {});
            schedule_request(d);
        });
    }

    void schedule_pause(std::size_t d) {
        fleet_.after(random_time(run_time), [this, d] {
            fleet_.at(d).runs = false;
            fleet_.after(3s, [this, d] { fleet_.at(d).runs = true; });
        });
    }

    // In an outage of the store half of the entries expire and return.
    void schedule_lapse(std::size_t d) {
        fleet_.after(8s + random_time(500ms), [this, d] {
            std::vector<discovered_target> half(
                listed_.begin(),
                listed_.begin() +
                    static_cast<std::ptrdiff_t>(listed_.size()) / 2);
            fleet_.at(d).table.replace(half, fleet_.now());
        });
        fleet_.after(11s + random_time(500ms), [this, d] {
            fleet_.at(d).table.expire(fleet_.now());
            fleet_.at(d).table.replace(listed_, fleet_.now());
        });
    }

    void send(std::size_t d, std::vector<target_id> exclude) {
        auto& table = fleet_.at(d).table;
        placement::choice_request wanted;
        wanted.service = {"svc"};
        wanted.idempotent = random_() % 2 == 0;
        wanted.retryable = wanted.idempotent && exclude.empty();
        wanted.time_left = 4s;
        wanted.objective_left = 2s;
        wanted.exclude = std::move(exclude);
        auto const choice = table.choose(wanted, fleet_.now());
        if (!choice)
            return;
        auto const id = choice->target.target.id;
        auto const sent_at = fleet_.now();
        table.on_start(id, sent_at);
        check_sent(records_[{d, id}], sent_at);
        fleet_.after(50ms + random_time(200ms), [this, d, id, sent_at, wanted] {
            receive(d, id, sent_at, wanted);
        });
    }

    void check_sent(exchange_record& record, time_point now) {
        if (record.leaving_passed_on &&
            now > *record.leaving_passed_on + leaving_limit)
            ++late_;
        for (auto& rest : record.rests)
            if (now > rest.from + rest_grace && now < rest.until)
                most_in_rest_ = std::max(most_in_rest_, ++rest.sent);
    }

    void receive(std::size_t d, target_id const& id, time_point sent_at,
                 placement::choice_request wanted) {
        auto& daemon = fleet_.at(d);
        if (!daemon.runs)
            return fleet_.after(500ms, [this, d, id, sent_at, wanted] {
                receive(d, id, sent_at, wanted);
            });
        auto const now = fleet_.now();
        auto const& target = targets_[std::stoul(id.value.substr(1))];
        auto& record = records_[{d, id}];
        bool const rests = target.rests_at && elapsed() >= *target.rests_at &&
                           elapsed() < *target.rests_at + target.rest;
        daemon.table.on_end(id,
                            rests ? placement::attempt_outcome::not_run
                                  : placement::attempt_outcome::success,
                            sent_at, now);
        if (target.leaves_at && elapsed() >= *target.leaves_at) {
            ++words_;
            if (!record.leaving_passed_on)
                record.leaving_passed_on = now;
            if (auto const notice = daemon.table.on_leaving(id, sent_at, now))
                daemon.link->broadcast(*notice, now);
        }
        if (!rests)
            return;
        ++words_;
        auto const rest = *target.rests_at + target.rest - elapsed();
        daemon.table.on_rest(id, rest, sent_at, now);
        record.rests.push_back({now, now + rest});
        wanted.exclude.push_back(id);
        if (wanted.exclude.size() < 3)
            send(d, wanted.exclude);
    }

    std::mt19937 random_;
    duration interval_;
    std::vector<discovered_target> listed_;
    std::vector<simulated_target> targets_;
    simulated_fleet fleet_;
    std::map<std::pair<std::size_t, target_id>, exchange_record> records_;
    std::size_t late_ = 0;
    std::size_t most_in_rest_ = 0;
    std::size_t words_ = 0;
};

} // namespace

// Guards against a way of sending that passes over what a target has asked for.
TEST_CASE("no daemon of a fleet sends requests to a target that leaves after "
          "the limit, nor more than two to one that rests") {
    fleet_case const cases[] = {
        {"a small fleet", 4, 8, 12, 4, 50ms, 6},
        {"a service whose targets all leave or rest", 4, 8, 4, 0, 50ms, 6},
        {"a large fleet with relays", 5, 58, 30, 4, 100ms, 1},
    };
    for (auto const& c : cases)
        for (unsigned seed = 1; seed <= c.seeds; ++seed) {
            CAPTURE(std::string(c.guards));
            CAPTURE(seed);
            words_simulation simulation(c, seed);
            simulation.run();
            CHECK(simulation.words() > 50);
            CHECK(simulation.late_requests() == 0);
            CHECK(simulation.most_in_rest() <= allowed_in_rest);
        }
}
