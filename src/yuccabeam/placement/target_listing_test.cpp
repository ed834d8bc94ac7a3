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
                        bool after_outage, time_point now) {
        std::set<std::string> present;
        std::size_t changes = 0;
        for (auto const& one : list) {
            auto const& id = one.target.id.value;
            present.insert(id);
            auto const known = held_.find(id);
            changes += known == held_.end() || known->second.vanished_at;
            held_[id] = {one.target.service.value, {}, false};
        }
        for (auto& [id, entry] : held_)
            if (!entry.vanished_at && !present.contains(id)) {
                ++changes;
                entry.vanished_at = now;
                entry.lapsed =
                    after_outage && mass_loss(entry.service, present);
            }
        std::erase_if(held_, [&](auto const& named) {
            auto const& entry = named.second;
            auto const share = entry.lapsed ? options_.expired_leases_share
                                            : options_.vanished_share;
            return entry.vanished_at &&
                   now - *entry.vanished_at >=
                       from_seconds(to_seconds(options_.leaving_limit) * share);
        });
        return changes;
    }

    std::size_t size() const { return held_.size(); }

private:
    struct held_target {
        std::string service;
        std::optional<time_point> vanished_at;
        bool lapsed = false;
    };

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
            bool const outage = *rc::gen::arbitrary<bool>();
            now += *rc::gen::element(0ms, 300ms, 900ms);
            auto const changes = table.replace(list, outage, now);
            RC_ASSERT(changes.size() == expected.replace(list, outage, now));
            RC_ASSERT(table.size() == expected.size());
        }
    }));
}

TEST_CASE("mass loss of one service in an outage doesn't retain a target of "
          "another service that left") {
    target_table table({"a"}, 1);
    auto list = two_services();
    table.replace(list, false, start);
    std::erase_if(list, [](auto const& one) {
        auto const& id = one.target.id.value;
        return id == "x0" || id == "x1" || id == "y0";
    });
    table.replace(list, true, start);
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
        table.replace({target_of("x", 0)}, false, start);
        auto const updated_at = start + 10s;
        table.replace({}, false, updated_at, updated_at - row.listed_until);
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
