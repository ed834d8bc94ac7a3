#pragma once

#include "yuccabeam/values/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

/// A daemon that may be the relay of its failure domain.
struct relay_candidate {
    std::string address; ///< datagram address, `IP:port`
    /// Processor share of its VM in percent of a core.
    std::uint32_t processor_percent = 0;

    bool operator==(relay_candidate const&) const = default;
};

/// Order in which daemons become relays, the same at all daemons: VMs with more
/// processor share first, then by a hash of the address.
bool is_better_relay(relay_candidate const& a, relay_candidate const& b);

struct relay_tree_options {
    /// A subscriber sends its changed loads at once, and an empty report after
    /// this time without one.
    duration renewal = std::chrono::milliseconds(400);
    /// A subscription ends after this time without a report.
    duration subscription = std::chrono::milliseconds(1'500);
    /// A relay that sends nothing for this time is replaced.
    duration silence_limit = std::chrono::milliseconds(600);
    /// Time for which a silent relay is not chosen again.
    duration avoidance = std::chrono::seconds(5);
    /// Interval between two searches for a better relay.
    duration selection_interval = std::chrono::milliseconds(500);
};

/// The relay of this daemon and the daemons whose relay it is.
///
/// Each daemon subscribes to the best relay that it considers alive. A relay
/// has only better daemons as its own relay, so subscriptions form trees
/// without cycles whatever the daemons know of each other; the daemon without a
/// relay is the root that sums and distributes the loads. A subscriber replaces
/// a silent relay by itself. A relay passes on hints only: no rule on requests
/// depends on it.
class relay_tree {
public:
    explicit relay_tree(relay_candidate self, relay_tree_options options = {});

    /// Chooses the relay among live daemons of this failure domain. Returns
    /// true if it has changed.
    bool select(std::vector<relay_candidate> const& live, time_point now);
    /// True if `select` is to be called.
    bool selection_due(time_point now) const;
    /// Leaves the relay, for a fleet that needs none.
    void leave();

    /// Address of the relay; empty while this daemon is a root.
    std::optional<std::string> const& relay() const { return relay_; }
    /// A message of a daemon was received.
    void on_heard(std::string const& address, time_point now);
    bool renewal_due(time_point now) const;
    void on_reported(time_point now) { reported_at_ = now; }

    void on_subscription(std::string const& address, time_point now);
    /// Addresses of the daemons whose relay this one is.
    std::vector<std::string> subscribers(time_point now) const;
    bool has_subscribers(time_point now) const;

private:
    bool silent(time_point now) const;

    relay_candidate self_;
    relay_tree_options options_;
    std::optional<std::string> relay_;
    time_point heard_at_{}; ///< from the relay, or when it was chosen
    time_point reported_at_{};
    time_point next_selection_{};
    std::map<std::string, time_point> avoided_until_;
    std::map<std::string, time_point> subscribed_until_;
};

} // namespace yuccabeam::gateway
