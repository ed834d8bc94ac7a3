#include "fake_store.hpp"
#include "yuccabeam/config/publish.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace yuccabeam::config {
namespace {

item weight_of(std::string const& account_name, std::uint32_t weight) {
    return account{{account_name}, weight};
}

/// Edit based on `seen` that sets one account's weight; weight 0 deletes it.
edit set_weight(item_map const& seen, revision base, std::uint64_t random,
                std::string const& name, std::uint32_t weight) {
    auto wanted = seen;
    wanted.erase("account/" + name);
    if (weight != 0)
        wanted.emplace("account/" + name, weight_of(name, weight));
    return {make_edit_id(base, random), "tester", diff(seen, wanted)};
}

stored_configuration newest(fake_store& store) {
    chunk_map cache;
    auto const no_fault = std::exchange(store.read_fails, nullptr);
    auto const no_lag = std::exchange(store.head_lag, nullptr);
    auto out = read_configuration(store, cache).value();
    store.read_fails = no_fault;
    store.head_lag = no_lag;
    return out;
}

int times_accepted(fake_store& store, std::string const& id) {
    chunk_map cache;
    int count = 0;
    for (auto const& head : store.heads())
        count +=
            read_manifest(store, head.manifest, cache).value().edit_id == id;
    return count;
}

// Guards against treating a lost reply to a write as a failure or a success,
// and against repeating the write as a second edit.
TEST_CASE("the outcome of one edit under each write behaviour of the head") {
    struct row {
        char const* name;
        std::vector<write_behaviour> behaviours; ///< then normal
        std::size_t outcome;                     ///< index in publish_outcome
        int accepted;
        bool reads_fail = false; ///< once the head was written
    };
    constexpr std::size_t is_published = 0;
    constexpr std::size_t is_unknown = 4;
    constexpr std::size_t is_not_published = 5;
    auto const refused =
        std::vector<write_behaviour>(4, write_behaviour::refused);
    auto const dropped =
        std::vector<write_behaviour>(4, write_behaviour::dropped);
    auto const lost = std::vector<write_behaviour>{
        write_behaviour::lost_reply, write_behaviour::refused,
        write_behaviour::refused, write_behaviour::refused};
    row const rows[] = {
        {"normal", {}, is_published, 1},
        {"reply lost", {write_behaviour::lost_reply}, is_published, 1},
        {"dropped once", {write_behaviour::dropped}, is_published, 1},
        {"late", {write_behaviour::late}, is_published, 1},
        {"refused", refused, is_not_published, 0},
        {"refused once", {write_behaviour::refused}, is_published, 1},
        {"dropped always", dropped, is_unknown, 0},
        {"lost, then refused", lost, is_published, 1},
        {"lost, then unreachable", lost, is_unknown, 1, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        fake_store store;
        std::size_t next = 0;
        store.choose_behaviour = [&](std::string const& key) {
            return key == head_key && next < row.behaviours.size()
                       ? row.behaviours[next++]
                       : write_behaviour::normal;
        };
        store.read_fails = [&](std::string const&) {
            return row.reads_fail && next > 0;
        };
        chunk_map cache;
        auto const edit = set_weight({}, 0, 1, "a", 3);
        auto const outcome = publish(store, edit, cache);
        store.read_fails = nullptr;
        store.apply_late_writes();
        CHECK(outcome.index() == row.outcome);
        CHECK(times_accepted(store, edit.id) == row.accepted);
    }
}

// Guards against reporting an accepted edit as not accepted because a
// lagging replica of the store answers the read after a lost reply.
TEST_CASE("a lagging read after a lost reply does not decide the outcome") {
    for (std::size_t const lagging_reads : {0U, 1U, 5U, 100U}) {
        CAPTURE(lagging_reads);
        fake_store store;
        chunk_map cache;
        publish(store, set_weight({}, 0, 1, "a", 1), cache);
        auto const change = set_weight(newest(store).items, 1, 2, "a", 2);
        std::size_t reads = 0;
        store.choose_behaviour = [first =
                                      true](std::string const& key) mutable {
            return key == head_key && std::exchange(first, false)
                       ? write_behaviour::lost_reply
                       : write_behaviour::normal;
        };
        store.head_lag = [&]() -> std::size_t {
            return reads++ > 0 && reads <= lagging_reads + 1 ? 1 : 0;
        };
        auto const outcome = publish(store, change, cache);
        if (lagging_reads < publish_options{}.rebases - 1U)
            CHECK(std::holds_alternative<published>(outcome));
        else
            CHECK(std::holds_alternative<unknown>(outcome));
        CHECK(times_accepted(store, change.id) == 1);
    }
}

// Guards against an edit that overwrites another operator's change, or that
// fails although the other change concerns other items.
TEST_CASE("two operators: other items are rebased, same items conflict") {
    fake_store store;
    chunk_map cache;
    REQUIRE(std::holds_alternative<published>(
        publish(store, set_weight({}, 0, 1, "a", 1), cache)));
    auto const seen = newest(store).items;
    struct row {
        char const* name;
        std::string account;
        std::uint32_t theirs;
        std::uint32_t ours;
        std::size_t outcome;
    };
    row const rows[] = {{"another item", "b", 2, 5, 0},
                        {"same item, other value", "a", 2, 5, 2},
                        {"same item, deleted by the other", "a", 0, 5, 2},
                        {"same item, same value", "a", 5, 5, 1}};
    for (auto const& row : rows) {
        CAPTURE(row.name);
        auto other = store;
        other.before_head_write = [&, done = false]() mutable {
            if (std::exchange(done, true))
                return;
            publish(other, set_weight(seen, 1, 2, row.account, row.theirs),
                    cache);
        };
        auto const ours = set_weight(seen, 1, 3, "a", row.ours);
        auto const outcome = publish(other, ours, cache);
        REQUIRE(outcome.index() == row.outcome);
        if (auto const* both = std::get_if<conflicted>(&outcome)) {
            REQUIRE(both->conflicts.size() == 1);
            auto const& sides = both->conflicts[0];
            CHECK(sides.wanted == weight_of("a", row.ours));
            CHECK(sides.accepted ==
                  (row.theirs ? std::optional(weight_of("a", row.theirs))
                              : std::nullopt));
        } else {
            CHECK(newest(other).items.at("account/a") ==
                  weight_of("a", row.ours));
        }
    }
}

// Guards against writing an inconsistent configuration, and against reporting
// only its first fault.
TEST_CASE("an edit with an inconsistent result lists every fault") {
    fake_store store;
    chunk_map cache;
    edit const bad{make_edit_id(0, 1),
                   "tester",
                   {{"service/s", service{{"s"}, 7}, {}},
                    {"route/r", route{{"r"}, "", "/", {"none"}}, {}}}};
    auto const outcome = publish(store, bad, cache);
    REQUIRE(std::holds_alternative<invalid>(outcome));
    CHECK(std::get<invalid>(outcome).faults.size() == 2);
    CHECK(store.writes == 0);
}

// Guards against accepting an item that no replica can parse.
TEST_CASE("an item that can't be read back is not accepted") {
    for (item const& bad :
         {item(account{{""}, 1}), item(account{{"a"}, 0}),
          item(target{{"t"}, {"s"}, {"d"}, "db.example:1", 6, 330})}) {
        CAPTURE(key_of(bad));
        fake_store store;
        chunk_map cache;
        edit change{make_edit_id(0, 1),
                    "",
                    {{"service/s", service{{"s"}, 0}, {}},
                     {"failure_domain/d", failure_domain{{"d"}}, {}},
                     {key_of(bad), bad, {}}}};
        CHECK(std::holds_alternative<not_published>(
            publish(store, change, cache)));
        CHECK(store.writes == 0);
        change.operations.pop_back();
        CHECK(std::holds_alternative<published>(publish(store, change, cache)));
    }
}

// Guards against `settle` reporting an edit as not accepted while its write is
// still in flight.
TEST_CASE("after settle a late write can't take effect") {
    fake_store store;
    chunk_map cache;
    publish(store, set_weight({}, 0, 1, "a", 1), cache);
    auto const seen = newest(store).items;
    store.choose_behaviour = [](std::string const& key) {
        return key == head_key ? write_behaviour::late
                               : write_behaviour::normal;
    };
    auto const late = set_weight(seen, 1, 2, "a", 2);
    REQUIRE(std::holds_alternative<unknown>(publish(store, late, cache)));
    store.choose_behaviour = nullptr;
    auto const answer = settle(store, late.id, cache);
    REQUIRE(answer);
    CHECK(!answer.value().accepted);
    store.apply_late_writes();
    CHECK(times_accepted(store, late.id) == 0);
    CHECK(newest(store).items == seen);
}

struct report {
    edit change;
    publish_outcome outcome;
};

/// Operators with differently stale views of a store with random faults.
class history {
public:
    history() {
        store.choose_behaviour = [this](std::string const&) {
            return random_behaviour();
        };
        store.read_fails = [](std::string const&) {
            return *rc::gen::inRange(0, 100) < 3;
        };
        store.head_lag = [] {
            return *rc::gen::weightedElement<std::size_t>(
                {{8, 0U}, {2, 1U}, {1, 2U}});
        };
        store.before_head_write = [this] {
            if (nested_ || *rc::gen::inRange(0, 4) != 0)
                return;
            nested_ = true;
            publish_one();
            nested_ = false;
        };
    }

    void publish_one() {
        auto const view = views_[*rc::gen::inRange<std::size_t>(0, 2)];
        auto const name = std::string(1, *rc::gen::inRange('a', 'd'));
        auto change =
            set_weight(view.items, view.head.value.revision, ++serial_, name,
                       *rc::gen::inRange<std::uint32_t>(0, 4));
        auto outcome = publish(store, change, cache_);
        reports.push_back({std::move(change), std::move(outcome)});
    }

    void step() {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            views_[*rc::gen::inRange<std::size_t>(0, 2)] = newest(store);
            break;
        case 1:
            store.apply_late_writes();
            break;
        default:
            publish_one();
        }
    }

    /// Stops the fault injection, then applies the writes in flight.
    void settle_all() {
        store.choose_behaviour = nullptr;
        store.read_fails = nullptr;
        store.head_lag = nullptr;
        store.before_head_write = nullptr;
        for (auto& report : reports) {
            if (!std::holds_alternative<unknown>(report.outcome))
                continue;
            auto const answer = settle(store, report.change.id, cache_);
            if (!answer) {
                // An absent head has no version to compare with, so `settle`
                // can't rule out a late write.
                RC_ASSERT(store.heads().empty());
                continue;
            }
            if (answer.value().accepted)
                report.outcome = published{*answer.value().accepted};
            else
                report.outcome = not_published{};
        }
        store.apply_late_writes();
    }

    fake_store store;
    std::vector<report> reports;

private:
    static write_behaviour random_behaviour() {
        return *rc::gen::weightedElement<write_behaviour>(
            {{12, write_behaviour::normal},
             {2, write_behaviour::lost_reply},
             {2, write_behaviour::late},
             {2, write_behaviour::dropped},
             {1, write_behaviour::refused}});
    }

    std::array<stored_configuration, 2> views_;
    chunk_map cache_;
    std::uint64_t serial_ = 0;
    bool nested_ = false;
};

/// Applies the accepted edits to a plain map and checks that each one found
/// the items that it was based on.
item_map replay(history& run, std::map<std::string, edit> const& by_id) {
    item_map items;
    chunk_map cache;
    revision expected = 0;
    for (auto const& head : run.store.heads()) {
        RC_ASSERT(head.revision == ++expected);
        auto const id =
            read_manifest(run.store, head.manifest, cache).value().edit_id;
        for (auto const& change : by_id.at(id).operations) {
            auto const place = items.find(change.key);
            auto const now = place == items.end()
                                 ? std::optional<item>()
                                 : std::optional(place->second);
            RC_ASSERT(now == change.value ||
                      (now ? std::optional(hash_of(*now)) : std::nullopt) ==
                          change.base);
            items.erase(change.key);
            if (change.value)
                items.emplace(change.key, *change.value);
        }
    }
    return items;
}

// Guards against an accepted edit that is lost, applied twice or silently
// overwritten, and against a reported outcome that later proves wrong.
TEST_CASE("random edits of two operators agree with a plain map") {
    CHECK(rc::check([] {
        history run;
        auto const steps = *rc::gen::inRange(1, 25);
        for (int i = 0; i < steps; ++i)
            run.step();
        run.settle_all();
        std::map<std::string, edit> by_id;
        for (auto const& report : run.reports)
            by_id.emplace(report.change.id, report.change);
        RC_ASSERT(replay(run, by_id) == newest(run.store).items);
        for (auto const& [change, outcome] : run.reports) {
            auto const times = times_accepted(run.store, change.id);
            if (auto const* done = std::get_if<published>(&outcome)) {
                RC_ASSERT(times == 1);
                RC_ASSERT(run.store.heads()[done->accepted.revision - 1] ==
                          done->accepted);
            } else if (!std::holds_alternative<unknown>(outcome)) {
                RC_ASSERT(times == 0);
            }
        }
    }));
}

} // namespace
} // namespace yuccabeam::config
