#include "yuccabeam/limits/concurrency_limit.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace yuccabeam::limits {
namespace {

using namespace std::chrono_literals;
using enum attempt_result;

constexpr time_point start{};

void answer(concurrency_limit& limit, int times, duration latency,
            time_point now, std::uint32_t in_flight = 6) {
    for (int i = 0; i < times; ++i)
        limit.on_report({ok, latency, in_flight, {}}, now);
}

// Guards against a limit that doesn't yield to overload, or that one burst
// of shed answers throws to the floor.
TEST_CASE("one report after ten quick answers") {
    struct row {
        char const* name;
        attempt_report report;
        std::uint32_t limit;
    };
    row const rows[] = {
        {"quick", {ok, 10ms, 6, {}}, 6},
        {"shed", {shed, 1ms, 6, {}}, 4},
        {"timeout", {timeout, 2s, 6, {}}, 4},
        {"far above the baseline", {ok, 60ms, 6, {}}, 4},
        {"above it but usual for its kind", {ok, 60ms, 6, 50ms}, 6},
        {"refused or cancelled", {neutral, 2s, 6, {}}, 6},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        concurrency_limit limit(6);
        answer(limit, 10, 10ms, start);
        for (int i = 0; i < 3; ++i)
            limit.on_report(row.report, start + 1s);
        CHECK(limit.limit() == row.limit);
    }
}

// Guards against a limit that stays low after the overload, and against one
// that grows though nothing presses against it.
TEST_CASE("the limit returns under pressure only") {
    concurrency_limit limit(6);
    for (int i = 0; i < 20; ++i)
        limit.on_report({shed, 1ms, 6, {}}, start + i * 1s);
    CHECK(limit.limit() == 1);
    answer(limit, 100, 10ms, start + 30s, 0);
    CHECK(limit.limit() == 1);
    answer(limit, 100, 10ms, start + 30s);
    CHECK(limit.limit() == 6);
    limit.resize(3);
    CHECK(limit.limit() == 3);
    limit.resize(8);
    CHECK(limit.limit() == 8);
}

// Guards against a baseline that follows an overload at once, and against
// one that never learns a lasting change.
TEST_CASE("the baseline follows slow answers slowly") {
    concurrency_limit limit(6);
    answer(limit, 1'000, 10ms, start);
    answer(limit, 50, 100ms, start + 1s);
    CHECK(limit.baseline() < 12ms);
    answer(limit, 5'000, 100ms, start + 2s);
    CHECK(limit.baseline() > 50ms);
    CHECK(limit.limit() == 6);
}

// Guards against a limit outside 1..slots, which would starve or overrun
// the target.
TEST_CASE("the limit stays between one and the slots") {
    CHECK(rc::check([](std::vector<std::uint8_t> const& reports) {
        auto const slots = *rc::gen::inRange(1U, 9U);
        concurrency_limit limit(slots);
        auto now = start;
        for (auto const byte : reports) {
            now += 40ms;
            limit.on_report({static_cast<attempt_result>(byte % 4),
                             std::chrono::milliseconds(byte),
                             byte % 8U,
                             {}},
                            now);
            RC_ASSERT(limit.limit() >= 1U);
            RC_ASSERT(limit.limit() <= slots);
        }
    }));
}

} // namespace
} // namespace yuccabeam::limits
