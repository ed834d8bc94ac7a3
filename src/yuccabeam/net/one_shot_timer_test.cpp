#include "yuccabeam/net/one_shot_timer.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using yuccabeam::duration;
using yuccabeam::net::one_shot_timer;

namespace {

constexpr duration due{};
constexpr duration later = std::chrono::hours(1);

struct late_change {
    std::string guards;
    std::function<void(std::optional<one_shot_timer>&)> change;
};

} // namespace

TEST_CASE("a queued completion of a changed timer does not run its handler") {
    std::vector<late_change> const changes = {
        {"a start for a later time",
         [](auto& timer) { timer->start(later, [] {}); }},
        {"a cancel", [](auto& timer) { timer->cancel(); }},
        {"the destruction of the timer", [](auto& timer) { timer.reset(); }},
    };
    for (auto const& c : changes) {
        CAPTURE(c.guards);
        asio::io_context context;
        one_shot_timer first(context.get_executor());
        std::optional<one_shot_timer> second(std::in_place,
                                             context.get_executor());
        bool changed = false;
        bool acted = false;
        // Both completions are queued before the first one runs.
        first.start(due, [&] {
            c.change(second);
            changed = true;
        });
        second->start(due, [&] { acted = true; });
        while (!changed)
            context.run_one();
        context.poll();
        CHECK_FALSE(acted);
    }
}

TEST_CASE("a handler runs once, and the timer can be started again from it") {
    asio::io_context context;
    one_shot_timer timer(context.get_executor());
    int runs = 0;
    timer.start(due, [&] {
        ++runs;
        timer.start(due, [&] { ++runs; });
    });
    context.run();
    CHECK(runs == 2);
}
