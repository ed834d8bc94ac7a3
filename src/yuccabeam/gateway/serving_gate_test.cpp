#include "yuccabeam/gateway/serving_gate.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

} // namespace

// Guards against a paused process that uses a target which has left meanwhile.
TEST_CASE("requests are held after a pause until the copy is confirmed again") {
    serving_gate_options const options;
    struct row {
        char const* guards;
        duration pause;
        duration confirmed; ///< after the end of the pause
        duration asked;     ///< after the end of the pause
        bool open;
    };
    row const rows[] = {
        {"a short delay of the event loop", 900ms, -1s, 0ms, true},
        {"a pause, confirmed before it", 5s, -1s, 0ms, false},
        {"a pause, not confirmed yet", 5s, -1s, 399ms, false},
        {"a pause, confirmed after it", 5s, 20ms, 20ms, true},
        {"the store is away", 5s, -1s, options.longest_hold, true},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        serving_gate gate;
        gate.on_running(start);
        auto const resumed = start + row.pause;
        gate.on_running(resumed);
        CHECK(gate.open(resumed + row.asked, resumed + row.confirmed) ==
              row.open);
    }
}

// Guards against ages that are counted from the end of a pause.
TEST_CASE("datagrams that are read just after a pause count as delayed") {
    serving_gate_options const options;
    serving_gate gate;
    gate.on_running(start);
    CHECK_FALSE(gate.reads_backlog(start));
    auto const resumed = start + options.pause;
    gate.on_running(resumed);
    CHECK(gate.reads_backlog(resumed));
    CHECK_FALSE(gate.reads_backlog(resumed + options.backlog));
}

// Guards against a restarted daemon that uses a target or a route which its
// earlier process knew to be gone, because one peer's copy is older.
TEST_CASE("requests are held while the first copy is that of one peer") {
    serving_gate gate;
    gate.on_running(start);
    CHECK(gate.open(start, {}));
    gate.on_unconfirmed_copy(start);
    CHECK_FALSE(gate.open(start + 100ms, start - 1ms));
    CHECK(gate.open(start + 100ms, start + 50ms));
}
