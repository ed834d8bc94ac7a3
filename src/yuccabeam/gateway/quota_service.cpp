#include "yuccabeam/gateway/quota_service.hpp"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace yuccabeam::gateway {

namespace {

// Interval between two choices of the pools while nothing fails.
constexpr duration choice_period = std::chrono::milliseconds(500);
// After a pause, messages of unknown age are read for about this long.
constexpr duration backlog_time = std::chrono::milliseconds(100);

std::uint64_t rank_of(std::string const& address, std::size_t slot) {
    return XXH3_64bits_withSeed(address.data(), address.size(), slot + 1);
}

} // namespace

std::size_t quota_slot_of(account_id const& account) {
    return XXH3_64bits(account.value.data(), account.value.size()) %
           limits::quota_slots;
}

quota_service::quota_service(quota_service_options options,
                             quota_callbacks callbacks, time_point started)
    : options_(std::move(options)), callbacks_(std::move(callbacks)),
      pool_(options_.quota), lender_(options_.quota, options_.incarnation,
                                     started, options_.new_fleet),
      last_run_(started), next_number_(options_.incarnation) {}

// Returns false while messages may be read that arrived during a pause.
bool quota_service::is_running(time_point now) {
    auto const last = std::exchange(last_run_, now);
    if (now - last > options_.longest_pause) {
        pool_.forget_loans();
        ignore_loans_until_ = now + backlog_time;
    }
    return now >= ignore_loans_until_;
}

// --- the choice of the pools -------------------------------------------------

bool quota_service::is_usable(std::string const& address,
                              time_point now) const {
    auto const found = pools_.find(address);
    return found == pools_.end() ||
           (!found->second.silent && now >= found->second.avoided_until);
}

void quota_service::choose_pools(time_point now) {
    next_choice_ = now + choice_period;
    auto candidates = callbacks_.candidates(now);
    if (!released_)
        candidates.push_back({options_.address, options_.processor_percent});
    std::ranges::sort(candidates, is_better_relay);
    possible_.clear();
    add_possible(candidates);
    std::erase_if(candidates, [&](auto const& candidate) {
        return !is_usable(candidate.address, now);
    });
    candidates.resize(std::min(options_.pools, candidates.size()));
    add_possible(candidates);
    for (std::size_t slot = 0; slot < chosen_.size(); ++slot) {
        auto const best = std::ranges::max_element(
            candidates, {}, [&](auto const& candidate) {
                return rank_of(candidate.address, slot);
            });
        chosen_[slot] =
            best == candidates.end() ? std::string() : best->address;
    }
}

void quota_service::add_possible(
    std::vector<relay_candidate> const& candidates) {
    auto const count = std::min(options_.pools, candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        if (std::ranges::find(possible_, candidates[i].address) ==
            possible_.end())
            possible_.push_back(candidates[i].address);
}

// First the pool of this daemon's choice. It may hold few shares if the others
// have chosen another one, so the next questions go to the others in turn.
std::string quota_service::pool_to_ask(waiting_request const& request) const {
    if (request.asked == 0 || possible_.empty())
        return chosen_[request.slot];
    auto ranked = possible_;
    std::ranges::sort(ranked, std::greater<>(), [&](std::string const& pool) {
        return rank_of(pool, request.slot);
    });
    return ranked[(request.asked - 1) % ranked.size()];
}

limits::slot_set quota_service::slots_of(std::string const& address) const {
    limits::slot_set out = 0;
    for (std::size_t slot = 0; slot < chosen_.size(); ++slot)
        if (chosen_[slot] == address)
            out |= limits::slot_bit(slot);
    return out;
}

void quota_service::check_silence(time_point now) {
    for (auto& [address, pool] : pools_) {
        if (pool.silent || pool.unanswered < options_.silent_after ||
            now - pool.first_unanswered < options_.silence)
            continue;
        pool.silent = true;
        pool.avoided_until = now + options_.avoidance;
        ++counters_.silent_pools;
        next_choice_ = now;
    }
}

void quota_service::forget_unanswered() {
    for (auto& [address, pool] : pools_)
        pool.unanswered = 0;
}

void quota_service::on_heard(std::string const& address, time_point now) {
    auto const found = pools_.find(address);
    if (found != pools_.end() && now >= found->second.avoided_until)
        found->second = {.last_sent = found->second.last_sent};
}

// --- loans -------------------------------------------------------------------

void quota_service::send(std::string const& pool, std::uint64_t number,
                         account_id const& account, time_point now) {
    auto& state = pools_[pool];
    state.last_sent = now;
    if (state.unanswered == 0)
        state.first_unanswered = now;
    if (state.unanswered == 0 || now - state.counted_at >= options_.resend) {
        ++state.unanswered;
        state.counted_at = now;
    }
    callbacks_.send(
        quota_request_message{{options_.address},
                              number,
                              lender_.lend({pool}, slots_of(pool), now),
                              account},
        pool);
}

void quota_service::renew_loans(time_point now) {
    std::set<std::string> const chosen(chosen_.begin(), chosen_.end());
    for (auto const& address : chosen) {
        if (address.empty())
            continue;
        auto& state = pools_[address];
        auto const period =
            state.unanswered > 0 ? options_.resend : options_.renewal;
        if (now - state.last_sent < period)
            continue;
        if (address != options_.address) {
            send(address, 0, {}, now);
            continue;
        }
        state.last_sent = now;
        pool_.on_loan({address},
                      lender_.lend({address}, slots_of(address), now), now);
    }
}

void quota_service::handle(quota_release_message const& message,
                           time_point now) {
    lender_.on_released(message.sender, now);
    auto& state = pools_[message.sender.value];
    state.avoided_until = now + options_.avoidance;
    next_choice_ = now;
}

void quota_service::release(time_point now) {
    released_ = true;
    pool_.forget_loans();
    for (auto const& lender : lenders_)
        callbacks_.send(quota_release_message{{options_.address}}, lender);
    lender_.on_released({options_.address}, now);
    next_choice_ = now;
}

double quota_service::shares(time_point now) {
    double out = 0;
    for (std::size_t slot = 0; slot < limits::quota_slots; ++slot)
        out += pool_.shares(slot, now);
    return out;
}

// --- tokens ------------------------------------------------------------------

std::uint64_t quota_service::acquire(account_id const& account, time_point now,
                                     handler handler) {
    auto const number = next_number_++;
    auto const limit = callbacks_.quota_of(account);
    if (!limit || limit->rate <= 0) {
        handler(quota_result::granted, {});
        return number;
    }
    if (now >= next_choice_)
        choose_pools(now);
    auto& request = waiting_[number];
    request.account = account;
    request.slot = quota_slot_of(account);
    request.since = now;
    request.handler = std::move(handler);
    ask(number, request, now);
    return number;
}

void quota_service::ask(std::uint64_t number, waiting_request& request,
                        time_point now) {
    auto const pool = pool_to_ask(request);
    ++request.asked;
    auto const pause =
        std::min(options_.resend * request.asked, options_.longest_resend);
    request.next_send =
        std::min(now + pause, request.since + options_.max_wait);
    if (pool.empty())
        return;
    if (pool != options_.address) {
        send(pool, number, request.account, now);
        return;
    }
    auto const decision = decide(request.account, now);
    if (decision.granted)
        conclude(number, quota_result::granted, {});
    else if (decision.decided)
        conclude(number, quota_result::exceeded, decision.retry_after);
}

limits::quota_decision quota_service::decide(account_id const& account,
                                             time_point now) {
    auto const limit = callbacks_.quota_of(account);
    if (released_ || !limit)
        return {false, false, {}};
    // The asker's configuration may name a quota that this one doesn't.
    if (limit->rate <= 0)
        return {true, true, {}};
    return pool_.take(account, quota_slot_of(account), *limit, now);
}

void quota_service::conclude(std::uint64_t number, quota_result result,
                             duration retry_after) {
    auto const found = waiting_.find(number);
    if (found == waiting_.end())
        return;
    auto const handler = std::move(found->second.handler);
    waiting_.erase(found);
    switch (result) {
    case quota_result::granted:
        ++counters_.granted;
        break;
    case quota_result::exceeded:
        ++counters_.exceeded;
        break;
    case quota_result::undecided:
        ++counters_.undecided;
        break;
    }
    handler(result, retry_after);
}

void quota_service::handle(quota_request_message const& message,
                           time_point now) {
    if (is_running(now) && !released_) {
        pool_.on_loan(message.sender, message.loan, now);
        lenders_.insert(message.sender.value);
    }
    quota_grant_message out;
    out.sender = {options_.address};
    out.number = message.number;
    if (!message.account.empty()) {
        auto const decision = decide(message.account, now);
        out.granted = decision.granted;
        out.decided = decision.decided;
        out.retry_after =
            std::chrono::ceil<std::chrono::milliseconds>(decision.retry_after);
    }
    callbacks_.send(out, message.sender.value);
}

void quota_service::handle(quota_grant_message const& message, time_point now) {
    auto& pool = pools_[message.sender.value];
    pool.unanswered = 0;
    if (now >= pool.avoided_until)
        pool.silent = false;
    if (message.granted)
        conclude(message.number, quota_result::granted, {});
    else if (message.decided)
        conclude(message.number, quota_result::exceeded, message.retry_after);
}

void quota_service::tick(time_point now) {
    is_running(now);
    if (now - std::exchange(last_tick_, now) > options_.longest_tick)
        forget_unanswered();
    // A request may still wait when a configuration removes the last quota.
    if (!active_ && waiting_.empty())
        return;
    check_silence(now);
    if (now >= next_choice_)
        choose_pools(now);
    renew_loans(now);
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, request] : waiting_)
        if (now >= request.next_send)
            numbers.push_back(number);
    for (auto const number : numbers) {
        auto const found = waiting_.find(number);
        if (found == waiting_.end())
            continue;
        if (now - found->second.since >= options_.max_wait) {
            conclude(number, quota_result::undecided, {});
            continue;
        }
        ++counters_.resent;
        ask(number, found->second, now);
    }
}

} // namespace yuccabeam::gateway
