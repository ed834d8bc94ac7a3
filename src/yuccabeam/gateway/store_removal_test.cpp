#include "store_fleet_simulation.hpp"
#include "yuccabeam/placement/target_table.hpp"

#include <doctest/doctest.h>
#include <map>
#include <memory>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

using simulation = store_fleet_simulation;

constexpr duration silent_from = 5s;
// Time after which a target that left must get no new requests, from when the
// store or a daemon has acknowledged it.
constexpr duration limit = placement::target_table_options().leaving_limit;
// The store and the daemons are judged again this long after an outage.
constexpr duration contact = 3s;
constexpr auto daemons_per_domain = simulation::daemons_per_domain;

/// What the store lists from its first revision on, one more set for each
/// change.
using lists = std::vector<std::vector<std::string>>;

std::vector<discovered_target>
targets_named(std::vector<std::string> const& ids) {
    std::vector<discovered_target> out;
    for (auto const& id : ids) {
        discovered_target one;
        one.target = {{id}, {"svc"}, {"a"}, "127.0.0.1:1", 6, 330};
        one.started_ms = 1;
        out.push_back(one);
    }
    return out;
}

/// A fleet whose daemons keep a table of the listed targets.
class target_fleet {
public:
    target_fleet(silence_case const& c, std::vector<duration> changes,
                 lists listed)
        : simulation_(c, silent_from, std::move(changes)),
          listed_(std::move(listed)) {
        for (std::size_t d = 0; d < simulation::daemons; ++d)
            tables_.push_back(std::make_unique<placement::target_table>(
                failure_domain_id{"a"}, d));
        simulation_.on_update = [this](simulation::update const& update) {
            constexpr auto first = simulation::first_revision;
            if (update.to > first && !told_.contains(update.daemon))
                told_[update.daemon] = update.now - simulation::start;
            tables_[update.daemon]->replace(
                targets_named(listed_[update.to - first]), update.now,
                {.listed_until = update.listed_until,
                 .store_returned_at = update.store_returned_at});
        };
    }

    void run_until(duration end, std::function<void(duration now)> check) {
        while (simulation_.now() < simulation::start + end) {
            simulation_.advance();
            for (auto& table : tables_)
                table->expire(simulation_.now());
            check(simulation_.now() - simulation::start);
        }
    }

    bool uses(std::size_t daemon, std::string const& id) const {
        return tables_[daemon]
            ->snapshot_of({id}, simulation_.now())
            .has_value();
    }
    bool any_uses(std::string const& id) const {
        for (std::size_t d = 0; d < simulation::daemons; ++d)
            if (uses(d, id))
                return true;
        return false;
    }
    /// When the daemon learned of the first change.
    duration told_at(std::size_t daemon) const {
        auto const found = told_.find(daemon);
        return found == told_.end() ? duration::max() : found->second;
    }

private:
    simulation simulation_;
    lists listed_;
    std::map<std::size_t, duration> told_;
    std::vector<std::unique_ptr<placement::target_table>> tables_;
};

silence_case silent(char const* guards,
                    std::function<bool(std::size_t, std::size_t)> selected,
                    duration silent_for, double loss = 0) {
    return {guards, std::move(selected), false, loss, silent_for};
}

} // namespace

// Guards against a daemon that takes another daemon's trouble with the store
// for an outage in which entries expire.
TEST_CASE("no daemon uses targets that left later than the limit while the "
          "store doesn't answer some daemons") {
    std::vector<silence_case> const cases = {
        silent(
            "one watcher is cut off",
            [](auto domain, auto index) { return domain == 0 && index == 0; },
            5'500ms),
        silent(
            "one failure domain is cut off",
            [](auto domain, auto) { return domain == 0; }, 5'500ms),
        silent(
            "all watchers are cut off",
            [](auto, auto index) { return index == 0; }, 5'500ms),
        silent(
            "all daemons but one are cut off",
            [](auto domain, auto index) {
                return domain != 1 || index != daemons_per_domain - 1;
            },
            5'500ms),
        silent(
            "a failure domain is cut off, and datagrams are lost",
            [](auto domain, auto) { return domain == 0; }, 5'500ms, 0.05),
    };
    lists const listed = {{"t0", "t1", "t2", "t3", "t4", "t5"},
                          {"t0", "t1", "t2", "t3", "t4"},
                          {"t0", "t1", "t2", "t3"}};
    for (auto const& c : cases) {
        CAPTURE(std::string(c.guards));
        duration latest{};
        for (auto const removed :
             {4'500ms, 5'500ms, 7'700ms, 9'500ms, 10'400ms})
            for (duration phase = 0ms; phase < 600ms; phase += 100ms) {
                auto const first = removed + phase;
                auto const second = first + 20ms;
                target_fleet fleet(c, {first, second}, listed);
                fleet.run_until(second + 4s, [&](duration now) {
                    if (now > first && fleet.any_uses("t5"))
                        latest = std::max(latest, now - first);
                    if (now > second && fleet.any_uses("t4"))
                        latest = std::max(latest, now - second);
                });
            }
        CHECK(to_milliseconds(latest) < to_milliseconds(limit));
    }
}

// Guards against a service that loses its targets as their entries expire while
// the store is away.
TEST_CASE("targets whose entries expire in an outage of the store stay in use "
          "until they return, and one that doesn't return is dropped") {
    lists const listed = {{"t0", "t1", "t2", "t3", "t4", "t5"},
                          {"t0", "t1"},
                          {"t0", "t1", "t2", "t3", "t4"}};
    for (duration const outage : {3'000ms, 4'500ms, 9'000ms})
        for (duration phase = 0ms; phase < 600ms; phase += 100ms) {
            auto const c = silent(
                "an outage", [](auto, auto) { return true; }, outage + phase);
            CAPTURE(to_milliseconds(outage + phase));
            auto const returned = silent_from + outage + phase;
            target_fleet fleet(c, {returned - 10ms, returned + 1'400ms},
                               listed);
            bool always_used = true;
            duration latest{};
            duration latest_since_told{};
            fleet.run_until(returned + 5s, [&](duration now) {
                for (std::size_t d = 0; d < simulation::daemons; ++d) {
                    if (now >= silent_from)
                        always_used = always_used && fleet.uses(d, "t2");
                    if (now < returned || !fleet.uses(d, "t5"))
                        continue;
                    latest = now - returned;
                    if (now > fleet.told_at(d))
                        latest_since_told =
                            std::max(latest_since_told, now - fleet.told_at(d));
                }
            });
            CHECK(always_used);
            CHECK(to_milliseconds(latest) < to_milliseconds(contact));
            CHECK(to_milliseconds(latest_since_told) < to_milliseconds(limit));
        }
}
