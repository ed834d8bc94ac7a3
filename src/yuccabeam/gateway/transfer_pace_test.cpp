#include "yuccabeam/gateway/transfer_pace.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};
constexpr duration tick = 50ms;

} // namespace

// Guards against a second source that takes its part of a link which a large
// response fills, and against a gray source that is waited for.
TEST_CASE("a transfer is slow when its source sends far less than a link "
          "bears") {
    struct row {
        char const* guards;
        /// Bytes that have arrived so far, by the time since the first byte.
        std::function<double(double seconds)> bytes;
        bool slow;
    };
    row const rows[] = {
        {"a tenth of 100 Mbit/s", [](double s) { return 1.25e6 * s; }, false},
        {"a fifth of 10 Mbit/s", [](double s) { return 0.25e6 * s; }, false},
        {"a byte each 400 ms", [](double s) { return 1 + s / 0.4; }, true},
        {"a large part at once, then bytes",
         [](double s) { return 600e3 + s / 0.4; }, true},
        {"a link that collapses after a second",
         [](double s) { return 1.25e6 * std::min(s, 1.0); }, true},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        transfer_pace pace;
        for (auto now = start; now <= start + 2s; now += tick) {
            pace.on_bytes(
                static_cast<std::uint64_t>(row.bytes(to_seconds(now - start))),
                now);
            pace.measure(now);
        }
        CHECK(pace.slow() == row.slow);
    }
}

// Guards against a sound source that is taken for a gray one because this
// process did not run, or because it has not sent a byte yet.
TEST_CASE("a transfer isn't slow for a pause of this process or for its wait") {
    transfer_pace pace;
    pace.measure(start);
    pace.measure(start + 10s);
    CHECK_FALSE(pace.slow());
    pace.on_bytes(1, start + 10s);
    for (auto now = start + 10s; now < start + 20s; now += 400ms)
        pace.measure(now);
    CHECK_FALSE(pace.slow());
}
