#include "yuccabeam/http1/memory_budget.hpp"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace yuccabeam::http1;

namespace {

constexpr std::size_t limit = 1'000;

/// A body that gives its bytes back when it is evicted.
struct test_body {
    memory_hold hold;
    bool evicted = false;

    explicit test_body(std::shared_ptr<memory_budget> const& budget)
        : hold(budget) {
        hold.on_evict([this] {
            evicted = true;
            hold.resize(0);
        });
    }
};

struct growth_case {
    char const* guards;
    std::vector<std::size_t> held; ///< before
    std::size_t wanted;            ///< by a new body
    bool granted;
    std::vector<bool> evicted;
};

} // namespace

TEST_CASE("the largest body gives way to a smaller one that grows") {
    std::vector<growth_case> const cases = {
        {"a body within the limit evicts nothing",
         {300, 300},
         400,
         true,
         {false, false}},
        {"the largest one goes, not the oldest",
         {200, 500, 250},
         300,
         true,
         {false, true, false}},
        {"as many go as are needed",
         {400, 350, 250},
         900,
         true,
         {true, true, true}},
        {"a body above the limit ends itself", {}, limit + 1, false, {}},
    };
    for (auto const& c : cases) {
        CAPTURE(c.guards);
        auto const budget = std::make_shared<memory_budget>(limit);
        std::vector<std::unique_ptr<test_body>> bodies;
        for (auto const bytes : c.held) {
            bodies.push_back(std::make_unique<test_body>(budget));
            REQUIRE(bodies.back()->hold.resize(bytes));
        }
        memory_hold grows(budget);
        CHECK(grows.resize(c.wanted) == c.granted);
        for (std::size_t i = 0; i < bodies.size(); ++i)
            CHECK(bodies[i]->evicted == c.evicted[i]);
        CHECK(budget->held() <= limit);
    }
}

// Guards against small bodies that end because a large one goes on growing.
TEST_CASE("the largest body ends itself when it grows beyond the limit") {
    auto const budget = std::make_shared<memory_budget>(limit);
    test_body small(budget);
    REQUIRE(small.hold.resize(300));
    memory_hold large(budget);
    REQUIRE(large.resize(600));
    CHECK_FALSE(large.resize(800));
    CHECK(large.bytes() == 600);
    CHECK_FALSE(small.evicted);
    CHECK(budget->refusals() == 1);
}

// Guards against a sum that drifts from what the bodies hold.
TEST_CASE("the budget holds the sum of its bodies, and never more than its "
          "limit") {
    std::mt19937_64 random(5);
    auto const budget = std::make_shared<memory_budget>(limit);
    std::map<int, std::unique_ptr<test_body>> bodies;
    for (int step = 0; step < 20'000; ++step) {
        auto const key = static_cast<int>(random() % 12);
        auto& body = bodies[key];
        switch (random() % 4) {
        case 0:
            body.reset();
            break;
        case 1:
            if (body) {
                memory_hold moved(std::move(body->hold));
                body->hold = std::move(moved);
            }
            break;
        default:
            if (!body || body->evicted)
                body = std::make_unique<test_body>(budget);
            body->hold.resize(random() % 700);
        }
        std::size_t sum = 0;
        for (auto const& [id, at] : bodies)
            sum += at ? at->hold.bytes() : 0;
        REQUIRE(budget->held() == sum);
        REQUIRE(sum <= limit);
    }
    CHECK(budget->evictions() > 0);
}

TEST_CASE("an appended body keeps its bytes and holds its storage") {
    for (std::size_t const expected : {std::size_t{0}, std::size_t{300'000}}) {
        CAPTURE(expected);
        auto const budget = std::make_shared<memory_budget>(10'000'000);
        memory_hold hold(budget);
        std::string body;
        std::string all;
        for (int i = 0; i < 300; ++i) {
            std::string const part(1'000, static_cast<char>('a' + i % 26));
            REQUIRE(append_held(body, part, expected, hold));
            all += part;
        }
        CHECK(body == all);
        CHECK(hold.bytes() == body.capacity());
    }
}

// Guards against an announced length that takes memory before its bytes come.
TEST_CASE("a long announced length holds little until its bytes arrive") {
    auto const budget = std::make_shared<memory_budget>(100'000'000);
    memory_hold hold(budget);
    std::string body;
    REQUIRE(append_held(body, "x", 50'000'000, hold));
    CHECK(hold.bytes() <= 2'000'000);
}

// Guards against a crowd of connections that keeps the memory that ordinary
// requests need, and against the close of those that make progress.
TEST_CASE("idle connections give way first, then stalled ones, then large "
          "bodies") {
    using namespace std::chrono_literals;
    struct holder {
        eviction_rank rank;
        std::chrono::milliseconds since;
        std::size_t bytes;
    };
    struct row {
        char const* guards;
        std::vector<holder> held;
        std::size_t wanted;
        bool granted;
        std::vector<bool> evicted;
    };
    auto const idle = eviction_rank::idle;
    auto const in_request = eviction_rank::in_request;
    auto const by_size = eviction_rank::by_size;
    std::vector<row> const rows = {
        {"the longest idle one goes, not the largest body",
         {{idle, 9s, 100}, {idle, 8s, 100}, {by_size, 0s, 800}},
         50,
         true,
         {false, true, false}},
        {"idle ones go before stalled ones",
         {{in_request, 1s, 500}, {idle, 9s, 500}},
         100,
         true,
         {false, true}},
        {"the longest stalled one goes before a larger body",
         {{in_request, 2s, 100}, {in_request, 1s, 100}, {by_size, 0s, 800}},
         100,
         true,
         {false, true, false}},
        {"one that makes progress stays",
         {{in_request, 9'500ms, 500}, {by_size, 0s, 500}},
         100,
         true,
         {false, true}},
        {"without any to close the new one ends",
         {{in_request, 9'500ms, 1'000}},
         100,
         false,
         {false}},
        {"a size beyond the limit closes nobody",
         {{idle, 0s, 500}},
         limit + 1,
         false,
         {false}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.guards);
        auto const budget = std::make_shared<memory_budget>(
            limit, [] { return yuccabeam::time_point(10s); });
        std::vector<std::unique_ptr<test_body>> all;
        for (auto const& each : row.held) {
            all.push_back(std::make_unique<test_body>(budget));
            REQUIRE(all.back()->hold.resize(each.bytes));
            all.back()->hold.rank(each.rank, yuccabeam::time_point(each.since));
        }
        memory_hold grows(budget);
        CHECK(grows.resize(row.wanted) == row.granted);
        for (std::size_t i = 0; i < all.size(); ++i)
            CHECK(all[i]->evicted == row.evicted[i]);
    }
}
