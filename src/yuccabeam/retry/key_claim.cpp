#include "yuccabeam/retry/key_claim.hpp"

#include <algorithm>
#include <array>
#include <openssl/sha.h>
#include <utility>

namespace yuccabeam::retry {

std::string claim_key(account_id const& account, std::string_view key) {
    // The length prefix makes ("a", "bc") and ("ab", "c") differ.
    std::string input = std::to_string(account.value.size());
    input.append(":").append(account.value).append(key);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(input.data()), input.size(),
           digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out = "key/";
    for (auto const byte : digest) {
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

key_claim::key_claim(std::string value, time_point sent_at,
                     claim_options options)
    : value_(std::move(value)),
      holds_until_(sent_at + options.lease - options.margin) {}

bool key_claim::may_send(time_point now, time_point run_deadline) const {
    return step_ == step::running && now < holds_until_ &&
           run_deadline <= holds_until_;
}

claim_action key_claim::end_with(claim_action action) {
    step_ = step::ended;
    return action;
}

claim_action key_claim::run_or_give_up(time_point now) {
    if (now >= holds_until_)
        return end_with(claim_action::answer_unknown);
    step_ = step::running;
    return claim_action::run;
}

claim_action key_claim::on(claim_event const& event, time_point now) {
    switch (step_) {
    case step::creating:
        return on_create_reply(event, now);
    case step::reading:
        return on_read_reply(event, now);
    case step::running:
        if (auto const* ended = std::get_if<run_ended>(&event)) {
            if (!ended->not_run)
                return end_with(claim_action::none);
            step_ = step::deleting;
            return claim_action::delete_claim;
        }
        break;
    case step::deleting:
        if (std::holds_alternative<delete_confirmed>(event))
            return end_with(claim_action::answer_not_run);
        // The claim may still exist, and a retry by the caller would then get
        // a conflict.
        if (std::holds_alternative<delete_failed>(event))
            return end_with(claim_action::answer_unknown);
        break;
    case step::ended:
        break;
    }
    return claim_action::none;
}

claim_action key_claim::on_create_reply(claim_event const& event,
                                        time_point now) {
    if (std::holds_alternative<claim_created>(event))
        return run_or_give_up(now);
    if (std::holds_alternative<claim_refused>(event))
        return end_with(claim_action::answer_unknown);
    if (std::holds_alternative<claim_no_reply>(event)) {
        step_ = step::reading;
        return claim_action::read_back;
    }
    auto const* exists = std::get_if<claim_exists>(&event);
    if (!exists)
        return claim_action::none;
    // A store client that resends the create finds its own claim.
    if (exists->value == value_)
        return run_or_give_up(now);
    if (exists->value.empty()) {
        step_ = step::reading;
        return claim_action::read_back;
    }
    return end_with(claim_action::answer_conflict);
}

claim_action key_claim::on_read_reply(claim_event const& event,
                                      time_point now) {
    if (std::holds_alternative<read_failed>(event))
        return end_with(claim_action::answer_unknown);
    auto const* reply = std::get_if<read_reply>(&event);
    if (!reply)
        return claim_action::none;
    // The create may still be in transit to the store, so a second create
    // would not prove that only one request holds the key.
    if (!reply->value)
        return end_with(claim_action::answer_unknown);
    return *reply->value == value_ ? run_or_give_up(now)
                                   : end_with(claim_action::answer_conflict);
}

claim_rate::claim_rate(std::size_t daemons, time_point now,
                       claim_rate_options options)
    : options_(options), per_second_(0.0), filled_at_(now) {
    set_daemons(daemons, now);
}

void claim_rate::set_daemons(std::size_t daemons, time_point now) {
    refill(now);
    per_second_ = options_.fleet_claims_per_second /
                  static_cast<double>(std::max<std::size_t>(1, daemons));
    tokens_ = std::min(tokens_, std::max(1.0, per_second_));
}

void claim_rate::refill(time_point now) {
    if (now <= filled_at_)
        return;
    tokens_ = std::min(std::max(1.0, per_second_),
                       tokens_ + per_second_ * to_seconds(now - filled_at_));
    filled_at_ = now;
}

bool claim_rate::take(time_point now) {
    refill(now);
    // Rounding errors over many refills may leave a full token just below 1.
    constexpr double whole = 1.0 - 1e-9;
    if (tokens_ < whole)
        return false;
    tokens_ = std::max(0.0, tokens_ - 1.0);
    return true;
}

} // namespace yuccabeam::retry
