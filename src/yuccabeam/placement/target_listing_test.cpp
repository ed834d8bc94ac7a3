#include "yuccabeam/placement/target_table.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

discovered_target target_of(std::string const& service, int number) {
    discovered_target out;
    out.target = {{service + std::to_string(number)},
                  {service},
                  {"a"},
                  "127.0.0.1:1",
                  6,
                  330};
    out.started_ms = 1;
    return out;
}

std::vector<discovered_target> two_services() {
    std::vector<discovered_target> out;
    out.reserve(8);
    for (int i = 0; i < 5; ++i)
        out.push_back(target_of("x", i));
    for (int i = 0; i < 3; ++i)
        out.push_back(target_of("y", i));
    return out;
}

std::vector<discovered_target> random_part(std::vector<discovered_target> all) {
    std::erase_if(all,
                  [](auto const&) { return *rc::gen::inRange(0, 3) == 0; });
    return all;
}

/// Reference model that recounts the targets of a service for each missing
/// target.
class simple_listing {
public:
    std::size_t replace(std::vector<discovered_target> const& list,
                        std::optional<time_point> returned_at, time_point now) {
        std::set<std::string> present;
        std::size_t changes = 0;
        for (auto const& one : list) {
            auto const& id = one.target.id.value;
            present.insert(id);
            auto const known = held_.find(id);
            changes += known == held_.end() || known->second.vanished_at;
            held_[id] = {one.target.service.value, {}, {}};
        }
        for (auto& [id, entry] : held_)
            if (!entry.vanished_at && !present.contains(id)) {
                ++changes;
                entry.vanished_at = now;
                entry.usable_until = now + limit_of(options_.vanished_share);
                if (returned_at && mass_loss(entry.service, present))
                    entry.usable_until = std::max(
                        entry.usable_until,
                        *returned_at + limit_of(options_.expired_return_share));
            }
        std::erase_if(held_, [&](auto const& named) {
            auto const& entry = named.second;
            return entry.vanished_at && now >= entry.usable_until;
        });
        return changes;
    }

    std::size_t size() const { return held_.size(); }

private:
    struct held_target {
        std::string service;
        std::optional<time_point> vanished_at;
        time_point usable_until;
    };

    duration limit_of(double share) const {
        return from_seconds(to_seconds(options_.leaving_limit) * share);
    }

    bool mass_loss(std::string const& service,
                   std::set<std::string> const& present) const {
        std::size_t missing = 0;
        std::size_t all = 0;
        for (auto const& [id, entry] : held_)
            if (entry.service == service) {
                ++all;
                missing += !present.contains(id);
            }
        return missing >= options_.mass_loss_targets &&
               static_cast<double>(missing) >=
                   options_.mass_loss_share * static_cast<double>(all);
    }

    target_table_options options_;
    std::map<std::string, held_target> held_;
};

} // namespace

TEST_CASE(
    "any sequence of target lists gives the same result as a simple model") {
    CHECK(rc::check([] {
        target_table table({"a"}, 1);
        simple_listing expected;
        auto now = start;
        for (int step = *rc::gen::inRange(1, 30); step > 0; --step) {
            auto const list = random_part(two_services());
            now += *rc::gen::element(0ms, 300ms, 900ms);
            std::optional<time_point> returned_at;
            if (*rc::gen::arbitrary<bool>())
                returned_at = now - *rc::gen::element(0ms, 700ms, 1'500ms, 9s);
            auto const changes =
                table.replace(list, now, {.store_returned_at = returned_at});
            RC_ASSERT(changes.size() ==
                      expected.replace(list, returned_at, now));
            RC_ASSERT(table.size() == expected.size());
        }
    }));
}

TEST_CASE("mass loss of one service in an outage doesn't retain a target of "
          "another service that left") {
    target_table table({"a"}, 1);
    auto list = two_services();
    table.replace(list, start);
    std::erase_if(list, [](auto const& one) {
        auto const& id = one.target.id.value;
        return id == "x0" || id == "x1" || id == "y0";
    });
    table.replace(list, start, {.store_returned_at = start});
    table.expire(start + 1s);
    CHECK(table.snapshot_of({"x0"}, start + 1s));
    CHECK(table.snapshot_of({"x1"}, start + 1s));
    CHECK_FALSE(table.snapshot_of({"y0"}, start + 1s));
}

// Guards against a hold time that is added to the delay of the update.
TEST_CASE("a vanished target is used no longer than its limit after it was "
          "last known to be listed") {
    struct row {
        char const* guards;
        duration listed_until; ///< time between the loss and the update
        duration used_for;     ///< time of use after the update
    };
    target_table_options const options;
    row const rows[] = {
        {"immediate update", 0ms, 800ms},
        {"update with the usual age of a copy", 600ms, 800ms},
        {"update after a check of the copy", 1'400ms, 300ms},
        {"update at the end of the limit", 1'700ms, 0ms},
        {"update after an outage", 8s, 0ms},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        target_table table({"a"}, 1);
        table.replace({target_of("x", 0)}, start);
        auto const updated_at = start + 10s;
        table.replace({}, updated_at,
                      {.listed_until = updated_at - row.listed_until});
        choice_request wanted;
        wanted.service = {"x"};
        wanted.time_left = wanted.objective_left = 2s;
        for (duration later = 0ms; later < 3s; later += 50ms) {
            CAPTURE(to_milliseconds(later));
            CHECK((table.others(wanted, updated_at + later).untried > 0) ==
                  (later < row.used_for));
            if (later < row.used_for)
                CHECK(row.listed_until + later < options.leaving_limit);
        }
    }
}

// Guards against a hold that runs from the moment when this daemon learns of
// the loss.
TEST_CASE("targets whose entries expired are used until a fixed time after the "
          "store's return, whenever the loss becomes known") {
    struct row {
        char const* guards;
        duration told_after; ///< time between the store's return and the list
        duration used_for;   ///< time of use after the store's return
    };
    row const rows[] = {
        {"told at once", 0ms, 1'840ms},
        {"told after a pause between two watches", 300ms, 1'840ms},
        {"told by a peer late", 1'500ms, 1'840ms},
        {"told after the entries should have returned", 1'900ms, 1'900ms},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        target_table table({"a"}, 1);
        table.replace({target_of("x", 0), target_of("x", 1)}, start);
        auto const returned = start + 10s;
        table.replace({}, returned + row.told_after,
                      {.listed_until = start, .store_returned_at = returned});
        for (duration at = row.told_after; at < 3s; at += 20ms) {
            CAPTURE(to_milliseconds(at));
            table.expire(returned + at);
            CHECK((table.size() == 2) == (at < row.used_for));
        }
    }
}

TEST_CASE("targets that were kept for an outage are dropped when it turns out "
          "that the store was available") {
    target_table table({"a"}, 1);
    table.replace({target_of("x", 0), target_of("x", 1)}, start);
    auto const told = start + 5s;
    table.replace({}, told,
                  {.listed_until = told - 4s, .store_returned_at = told});
    CHECK(table.on_store_available(told, told + 100ms).empty());
    CHECK(table.size() == 2);
    auto const changes = table.on_store_available(start, told + 200ms);
    CHECK(changes.size() == 2);
    for (auto const& change : changes)
        CHECK(change.kind == target_change_kind::vanished);
    CHECK(table.size() == 0);
}
