#pragma once

#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/gateway/relay_tree.hpp"
#include "yuccabeam/limits/quota_lender.hpp"
#include "yuccabeam/limits/quota_pool.hpp"
#include "yuccabeam/values/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

struct quota_service_options {
    std::string address; ///< of this daemon's datagram socket, `IP:port`
    yuccabeam::incarnation incarnation = 0;
    /// Processor share of this VM in percent of a core.
    std::uint32_t processor_percent = 0;
    bool new_fleet = false;
    limits::quota_options quota;
    /// Daemons that are pools at the same time, in the view of one daemon.
    std::size_t pools = 4;
    duration renewal = std::chrono::milliseconds(300); ///< of a loan
    /// A request without an answer is sent again after this time.
    duration resend = std::chrono::milliseconds(60);
    /// A request that no pool has decided is refused after this time. After a
    /// restart of the whole fleet the pools get loans after `loan_hold`; a
    /// refusal before that would lose requests within their quotas.
    duration max_wait = std::chrono::milliseconds(1'300);
    /// Longest time between two questions of a request, which grows by `resend`
    /// with each.
    duration longest_resend = std::chrono::milliseconds(180);
    /// A pool is silent after this many messages without an answer, each sent
    /// `resend` after the one before or later, the first of them at least
    /// `silence` ago.
    unsigned silent_after = 3;
    duration silence = std::chrono::milliseconds(300);
    /// After a longer pause, answers may wait in this process's own socket.
    duration longest_tick = std::chrono::milliseconds(120);
    /// A silent pool isn't chosen for this time, nor before it is heard again.
    duration avoidance = std::chrono::seconds(3);
    /// Longer pauses of this process make the age of its loans unknown.
    duration longest_pause = std::chrono::milliseconds(250);
};

enum class quota_result : std::uint8_t {
    granted,
    exceeded, ///< a pool has said that the quota is used up
    undecided ///< no pool could say
};

struct quota_callbacks {
    std::function<void(peer_message const&, std::string const& address)> send;
    /// The live daemons of the fleet but this one.
    std::function<std::vector<relay_candidate>(time_point)> candidates;
    /// The quota of an account in the configuration in force. Empty if the
    /// account isn't known, with rate 0 if it has none.
    std::function<std::optional<limits::quota>(account_id const&)> quota_of;
};

struct quota_counters {
    std::uint64_t granted = 0;
    std::uint64_t exceeded = 0;
    std::uint64_t undecided = 0;
    std::uint64_t resent = 0;
    std::uint64_t silent_pools = 0;
};

/// Slot of an account's quota, the same at all daemons.
std::size_t quota_slot_of(account_id const& account);

/// Enforces the quotas of client accounts over the fleet: lends this daemon's
/// shares to the pools, asks them for tokens, and is a pool itself when others
/// choose it. No sockets and no clock; see docs/design/quota.md.
class quota_service {
public:
    using handler = std::function<void(quota_result, duration retry_after)>;

    quota_service(quota_service_options options, quota_callbacks callbacks,
                  time_point started);

    /// Some account has a quota; without one nothing is sent.
    void set_active(bool active) { active_ = active; }
    /// Number of daemons of the fleet, this one included.
    void on_fleet_size(std::size_t daemons) { lender_.on_fleet_size(daemons); }

    /// Asks for one request of an account. The handler runs once, possibly
    /// within this call, unless the request is cancelled. Returns its number.
    std::uint64_t acquire(account_id const& account, time_point now,
                          handler handler);
    void cancel(std::uint64_t number) { waiting_.erase(number); }

    /// Sends what is due and ends what has waited too long.
    void tick(time_point now);

    void handle(quota_request_message const& message, time_point now);
    void handle(quota_grant_message const& message, time_point now);
    void handle(quota_release_message const& message, time_point now);
    /// Any other message of a daemon was received.
    void on_heard(std::string const& address, time_point now);

    /// Grants nothing from now on and tells the lenders so.
    void release(time_point now);

    std::size_t waiting() const { return waiting_.size(); }
    /// Shares that are lent to this daemon, as the sum over all slots.
    double shares(time_point now);
    quota_counters const& counters() const { return counters_; }

private:
    struct waiting_request {
        account_id account;
        std::size_t slot = 0;
        time_point since{};
        time_point next_send{};
        unsigned asked = 0;
        quota_service::handler handler;
    };
    struct pool_state {
        unsigned unanswered = 0;
        time_point first_unanswered{};
        time_point counted_at{};
        time_point last_sent{};
        time_point avoided_until{};
        bool silent = false;
    };

    bool is_running(time_point now);
    void choose_pools(time_point now);
    void add_possible(std::vector<relay_candidate> const& candidates);
    bool is_usable(std::string const& address, time_point now) const;
    limits::slot_set slots_of(std::string const& address) const;
    void send(std::string const& pool, std::uint64_t number,
              account_id const& account, time_point now);
    void renew_loans(time_point now);
    void check_silence(time_point now);
    void forget_unanswered();
    std::string pool_to_ask(waiting_request const& request) const;
    void ask(std::uint64_t number, waiting_request& request, time_point now);
    limits::quota_decision decide(account_id const& account, time_point now);
    void conclude(std::uint64_t number, quota_result result,
                  duration retry_after);

    quota_service_options options_;
    quota_callbacks callbacks_;
    limits::quota_pool pool_;
    limits::quota_lender lender_;
    bool active_ = false;
    bool released_ = false;
    std::set<std::string> lenders_;
    std::array<std::string, limits::quota_slots> chosen_;
    /// The pools that this daemon would choose, silent ones included, and those
    /// that it chooses: others may have chosen any of them.
    std::vector<std::string> possible_;
    time_point last_tick_{};
    std::map<std::string, pool_state> pools_;
    time_point next_choice_{};
    time_point last_run_{};
    time_point ignore_loans_until_{};
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, waiting_request> waiting_;
    quota_counters counters_;
};

} // namespace yuccabeam::gateway
