#include "yuccabeam/gateway/target_entries.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;

namespace {

std::string const prefix = "targets/";

result<discovered_target> parse(std::string_view id, std::string const& value) {
    if (value.starts_with("unusable"))
        return make_fault(fault_code::invalid_input, value);
    discovered_target out;
    out.target.id = {std::string(id)};
    out.target.address = value;
    return out;
}

// Parses every entry, without a cache of earlier results.
std::vector<discovered_target>
parsed_from_scratch(mirror::store_mirror const& store) {
    std::vector<discovered_target> out;
    for (auto const* item : store.with_prefix(prefix))
        if (auto target = parse(item->key.substr(prefix.size()), item->value))
            out.push_back(std::move(target.value()));
    return out;
}

mirror::store_event random_event(std::uint64_t revision) {
    auto const key =
        *rc::gen::element<std::string>(prefix + "a", prefix + "b", prefix + "c",
                                       prefix + "d", "policy", "zone");
    auto const value =
        *rc::gen::element<std::string>("one", "two", "three", "unusable");
    bool const removed = *rc::gen::inRange(0, 3) == 0;
    return {{key, removed ? "" : value, revision}, removed};
}

mirror::store_changes put(std::uint64_t revision, std::string const& id,
                          std::string const& value) {
    return {revision - 1, revision, {{{prefix + id, value, revision}, false}}};
}

} // namespace

TEST_CASE("targets after incremental updates equal those parsed from scratch") {
    CHECK(rc::check([] {
        mirror::store_mirror store;
        target_entries entries(prefix, parse);
        std::uint64_t revision = 0;
        for (int step = *rc::gen::inRange(1, 30); step > 0; --step) {
            mirror::store_changes changes{revision, 0, {}};
            for (int events = *rc::gen::inRange(1, 4); events > 0; --events)
                changes.events.push_back(random_event(++revision));
            changes.revision = revision;
            // In one of five cases a full listing replaces the changes.
            if (*rc::gen::inRange(0, 5) == 0)
                changes.base = 0;
            RC_ASSERT(store.apply(changes));
            entries.update(store);
            RC_ASSERT(entries.targets() == parsed_from_scratch(store));
        }
    }));
}

TEST_CASE("an unchanged entry is not parsed again") {
    int parsed = 0;
    target_entries entries(prefix,
                           [&](std::string_view id, std::string const& value) {
                               ++parsed;
                               return parse(id, value);
                           });
    mirror::store_mirror store;
    store.apply(put(1, "a", "one"));
    store.apply(put(2, "b", "unusable"));
    CHECK(entries.update(store).rejected == 1);
    CHECK(parsed == 2);
    store.apply(put(3, "c", "one"));
    CHECK(entries.update(store).rejected == 0);
    CHECK(parsed == 3);
}

// Guards against a log filled by a writer that repeats an invalid entry.
TEST_CASE("a repeated reason for rejecting a key's entry is reported once") {
    target_entries entries(prefix, parse);
    mirror::store_mirror store;
    struct row {
        char const* value;
        std::size_t rejected;
        std::vector<rejected_entry> reasons;
    };
    row const rows[] = {
        {"unusable 1", 1, {{prefix + "a", 1, "unusable 1"}}},
        {"unusable 1", 1, {}},
        {"unusable 2", 1, {{prefix + "a", 3, "unusable 2"}}},
        {"one", 0, {}},
        {"unusable 2", 1, {{prefix + "a", 5, "unusable 2"}}},
    };
    std::uint64_t revision = 0;
    for (auto const& row : rows) {
        ++revision;
        CAPTURE(revision);
        store.apply(put(revision, "a", row.value));
        auto const update = entries.update(store);
        CHECK(update.rejected == row.rejected);
        CHECK(update.reasons == row.reasons);
        CHECK(entries.targets().size() == 1 - row.rejected);
    }
    CHECK(entries.update(store).reasons.empty());
}

TEST_CASE(
    "an entry that is removed and added with its old value is a target again") {
    target_entries entries(prefix, parse);
    mirror::store_mirror store;
    store.apply(put(1, "a", "one"));
    entries.update(store);
    store.apply({1, 2, {{{prefix + "a", "", 2}, true}}});
    entries.update(store);
    CHECK(entries.targets().empty());
    store.apply(put(3, "a", "one"));
    entries.update(store);
    CHECK(entries.targets().size() == 1);
}
