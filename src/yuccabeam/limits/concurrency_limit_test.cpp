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

// Guards against a limit that doesn't decrease under overload, or that a single
// burst of shed responses reduces to the minimum.
TEST_CASE("a burst of equal reports after ten quick responses") {
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

// Guards against a limit that stays low after an overload, and against one that
// grows although the in-flight requests don't reach it.
TEST_CASE("the limit recovers only while requests in flight reach it") {
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

// Guards against a baseline that follows an overload immediately, and against
// one that never adapts to a lasting change.
TEST_CASE("the baseline adapts slowly to slow responses") {
    concurrency_limit limit(6);
    answer(limit, 1'000, 10ms, start);
    answer(limit, 50, 100ms, start + 1s);
    CHECK(limit.baseline() < 12ms);
    answer(limit, 5'000, 100ms, start + 2s);
    CHECK(limit.baseline() > 50ms);
    CHECK(limit.limit() == 6);
}

// Guards against a limit outside 1..slots, which would starve or overload the
// target.
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
