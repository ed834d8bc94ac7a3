#include "yuccabeam/gateway/active_policy.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

// Parses a configuration that consists of its revision in decimal digits.
result<traffic_policy> read_policy(std::string const& text) {
    if (text.find_first_not_of("0123456789") != std::string::npos)
        return fault{fault_code::invalid_input, "no number"};
    traffic_policy out;
    out.revision = std::stoull(text);
    out.routes.resize(1);
    return out;
}

mirror::store_mirror store_with(std::string const& text,
                                std::uint64_t revision) {
    mirror::store_mirror out;
    out.replace({{"config", text, revision}}, revision);
    return out;
}

} // namespace

// Guards against a daemon that reverts to an older configuration or drops the
// one in force for a text that can't be parsed.
TEST_CASE("the revision of the configuration in force never decreases") {
    struct row {
        char const* text;
        std::uint64_t store_revision;
        std::uint64_t in_force;
    };
    row const rows[] = {
        {"5", 10, 5}, {"broken", 11, 5}, {"4", 12, 5},
        {"6", 13, 6}, {"6", 14, 6},      {"7", 14, 6}, // the same revision
        {"8", 15, 8},
    };
    content_format format;
    format.policy_key = "config";
    format.policy = read_policy;
    counters numbers;
    telemetry::event_log log({"vm", -1});
    active_policy active(format, log, numbers);
    CHECK(active.empty());
    auto now = start;
    for (auto const& row : rows) {
        CAPTURE(row.text);
        now += 1s;
        auto const before = active.policy().revision;
        active.update(store_with(row.text, row.store_revision), now);
        CHECK(active.policy().revision == row.in_force);
        CHECK((active.applied_at() == now) == (before != row.in_force));
    }
    CHECK_FALSE(active.empty());
    CHECK(numbers.text().find("policies_rejected") != std::string::npos);
}
