#include "yuccabeam/retry/ticket.hpp"
#include "yuccabeam/retry/ticket_table.hpp"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <rapidcheck.h>
#include <set>
#include <vector>

namespace yuccabeam::retry {
namespace {

constexpr std::string_view key = "0123456789abcdef0123456789abcdef";

// Guards against two texts for one ticket and against fields split at the
// wrong dot.
TEST_CASE("a ticket's text parses back and any altered text is refused") {
    ticket const original{{"10.0.0.7"}, 1'765'000'000'000'001, 42};
    auto const text = format_ticket(original, key);
    REQUIRE(parse_ticket(text, key));
    CHECK(parse_ticket(text, key).value() == original);
    CHECK(looks_like_ticket(text));
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto altered = text;
        altered[i] = altered[i] == '1' ? '2' : '1';
        CAPTURE(altered);
        CHECK_FALSE(parse_ticket(altered, key));
    }
    auto const other_key = parse_ticket(text, "another key");
    REQUIRE_FALSE(other_key);
    CHECK(other_key.error().code == fault_code::rejected);
}

// Guards against ordinary idempotency keys that are parsed as tickets.
TEST_CASE("texts that are not tickets are refused") {
    std::string const mac(32, 'a');
    std::string const rows[] = {"",
                                "order-17",
                                "d.1.2",
                                "d.1.2." + mac.substr(1),
                                "d.1.2." + std::string(32, 'G'),
                                ".1.2." + mac,
                                "d.01.2." + mac,
                                "d.1.+2." + mac,
                                "d.1.18446744073709551616." + mac,
                                "d..2." + mac,
                                std::string(600, 'd') + ".1.2." + mac};
    for (auto const& text : rows) {
        CAPTURE(text);
        CHECK_FALSE(looks_like_ticket(text));
        CHECK(parse_ticket(text, key).error().code ==
              fault_code::invalid_input);
    }
}

// Guards against a ticket accepted by a restarted owner or by another daemon.
TEST_CASE("a ticket is handled only by the incarnation that issued it") {
    struct row {
        char const* owner;
        incarnation start;
        std::optional<incarnation> known;
        ticket_location location;
    };
    row const rows[] = {{"self", 5, {}, ticket_location::local},
                        {"self", 4, {}, ticket_location::lost},
                        {"peer", 7, 7, ticket_location::remote},
                        {"peer", 6, 7, ticket_location::lost},
                        {"peer", 8, 7, ticket_location::remote},
                        {"peer", 7, {}, ticket_location::lost}};
    for (auto const& row : rows)
        CHECK(locate_ticket({{row.owner}, row.start, 1}, {"self"}, 5,
                            row.known) == row.location);
}

// Guards against a second run of a ticket after replays, restarts of the
// owner and eviction, and against wrong recorded outcomes.
TEST_CASE("a ticket runs at most once") {
    CHECK(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        auto const below = [&](std::uint64_t n) { return random() % n; };
        ticket_table_options const options{1 + below(6)};
        incarnation start = 1;
        ticket_table table({"owner"}, start, options);
        std::vector<ticket> issued;
        std::vector<ticket> running;
        std::set<ticket> may_have_run;
        std::map<ticket, int> statuses;
        for (int step = 0; step < 400; ++step) {
            auto const action = below(40);
            if (action == 0) {
                table = ticket_table({"owner"}, ++start, options);
            } else if (action < 12 || issued.empty()) {
                issued.push_back(table.issue());
            } else if (action < 22 && !running.empty()) {
                auto const at =
                    static_cast<std::ptrdiff_t>(below(running.size()));
                auto const ended = running[static_cast<std::size_t>(at)];
                running.erase(running.begin() + at);
                auto const outcome = static_cast<run_outcome>(below(3));
                int const status = 200 + static_cast<int>(below(300));
                table.finish(ended, outcome, status);
                if (outcome == run_outcome::not_run)
                    may_have_run.erase(ended);
                if (outcome == run_outcome::ran)
                    statuses[ended] = status;
            } else {
                auto const& replayed = issued[below(issued.size())];
                auto const answer = table.use(replayed);
                if (answer.use == ticket_use::run) {
                    RC_ASSERT(may_have_run.insert(replayed).second);
                    RC_ASSERT(replayed.serial >= table.low_water());
                    running.push_back(replayed);
                }
                if (answer.use == ticket_use::already_ran)
                    RC_ASSERT(statuses.at(replayed) == answer.status);
            }
            RC_ASSERT(table.size() <= options.capacity);
        }
    }));
}

// Guards against a table that refuses a run that it should allow, and against
// a serial that the owner never issued.
TEST_CASE("answers of the ticket table") {
    ticket_table table({"owner"}, 5, {2});
    auto const a = table.issue();
    auto const b = table.issue();
    auto const c = table.issue();
    CHECK(table.use({{"owner"}, 5, 4}).use == ticket_use::unknown);
    CHECK(table.use(b).use == ticket_use::run);
    CHECK(table.use(b).use == ticket_use::in_progress);
    table.finish(b, run_outcome::not_run);
    CHECK(table.use(b).use == ticket_use::run);
    table.finish(b, run_outcome::ran, 201);
    CHECK(table.use(b) == ticket_answer{ticket_use::already_ran, 201});
    table.finish(b, run_outcome::not_run);
    CHECK(table.use(b) == ticket_answer{ticket_use::already_ran, 201});
    CHECK(table.use(c).use == ticket_use::run);
    table.finish(c, run_outcome::unknown);
    CHECK(table.use(c).use == ticket_use::unknown);
    CHECK(table.use(a).use == ticket_use::unknown);
    auto const d = table.issue();
    CHECK(table.use(d).use == ticket_use::run);
    CHECK(table.low_water() == 3);
    CHECK(table.use(b).use == ticket_use::unknown);
}

} // namespace
} // namespace yuccabeam::retry
