#include "yuccabeam/mirror/store_mirror.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace yuccabeam::mirror;

namespace {

store_event put(std::string key, std::string value, std::uint64_t revision) {
    return {{std::move(key), std::move(value), revision}, false};
}

store_event removal(std::string key, std::uint64_t revision) {
    return {{std::move(key), "", revision}, true};
}

// Complete history of a store, from which replicas are updated at random.
struct history {
    std::vector<store_event> events;

    std::map<std::string, std::string> state_at(std::uint64_t revision) const {
        std::map<std::string, std::string> out;
        for (auto const& event : events) {
            if (event.item.revision > revision)
                break;
            if (event.removed)
                out.erase(event.item.key);
            else
                out[event.item.key] = event.item.value;
        }
        return out;
    }

    store_changes between(std::uint64_t from, std::uint64_t to) const {
        store_changes out{from, to, {}};
        for (auto const& event : events)
            if (event.item.revision > from && event.item.revision <= to)
                out.events.push_back(event);
        return out;
    }
};

std::map<std::string, std::string> state_of(store_mirror const& mirror) {
    std::map<std::string, std::string> out;
    for (auto const* item : mirror.with_prefix(""))
        out[item->key] = item->value;
    return out;
}

history random_history() {
    history out;
    auto const length = *rc::gen::inRange<std::uint64_t>(1, 40);
    for (std::uint64_t revision = 1; revision <= length; ++revision) {
        auto const key = "k" + std::to_string(*rc::gen::inRange(0, 6));
        if (*rc::gen::inRange(0, 4) == 0)
            out.events.push_back(removal(key, revision));
        else
            out.events.push_back(put(key, std::to_string(revision), revision));
    }
    return out;
}

} // namespace

// Guards against a replica with missing changes.
TEST_CASE("a change whose predecessors are missing is rejected") {
    store_mirror mirror;
    REQUIRE(mirror.replace({{"a", "1", 3}}, 5));
    CHECK_FALSE(mirror.apply({7, 8, {put("a", "2", 8)}}));
    CHECK(mirror.revision() == 5);
    CHECK(mirror.find("a")->value == "1");
}

TEST_CASE("an old listing or event never restores a removed key") {
    store_mirror mirror;
    REQUIRE(mirror.replace({{"a", "1", 3}}, 5));
    REQUIRE(mirror.apply({5, 6, {removal("a", 6)}}));
    REQUIRE(mirror.apply({2, 4, {put("a", "1", 3)}}));
    CHECK(mirror.find("a") == nullptr);
    CHECK_FALSE(mirror.replace({{"a", "1", 3}}, 4));
    CHECK(mirror.find("a") == nullptr);
}

TEST_CASE("an event older than a listing doesn't restore a key that was "
          "removed in between") {
    store_mirror mirror;
    REQUIRE(mirror.replace({}, 5));
    REQUIRE(mirror.apply({2, 4, {put("a", "1", 3)}}));
    CHECK(mirror.find("a") == nullptr);
}

TEST_CASE("replicas updated by overlapping changes and by each other equal "
          "the store at their revision") {
    CHECK(rc::check([] {
        auto const past = random_history();
        auto const last = past.events.back().item.revision;
        store_mirror first;
        store_mirror second;
        for (int step = 0; step < 30; ++step) {
            auto& target = *rc::gen::arbitrary<bool>() ? first : second;
            auto& other = &target == &first ? second : first;
            auto const from = *rc::gen::inRange<std::uint64_t>(0, last);
            auto const to =
                *rc::gen::inRange<std::uint64_t>(from + 1, last + 1);
            auto const before = target.revision();
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                if (from > 0)
                    target.apply(past.between(from, to));
                break;
            case 1: {
                std::vector<stored_item> items;
                for (auto const& [key, value] : past.state_at(to))
                    items.push_back({key, value, std::stoull(value)});
                target.replace(items, to);
                break;
            }
            default:
                target.apply(other.changes_since(target.revision()));
            }
            RC_ASSERT(target.revision() >= before);
            RC_ASSERT(state_of(target) == past.state_at(target.revision()));
        }
    }));
}

// Guards against a removed target that a later part of the copy brings back.
TEST_CASE("an early change isn't undone by older ones that arrive after it") {
    struct row {
        char const* guards;
        store_changes later;
    };
    row const rows[] = {
        {"an older change of the key", {5, 7, {put("a", "2", 6)}}},
        {"an older copy", {0, 7, {put("a", "1", 3)}}},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        store_mirror mirror;
        REQUIRE(mirror.replace({{"a", "1", 3}}, 5));
        CHECK(mirror.apply_early({removal("a", 8)}).size() == 1);
        CHECK(mirror.revision() == 5);
        CHECK(mirror.find("a") == nullptr);
        REQUIRE(mirror.apply(row.later));
        CHECK(mirror.revision() == 7);
        CHECK(mirror.find("a") == nullptr);
        CHECK(mirror.apply_early({removal("a", 8)}).empty());
    }
}

TEST_CASE("with early changes, each key has a state that the store gave it at "
          "the replica's revision or later, and none is missing in the end") {
    CHECK(rc::check([] {
        auto const past = random_history();
        auto const last = past.events.back().item.revision;
        store_mirror first;
        store_mirror second;
        auto const check = [&](store_mirror const& mirror) {
            std::map<std::string, std::set<std::string>> allowed;
            for (auto at = mirror.revision(); at <= last; ++at)
                for (int key = 0; key < 6; ++key) {
                    auto const name = "k" + std::to_string(key);
                    auto const state = past.state_at(at);
                    auto const found = state.find(name);
                    allowed[name].insert(found == state.end() ? ""
                                                              : found->second);
                }
            auto state = state_of(mirror);
            for (auto const& [name, values] : allowed)
                RC_ASSERT(values.contains(state[name]));
        };
        for (int step = 0; step < 30; ++step) {
            auto& target = *rc::gen::arbitrary<bool>() ? first : second;
            auto& other = &target == &first ? second : first;
            auto const from = *rc::gen::inRange<std::uint64_t>(0, last);
            auto const to =
                *rc::gen::inRange<std::uint64_t>(from + 1, last + 1);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                if (from > 0)
                    target.apply(past.between(from, to));
                break;
            case 1:
                target.apply(other.changes_since(target.revision()));
                break;
            case 2: {
                std::vector<stored_item> items;
                for (auto const& [key, value] : past.state_at(to))
                    items.push_back({key, value, std::stoull(value)});
                target.replace(items, to);
                break;
            }
            default:
                target.apply_early(past.between(from, to).events);
            }
            check(target);
        }
        if (first.revision() == 0)
            return;
        first.apply(past.between(first.revision(), last));
        RC_ASSERT(state_of(first) == past.state_at(last));
    }));
}
