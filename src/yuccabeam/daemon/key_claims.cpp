#include "yuccabeam/daemon/key_claims.hpp"

#include "yuccabeam/adapters/clock.hpp"

#include <asio/post.hpp>

namespace yuccabeam::daemon {

namespace {

using adapters::boot_now;

// At most 150 claims/s over the fleet and a store that answers in
// milliseconds keep one thread of a daemon busy; more cover a slow store.
constexpr std::size_t store_threads = 4;

} // namespace

/// A claim in the store, from its creation to the end of the request.
class claim_guard final : public run_guard,
                          public std::enable_shared_from_this<claim_guard> {
public:
    claim_guard(key_claims& owner, std::string key, std::string value)
        : owner_(owner), key_(std::move(key)),
          claim_(std::move(value), boot_now()) {}

    // Runs in a store thread until the claim holds or is given up.
    void acquire(key_claims::answer const& done) {
        auto event =
            owner_.store_->create(key_, claim_.value(), options_.lease);
        for (;;) {
            switch (on(event)) {
            case retry::claim_action::read_back:
                event = owner_.store_->read(key_);
                continue;
            case retry::claim_action::run:
                return done(shared_from_this());
            case retry::claim_action::answer_conflict:
                return done(claim_refusal::conflict);
            default:
                return done(claim_refusal::unknown);
            }
        }
    }

    bool may_send(time_point now, time_point deadline) const override {
        std::lock_guard lock(mutex_);
        return claim_.may_send(now, deadline);
    }

    void end(retry::run_outcome outcome, int, settled done) override {
        bool const not_run = outcome == retry::run_outcome::not_run;
        auto const action = on(retry::run_ended{not_run});
        if (action != retry::claim_action::delete_claim)
            return done(not_run ? retry::run_outcome::unknown : outcome);
        asio::post(owner_.threads_,
                   [self = shared_from_this(), done = std::move(done)] {
                       done(self->remove());
                   });
    }

private:
    retry::claim_action on(retry::claim_event const& event) {
        std::lock_guard lock(mutex_);
        return claim_.on(event, boot_now());
    }

    retry::run_outcome remove() {
        auto const event = owner_.store_->remove(key_, claim_.value());
        return on(event) == retry::claim_action::answer_not_run
                   ? retry::run_outcome::not_run
                   : retry::run_outcome::unknown;
    }

    key_claims& owner_;
    std::string key_;
    retry::claim_options options_;
    mutable std::mutex mutex_;
    retry::key_claim claim_;
};

key_claims::key_claims(daemon_id self, incarnation self_incarnation,
                       std::shared_ptr<claim_store> store, time_point now)
    : value_prefix_(self.value + "." + std::to_string(self_incarnation) + "."),
      store_(std::move(store)), rate_(1, now), threads_(store_threads) {}

key_claims::~key_claims() {
    threads_.join();
}

std::string key_claims::unique_value() {
    return value_prefix_ + std::to_string(++claims_);
}

void key_claims::claim(account_id const& account, std::string const& key,
                       answer done) {
    bool allowed = false;
    {
        std::lock_guard lock(mutex_);
        allowed = rate_.take(boot_now());
    }
    if (!allowed)
        return done(claim_refusal::unknown);
    auto guard = std::make_shared<claim_guard>(
        *this, retry::claim_key(account, key), unique_value());
    asio::post(threads_,
               [guard, done = std::move(done)] { guard->acquire(done); });
}

void key_claims::set_daemons(std::size_t count, time_point now) {
    std::lock_guard lock(mutex_);
    rate_.set_daemons(count, now);
}

} // namespace yuccabeam::daemon
