#include "yuccabeam/placement/target_table.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <string>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr std::uint32_t slots = 5;

std::vector<discovered_target> listed(std::size_t count) {
    std::vector<discovered_target> out;
    for (std::size_t i = 0; i < count; ++i) {
        discovered_target target;
        target.target = {
            {"t" + std::to_string(i)}, {"svc"}, {"a"}, "x", slots, 300};
        out.push_back(target);
    }
    return out;
}

} // namespace

// Guards against slots that are counted although no request can use them, and
// against healthy targets that are left out.
TEST_CASE(
    "the room of a service is that of the targets that may get requests") {
    struct room_case {
        char const* what;
        std::function<void(target_table&)> change;
        std::size_t targets;
    };
    target_id const first{"t0"};
    room_case const cases[] = {
        {"all sound", [](auto&) {}, 3},
        {"suspected",
         [&](auto& table) {
             table.on_peer_notice({first, 0, notice_kind::failed}, start);
         },
         3},
        {"unreachable",
         [&](auto& table) {
             table.on_start(first, start);
             table.on_end(first, attempt_outcome::connect_failed, start, start);
         },
         2},
        {"replaced",
         [&](auto& table) {
             table.on_peer_notice({first, 0, notice_kind::replaced}, start);
         },
         2},
        {"leaving by its own word",
         [&](auto& table) {
             table.on_peer_notice({first, 0, notice_kind::leaving}, start);
         },
         2},
        {"resting",
         [&](auto& table) { table.on_rest(first, 1s, start, start); }, 2},
        {"vanished",
         [&](auto& table) {
             auto rest = listed(3);
             rest.erase(rest.begin());
             table.replace(rest, start);
         },
         2}};
    for (auto const& c : cases) {
        CAPTURE(std::string(c.what));
        target_table table({"a"}, 1);
        table.replace(listed(3), start);
        c.change(table);
        auto const room = table.room({"svc"}, start);
        CHECK(room.targets == c.targets);
        CHECK(room.slots == doctest::Approx(slots * c.targets));
        CHECK(room.used == 0);
    }
}

TEST_CASE("requests in flight are those of all daemons") {
    target_table table({"a"}, 1);
    table.replace(listed(3), start);
    table.on_start({"t0"}, start);
    table.on_peer_activity({"peer"}, {{"t0"}, 0, 4}, start);
    table.on_domain_activity({"b"}, {{{"t1"}, 0, 7}}, start);
    auto const room = table.room({"svc"}, start);
    CHECK(room.in_flight == doctest::Approx(12));
    CHECK(room.own == doctest::Approx(1));
    CHECK(room.used == 2);
    CHECK_FALSE(room.relayed);
    CHECK(table.room({"none"}, start).slots == 0);
    // A report that isn't repeated is no longer valid.
    CHECK(table.room({"svc"}, start + 1min).in_flight == doctest::Approx(1));
    table.on_relayed_loads({}, start);
    CHECK(table.room({"svc"}, start).relayed);
}
