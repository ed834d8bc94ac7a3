#pragma once

#include "yuccabeam/placement/retry_budget.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace yuccabeam::placement {

/// What a daemon tells others of one service with its heartbeat.
struct budget_report {
    double requests = 0;     ///< in the last window
    double spare_credit = 0; ///< credit that it would grant

    bool operator==(budget_report const&) const = default;
};

/// Asks another daemon for credit.
struct credit_request {
    std::uint64_t number = 0;
    double amount = 0;

    bool operator==(credit_request const&) const = default;
};

/// The answer; `amount` is 0 where nothing could be spared.
struct credit_grant {
    std::uint64_t number = 0; ///< of the request
    double amount = 0;
    double spare_credit = 0; ///< what the grantor would still grant

    bool operator==(credit_grant const&) const = default;
};

/// A request that is due, and the daemon that gets it.
struct addressed_credit_request {
    daemon_id grantor;
    credit_request request;
};

/// A daemon's own budget for the repeats of a service, and the other daemons
/// that it may ask for credit.
///
/// Reports and grants only move credit to where it is needed; that the fleet
/// keeps its allowance doesn't rest on them.
class fleet_budget {
public:
    /// `self` decides whom this daemon asks first; `first_number` must differ
    /// between processes, so that no grant to an earlier one is taken.
    fleet_budget(retry_budget_options options, daemon_id self,
                 std::uint64_t first_number, time_point started,
                 first_credit first = first_credit::none);

    retry_budget& own() { return own_; }
    retry_budget const& own() const { return own_; }

    budget_report report(time_point now) const;
    void on_report(daemon_id const& peer, budget_report report, time_point now);
    /// Requests of the fleet in the last window, as far as peers told.
    double fleet_requests(time_point now) const;

    /// The next request for credit, when one is due.
    std::optional<addressed_credit_request> next_credit_request(time_point now);
    /// Answers a request of another daemon.
    credit_grant on_credit_request(credit_request const& request,
                                   time_point now);
    void on_grant(credit_grant const& grant, time_point now);

private:
    struct peer_report {
        budget_report report;
        time_point received_at;
    };

    struct pending_request {
        addressed_credit_request sent;
        time_point requested_at;
    };

    std::optional<daemon_id> next_grantor(time_point now) const;

    retry_budget_options options_;
    retry_budget own_;
    std::map<daemon_id, peer_report> reports_;
    daemon_id last_asked_;
    std::uint64_t next_number_;
    std::optional<pending_request> pending_;
};

} // namespace yuccabeam::placement
