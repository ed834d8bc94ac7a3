#pragma once

#include "yuccabeam/placement/retry_budget.hpp"
#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace yuccabeam::placement {

/// Retry budget state of one service that a daemon sends with its heartbeat.
struct budget_report {
    double requests = 0;     ///< in the last window
    double spare_credit = 0; ///< credit that the daemon would grant

    bool operator==(budget_report const&) const = default;
};

/// Request to another daemon for credit.
struct credit_request {
    std::uint64_t number = 0;
    double amount = 0;

    bool operator==(credit_request const&) const = default;
};

/// Reply to a credit request; `amount` is 0 if the daemon has no spare credit.
struct credit_grant {
    std::uint64_t number = 0; ///< of the credit request
    double amount = 0;
    double spare_credit = 0; ///< left at the grantor after the grant

    bool operator==(credit_grant const&) const = default;
};

/// A credit request that is due and the daemon to send it to.
struct addressed_credit_request {
    daemon_id grantor;
    credit_request request;
};

/// The retry budget of one daemon for one service, and the state of the peers
/// from which it can request credit.
///
/// Grants only move credit to where it is needed, and reports serve to find
/// grantors and to sum the requests of the fleet; the limit for the whole fleet
/// holds without them.
class fleet_budget {
public:
    /// `self` determines the first peer that this daemon requests credit from.
    /// `first_number` must differ between processes, so that a grant to an
    /// earlier process is not accepted.
    fleet_budget(retry_budget_options options, daemon_id self,
                 std::uint64_t first_number, time_point started,
                 initial_credit first = initial_credit::none);

    retry_budget& own() { return own_; }
    retry_budget const& own() const { return own_; }

    budget_report report(time_point now) const;
    void on_report(daemon_id const& peer, budget_report report, time_point now);
    /// Requests of a fleet of `daemons` in the last window: those of this
    /// daemon and in the recent reports of its peers, scaled up if not all
    /// peers have reported recently.
    double fleet_requests(std::size_t daemons, time_point now) const;

    /// The next credit request, if one is due.
    std::optional<addressed_credit_request> next_credit_request(time_point now);
    /// Handles the credit request of another daemon.
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
    time_point next_cleanup_{};
};

} // namespace yuccabeam::placement
