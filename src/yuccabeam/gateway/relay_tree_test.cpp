#include "yuccabeam/gateway/relay_tree.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

relay_candidate named(std::string address, std::uint32_t processor_percent) {
    return {std::move(address), processor_percent};
}

} // namespace

TEST_CASE("the daemon on the largest VM is the relay of all others") {
    std::vector<relay_candidate> const all = {named("a", 10), named("b", 50),
                                              named("c", 20)};
    for (auto const& self : all) {
        CAPTURE(self.address);
        relay_tree tree(self);
        std::vector<relay_candidate> others;
        for (auto const& one : all)
            if (one != self)
                others.push_back(one);
        tree.select(others, start);
        CHECK(tree.relay() == (self.address == "b"
                                   ? std::nullopt
                                   : std::optional<std::string>("b")));
    }
}

// Guards against daemons that report to each other in a circle.
TEST_CASE("of two daemons exactly one is the better relay") {
    for (char a = 'a'; a < 'z'; ++a) {
        auto const first = named(std::string(1, a), 10);
        auto const second = named(std::string(1, static_cast<char>(a + 1)), 10);
        CHECK(is_better_relay(first, second) != is_better_relay(second, first));
    }
}

TEST_CASE("a silent relay is passed over for a while, then tried again") {
    relay_tree_options const options;
    relay_tree tree(named("self", 10));
    std::vector<relay_candidate> const live = {named("best", 50),
                                               named("next", 20)};
    REQUIRE(tree.select(live, start));
    auto now = start + 300ms;
    tree.on_heard("best", now);
    now += options.silence_limit - 1ms;
    tree.select(live, now);
    CHECK(tree.relay() == "best");
    now += 1ms;
    CHECK(tree.selection_due(now));
    CHECK(tree.select(live, now));
    CHECK(tree.relay() == "next");
    tree.on_heard("next", now + options.avoidance);
    CHECK(tree.select(live, now + options.avoidance));
    CHECK(tree.relay() == "best");
}

TEST_CASE("a subscription ends when its daemon no longer reports") {
    relay_tree_options const options;
    relay_tree tree(named("self", 10));
    CHECK_FALSE(tree.has_subscribers(start));
    tree.on_subscription("x", start);
    tree.on_subscription("y", start + 1s);
    CHECK(tree.subscribers(start + 1s).size() == 2);
    CHECK(tree.subscribers(start + options.subscription) ==
          std::vector<std::string>{"y"});
}
