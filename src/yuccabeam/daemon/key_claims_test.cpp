#include "yuccabeam/daemon/key_claims.hpp"

#include "yuccabeam/adapters/clock.hpp"

#include <doctest/doctest.h>
#include <future>
#include <map>

namespace yuccabeam::daemon {
namespace {

// Store in memory whose replies can be lost.
class fake_store final : public claim_store {
public:
    enum class failure { none, down, reply_lost, lost_and_unreadable };

    explicit fake_store(failure mode = failure::none) : mode_(mode) {}

    retry::claim_event create(std::string const& key, std::string const& value,
                              duration) override {
        std::lock_guard lock(mutex_);
        if (mode_ == failure::down)
            return retry::claim_refused{};
        auto const [place, fresh] = values_.emplace(key, value);
        if (mode_ != failure::none)
            return retry::claim_no_reply{};
        if (fresh)
            return retry::claim_created{};
        return retry::claim_exists{place->second};
    }

    retry::claim_event read(std::string const& key) override {
        std::lock_guard lock(mutex_);
        if (mode_ == failure::lost_and_unreadable)
            return retry::read_failed{};
        auto const place = values_.find(key);
        if (place == values_.end())
            return retry::read_reply{};
        return retry::read_reply{place->second};
    }

    retry::claim_event remove(std::string const& key,
                              std::string const& value) override {
        std::lock_guard lock(mutex_);
        auto const place = values_.find(key);
        if (place == values_.end() || place->second != value)
            return retry::delete_failed{};
        values_.erase(place);
        return retry::delete_confirmed{};
    }

private:
    failure mode_;
    std::mutex mutex_;
    std::map<std::string, std::string> values_;
};

using claim_answer = std::variant<run_guard_ptr, claim_refusal>;

claim_answer claim(key_claims& claims, std::string const& account) {
    std::promise<claim_answer> answered;
    claims.claim({account}, "key",
                 [&](auto answer) { answered.set_value(std::move(answer)); });
    return answered.get_future().get();
}

std::unique_ptr<key_claims> make_claims(char const* self,
                                        std::shared_ptr<fake_store> store) {
    // Started a minute ago, so that the claim rate's bucket is full.
    return std::make_unique<key_claims>(daemon_id{self}, 1, std::move(store),
                                        adapters::boot_now() -
                                            std::chrono::minutes(1));
}

bool may_run(claim_answer const& answer) {
    return std::holds_alternative<run_guard_ptr>(answer);
}

// Guards against a key that two daemons run, and against running a key
// whose claim can't be known.
TEST_CASE("who may run a free key") {
    using failure = fake_store::failure;
    struct row {
        failure mode;
        bool first_runs;
        claim_refusal second;
    };
    row const rows[] = {
        {failure::none, true, claim_refusal::conflict},
        {failure::down, false, claim_refusal::unknown},
        {failure::reply_lost, true, claim_refusal::conflict},
        {failure::lost_and_unreadable, false, claim_refusal::unknown},
    };
    for (auto const& row : rows) {
        CAPTURE(static_cast<int>(row.mode));
        auto store = std::make_shared<fake_store>(row.mode);
        auto const first = make_claims("d1", store);
        auto const second = make_claims("d2", store);
        CHECK(may_run(claim(*first, "shop")) == row.first_runs);
        auto const again = claim(*second, "shop");
        REQUIRE(std::holds_alternative<claim_refusal>(again));
        CHECK(std::get<claim_refusal>(again) == row.second);
    }
}

// Guards against one account that blocks another one's key.
TEST_CASE("accounts have keys of their own") {
    auto const claims = make_claims("d1", std::make_shared<fake_store>());
    CHECK(may_run(claim(*claims, "shop")));
    CHECK(may_run(claim(*claims, "school")));
}

// Guards against `not-run` for a request whose key stays taken, and against
// a key that is free again after a run.
TEST_CASE("only a request that did not run frees its key") {
    struct row {
        retry::run_outcome outcome;
        bool free_again;
    };
    row const rows[] = {{retry::run_outcome::not_run, true},
                        {retry::run_outcome::ran, false},
                        {retry::run_outcome::unknown, false}};
    for (auto const& row : rows) {
        CAPTURE(static_cast<int>(row.outcome));
        auto const claims = make_claims("d1", std::make_shared<fake_store>());
        auto const answer = claim(*claims, "shop");
        REQUIRE(may_run(answer));
        std::promise<retry::run_outcome> told;
        std::get<run_guard_ptr>(answer)->end(
            row.outcome, 0, [&](auto outcome) { told.set_value(outcome); });
        CHECK(told.get_future().get() == row.outcome);
        CHECK(may_run(claim(*claims, "shop")) == row.free_again);
    }
}

// Guards against a daemon that was paused past its claim and then sends.
TEST_CASE("a claim near its end allows no sending") {
    auto const claims = make_claims("d1", std::make_shared<fake_store>());
    auto const answer = claim(*claims, "shop");
    REQUIRE(may_run(answer));
    auto const& guard = std::get<run_guard_ptr>(answer);
    auto const now = adapters::boot_now();
    CHECK(guard->may_send(now, now + std::chrono::seconds(10)));
    auto const late = now + std::chrono::minutes(15);
    CHECK_FALSE(guard->may_send(late, late + std::chrono::seconds(10)));
}

} // namespace
} // namespace yuccabeam::daemon
