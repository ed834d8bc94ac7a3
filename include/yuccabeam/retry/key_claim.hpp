#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace yuccabeam::retry {

/// Store key of an idempotency key that is not a ticket: `key/` and the
/// SHA-256 of account and key, so that keys of different accounts can't
/// collide.
std::string claim_key(account_id const& account, std::string_view key);

/// Events passed to `key_claim::on`.
struct claim_created {};
struct claim_exists {
    std::string value; ///< stored value; empty if the reply has none
};
struct claim_no_reply {}; ///< timeout or broken connection
struct claim_refused {};  ///< the store rejected the create; nothing written
struct read_reply {
    std::optional<std::string> value; ///< empty if the key is absent
};
struct read_failed {};
struct run_ended {
    bool not_run = false; ///< the request certainly did not run
};
struct delete_confirmed {};
struct delete_failed {}; ///< no reply, or the claim is no longer ours

using claim_event = std::variant<claim_created, claim_exists, claim_no_reply,
                                 claim_refused, read_reply, read_failed,
                                 run_ended, delete_confirmed, delete_failed>;

enum class claim_action : std::uint8_t {
    none,
    read_back,    ///< read the claim's key from the store
    run,          ///< check `may_send`, then send the request at once
    delete_claim, ///< delete the key if its value is still `value()`
    answer_not_run,
    answer_conflict, ///< 409 unknown: another request holds the key
    answer_unknown   ///< 503 unknown, with a ticket
};

struct claim_options {
    duration lease = std::chrono::minutes(15);
    /// Safety margin at the end of the lease, for clock drift and delivery
    /// time.
    duration margin = std::chrono::seconds(30);
};

/// Claim of an idempotency key in the store.
///
/// The calling code sends a create-if-absent with `value()` and the lease, and
/// passes the replies to `on`.
///
/// @code
/// key_claim claim(unique_value, now);
/// store.create(claim_key(account, key), claim.value(), lease, ...);
/// // then for each reply: switch (claim.on(event, now)) ...
/// @endcode
class key_claim {
public:
    /// @param value    unique among all claims: daemon, incarnation and a
    ///                 counter
    /// @param sent_at  a time not after the create was sent
    key_claim(std::string value, time_point sent_at,
              claim_options options = {});

    /// Handles an event and returns the next action. An event that is not
    /// expected in the current state is ignored.
    claim_action on(claim_event const& event, time_point now);

    std::string const& value() const { return value_; }

    /// Returns whether the claim is certain to hold until `run_deadline`.
    /// A daemon that was paused past the lease must not send.
    bool may_send(time_point now, time_point run_deadline) const;

private:
    enum class step : std::uint8_t {
        creating,
        reading,
        running,
        deleting,
        ended
    };

    claim_action on_create_reply(claim_event const& event, time_point now);
    claim_action on_read_reply(claim_event const& event, time_point now);
    claim_action run_or_give_up(time_point now);
    claim_action end_with(claim_action action);

    std::string value_;
    time_point holds_until_;
    step step_ = step::creating;
};

struct claim_rate_options {
    double fleet_claims_per_second = 150.0;
};

/// Token bucket for this daemon's equal share of the fleet's claim rate.
///
/// The bucket holds the tokens of one second, but at least one. It starts
/// empty, so that restarting daemons don't send bursts of claims.
class claim_rate {
public:
    claim_rate(std::size_t daemons, time_point now,
               claim_rate_options options = {});

    /// Sets the number of live daemons, as derived from the VM list and the
    /// membership.
    void set_daemons(std::size_t daemons, time_point now);

    /// Takes a token. Returns false if none is available.
    bool take(time_point now);

private:
    void refill(time_point now);

    claim_rate_options options_;
    double per_second_;
    double tokens_ = 0.0;
    time_point filled_at_;
};

} // namespace yuccabeam::retry
