#include "yuccabeam/retry/key_claim.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>
#include <vector>

namespace yuccabeam::retry {
namespace {

using namespace std::chrono_literals;
using enum claim_action;

constexpr time_point start{};

// Guards against collisions between the keys of different accounts.
TEST_CASE("claim keys differ by account and key") {
    auto const one = claim_key({"a"}, "bc");
    CHECK(one.size() == 4 + 64);
    CHECK(one.starts_with("key/"));
    CHECK(one == claim_key({"a"}, "bc"));
    CHECK(one != claim_key({"ab"}, "c"));
    CHECK(claim_key({"1:a"}, "") != claim_key({"1"}, ":a"));
}

// Guards against a run without a confirmed claim, and against not-run answers
// while the claim may still exist.
TEST_CASE("actions of a claim for each sequence of events") {
    struct row {
        char const* name;
        std::vector<claim_event> events;
        std::vector<claim_action> actions;
    };
    std::vector<row> const rows = {
        {"created and run", {claim_created{}, run_ended{false}}, {run, none}},
        {"created, not run",
         {claim_created{}, run_ended{true}, delete_confirmed{}},
         {run, delete_claim, answer_not_run}},
        {"not run, delete unanswered",
         {claim_created{}, run_ended{true}, delete_failed{}},
         {run, delete_claim, answer_unknown}},
        {"another's claim", {claim_exists{"other"}}, {answer_conflict}},
        {"own claim after a resend", {claim_exists{"mine"}}, {run}},
        {"claim of unknown owner",
         {claim_exists{}, read_reply{"other"}},
         {read_back, answer_conflict}},
        {"reply lost, ours",
         {claim_no_reply{}, read_reply{"mine"}},
         {read_back, run}},
        {"reply lost, another's",
         {claim_no_reply{}, read_reply{"other"}},
         {read_back, answer_conflict}},
        {"reply lost, absent",
         {claim_no_reply{}, read_reply{}},
         {read_back, answer_unknown}},
        {"reply lost, unreadable",
         {claim_no_reply{}, read_failed{}},
         {read_back, answer_unknown}},
        {"store declines", {claim_refused{}}, {answer_unknown}},
        {"late reply after the read back",
         {claim_no_reply{}, claim_created{}, read_failed{}, claim_created{}},
         {read_back, none, answer_unknown, none}},
        {"nothing runs twice",
         {claim_created{}, claim_created{}, run_ended{false}, run_ended{true}},
         {run, none, none, none}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        key_claim claim("mine", start);
        std::vector<claim_action> actions;
        for (auto const& event : row.events)
            actions.push_back(claim.on(event, start + 1s));
        CHECK(actions == row.actions);
    }
}

// Guards against a daemon that sends after a pause in which its lease expired.
TEST_CASE("a claim is used only within its lease") {
    key_claim late("mine", start);
    CHECK(late.on(claim_created{}, start + 14min + 30s) == answer_unknown);
    key_claim claim("mine", start);
    CHECK_FALSE(claim.may_send(start, start + 1s));
    CHECK(claim.on(claim_created{}, start + 1s) == run);
    CHECK(claim.may_send(start + 2s, start + 14min + 30s));
    CHECK_FALSE(claim.may_send(start + 2s, start + 14min + 31s));
    CHECK_FALSE(claim.may_send(start + 14min + 30s, start + 14min + 30s));
}

/// Requests of daemons that pause, all for one key, and a store with leases
/// where requests take effect late and replies get lost.
class simulation {
public:
    explicit simulation(std::uint64_t seed) : random_(seed) {}

    void run() {
        for (int step = 0; step < 400; ++step) {
            now_ += below(10) == 0 ? duration(10min) : duration(20s);
            auto const choice = below(3);
            if (choice == 0 || calls_.empty())
                start_request();
            else
                deliver(below(calls_.size()));
        }
    }

private:
    enum class call_kind { create, read, remove, target };
    struct call {
        call_kind kind;
        std::size_t request;
    };
    struct stored_claim {
        std::string value;
        time_point ends;
    };

    std::uint64_t below(std::uint64_t n) { return random_() % n; }

    void start_request() {
        claims_.emplace_back(std::to_string(claims_.size()), now_);
        executed_.push_back(false);
        created_.emplace_back();
        calls_.push_back({call_kind::create, claims_.size() - 1});
    }

    void deliver(std::size_t at) {
        auto const [kind, request] = calls_[at];
        bool const lost_reply = below(4) == 0;
        // A call without a reply may still be in transit.
        bool const keep = lost_reply && below(2) == 0;
        if (!keep)
            calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(at));
        if (stored_ && stored_->ends <= now_)
            stored_.reset();
        auto const& value = claims_[request].value();
        switch (kind) {
        case call_kind::create: {
            claim_event event = claim_created{};
            if (stored_)
                event = claim_exists{below(2) ? stored_->value : ""};
            else if (!keep) {
                stored_ = {value, now_ + 15min};
                created_[request] = now_;
            }
            act(request, lost_reply ? claim_no_reply{} : event);
            break;
        }
        case call_kind::read:
            act(request,
                lost_reply ? claim_event(read_failed{})
                           : read_reply{stored_ ? std::optional(stored_->value)
                                                : std::nullopt});
            break;
        case call_kind::remove: {
            bool const own = stored_ && stored_->value == value;
            if (own && !keep)
                stored_.reset();
            act(request, own && !lost_reply ? claim_event(delete_confirmed{})
                                            : delete_failed{});
            break;
        }
        case call_kind::target:
            send(request);
            break;
        }
    }

    void send(std::size_t request) {
        // A run takes up to a minute; no other run may start in that time.
        bool const allowed = claims_[request].may_send(now_, now_ + 1min);
        bool const ran = allowed && below(2) == 0;
        if (ran) {
            RC_ASSERT(now_ >= busy_until_);
            RC_ASSERT(!executed_[request]);
            executed_[request] = true;
            busy_until_ = now_ + 1min;
            // The lease of the previous claim that ran must have expired.
            RC_ASSERT(!last_run_claim_ ||
                      created_[request] - *last_run_claim_ >= 15min);
            last_run_claim_ = created_[request];
        }
        act(request, run_ended{!ran});
    }

    void act(std::size_t request, claim_event const& event) {
        switch (claims_[request].on(event, now_)) {
        case read_back:
            calls_.push_back({call_kind::read, request});
            break;
        case claim_action::run:
            calls_.push_back({call_kind::target, request});
            break;
        case delete_claim:
            calls_.push_back({call_kind::remove, request});
            break;
        case answer_not_run:
            RC_ASSERT(!executed_[request]);
            break;
        default:
            break;
        }
    }

    std::mt19937_64 random_;
    time_point now_ = start;
    std::vector<key_claim> claims_;
    std::vector<bool> executed_;
    std::vector<time_point> created_;
    std::vector<call> calls_;
    std::optional<stored_claim> stored_;
    std::optional<time_point> last_run_claim_;
    time_point busy_until_ = start;
};

// Guards against a second run of a key within a lease, over lost replies,
// late effects, expired leases and pauses.
TEST_CASE("a key runs at most once within a lease") {
    CHECK(rc::check([](std::uint64_t seed) { simulation(seed).run(); }));
}

// Guards against claims of 3,000 daemons overloading the store.
TEST_CASE("claims stay within the daemon's share") {
    struct row {
        std::size_t daemons;
        int in_ten_seconds;
    };
    row const rows[] = {{1, 1'500}, {36, 41}, {150, 10}, {3'000, 0}};
    for (auto const& row : rows) {
        CAPTURE(row.daemons);
        claim_rate rate(row.daemons, start);
        int taken = 0;
        for (int i = 1; i <= 10'000; ++i)
            taken += rate.take(start + i * 1ms);
        CHECK(taken == row.in_ten_seconds);
    }
    claim_rate rate(36, start);
    int burst = 0;
    while (rate.take(start + 1h))
        ++burst;
    CHECK(burst == 4);
    rate.set_daemons(3'000, start + 1h);
    CHECK_FALSE(rate.take(start + 1h + 10s));
    CHECK(rate.take(start + 1h + 21s));
}

} // namespace
} // namespace yuccabeam::retry
