#include "yuccabeam/standins/store_state.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace yuccabeam::standins {
namespace {

using std::chrono::seconds;

// Guards against a value above the service's limit that a test accepts but
// the platform would refuse.
TEST_CASE("a value may have 1 MB and not one byte more") {
    store_state state;
    std::string const largest(store_state::max_value_bytes, 'x');
    CHECK(state.write("k", largest, 0, {}, {}).status == write_status::done);
    CHECK(state.write("k", largest + "x", 1, {}, {}) ==
          write_result{write_status::too_large, 1});
    CHECK(state.read("k", {})->version == 1);
}

// Guards against a lease that ends early, late, or survives a write that
// does not ask for one.
TEST_CASE("a lease removes its key at its end") {
    store_state state;
    time_point const start{seconds(10)};
    auto const first = state.write("k", "a", 0, seconds(5), start);
    CHECK(state.read("k", start + seconds(5) - duration(1)).has_value());
    CHECK(!state.read("k", start + seconds(5)).has_value());
    CHECK(state.write("k", "b", first.version, {}, start + seconds(5)) ==
          write_result{write_status::conflict, 0});
    auto const again = state.write("k", "b", 0, {}, start + seconds(5));
    CHECK(again.status == write_status::done);
    CHECK(state.read("k", start + seconds(500))->version == again.version);
}

// Guards against a version that is used twice, which would let a late
// compare-and-swap succeed after a removal or the end of a lease.
TEST_CASE("random operations agree with a map, versions never repeat") {
    CHECK(rc::check([] {
        struct known {
            std::string value;
            std::uint64_t version;
            time_point ends;
        };
        store_state state;
        std::map<std::string, known> oracle;
        std::uint64_t highest = 0;
        time_point now;
        auto const steps = *rc::gen::inRange(0, 60);
        for (int i = 0; i < steps; ++i) {
            now += seconds(*rc::gen::inRange(0, 3));
            std::erase_if(oracle, [&](auto const& entry) {
                return entry.second.ends <= now;
            });
            auto const key = std::string(1, *rc::gen::inRange('a', 'd'));
            auto const place = oracle.find(key);
            auto const version =
                place == oracle.end() ? 0 : place->second.version;
            auto const expected = *rc::gen::elementOf(
                std::vector<std::uint64_t>{version, 0, highest, highest + 1});
            if (*rc::gen::inRange(0, 3) == 0) {
                auto const removed = state.remove(key, expected, now);
                bool const fits = version != 0 && expected == version;
                RC_ASSERT((removed.status == write_status::done) == fits);
                if (fits)
                    oracle.erase(key);
            } else {
                auto const lease = *rc::gen::inRange(1, 5);
                auto const value = std::to_string(i);
                auto const written =
                    state.write(key, value, expected, seconds(lease), now);
                bool const fits = expected == version;
                RC_ASSERT((written.status == write_status::done) == fits);
                if (fits) {
                    RC_ASSERT(written.version > highest);
                    highest = written.version;
                    oracle.insert_or_assign(
                        key, known{value, highest, now + seconds(lease)});
                } else {
                    RC_ASSERT(written.version == version);
                }
            }
            for (auto const* name : {"a", "b", "c"}) {
                auto const read = state.read(name, now);
                auto const entry = oracle.find(name);
                RC_ASSERT(read.has_value() == (entry != oracle.end()));
                if (!read)
                    continue;
                stored_value const wanted{entry->second.value,
                                          entry->second.version};
                RC_ASSERT(*read == wanted);
            }
        }
    }));
}

} // namespace
} // namespace yuccabeam::standins
