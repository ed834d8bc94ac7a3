// Loads and notices between daemons: directly in a small fleet, through relays
// in a large one.
#include "yuccabeam/gateway/peer_link.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::gateway {

namespace {

// Minimum interval between two activity messages, per receiving daemon. More
// frequent messages would use up the CPU of a small VM.
constexpr duration activity_period_per_peer = std::chrono::microseconds(500);
// Approximate interval at which a failure domain reports its activity to the
// others. Its daemons share the work: each sends at a multiple of the interval.
constexpr duration domain_activity_period = std::chrono::milliseconds(100);

// Interval at which a relay reports its domain's activity to other relays.
constexpr duration relay_activity_period = std::chrono::milliseconds(500);
// Minimum interval between two distributions of a relay, per subscriber, and
// the smallest one.
constexpr duration distribution_period_per_subscriber =
    std::chrono::microseconds(700);
constexpr duration shortest_distribution_period = std::chrono::milliseconds(10);
// Maximum interval between two messages of a relay to its subscribers. It shows
// them that the relay works.
constexpr duration longest_distribution_pause = std::chrono::milliseconds(150);
// Minimum interval between two reports to a relay.
constexpr duration load_report_period = std::chrono::milliseconds(5);
// A load that was not reported for this time is repeated, as reports get lost.
constexpr duration load_refresh_age = std::chrono::seconds(1);
// A relay of another failure domain is used for this time after its last
// message.
constexpr duration relay_memory = std::chrono::seconds(2);
// About as many as fit into a datagram.
constexpr std::size_t max_loads_per_message = 85;
constexpr std::size_t max_notices_per_message = 25;

} // namespace

// --- directly ----------------------------------------------------------------

void peer_link::report_activity(placement::target_activity const& activity,
                                time_point now) {
    if (table_.uses_relays())
        send_loads(now);
    else
        report_directly(activity, now);
}

void peer_link::report_directly(placement::target_activity const& activity,
                                time_point now) {
    activity_[activity.target] = activity;
    if (now >= next_activity_)
        send_activity(now);
}

void peer_link::send_activity(time_point now) {
    activity_message message{{options_.address}, {}};
    for (auto at = activity_.begin();
         at != activity_.end() &&
         message.targets.size() < max_activities_per_message;
         at = activity_.erase(at))
        message.targets.push_back(at->second);
    auto const peers = table_.live_same_domain_addresses(now);
    next_activity_ =
        now + activity_period_per_peer * static_cast<int>(peers.size());
    send(message, peers);
}

void peer_link::send_domain_activity(time_point now) {
    auto const peers = table_.live_same_domain_addresses(now).size();
    next_domain_activity_ =
        now + domain_activity_period * static_cast<int>(peers + 1);
    ++domain_activity_round_;
    std::vector<std::string> receivers;
    for (auto const& [domain, addresses] : table_.other_domain_addresses(now))
        receivers.push_back(
            addresses[domain_activity_round_ % addresses.size()]);
    auto loads = targets_.domain_activity(now);
    loads.resize(std::min(loads.size(), max_activities_per_message));
    send(domain_activity_message{{options_.address},
                                 options_.failure_domain,
                                 true,
                                 std::move(loads)},
         receivers);
}

void peer_link::handle(activity_message const& message, time_point now) {
    for (auto const& activity : message.targets)
        targets_.on_peer_activity(message.sender, activity, now);
}

// --- relays ------------------------------------------------------------------

void peer_link::select_relay(time_point now) {
    if (!table_.uses_relays()) {
        relays_.leave();
        return;
    }
    if (!relays_.selection_due(now))
        return;
    if (relays_.select(table_.relay_candidates(now), now))
        targets_.mark_loads_in_use(now, {});
}

std::vector<std::string> peer_link::other_relays(time_point now) const {
    auto relays = table_.other_domain_relays(now);
    for (auto const& [domain, known] : other_relays_)
        if (now - known.heard_at < relay_memory)
            relays[domain] = known.address;
    std::vector<std::string> out;
    out.reserve(relays.size());
    for (auto& [domain, address] : relays)
        out.push_back(std::move(address));
    return out;
}

// Sends what is due of this daemon's loads, and of its subscribers'.
void peer_link::send_loads(time_point now) {
    if (!table_.uses_relays()) {
        if (!activity_.empty() && now >= next_activity_)
            send_activity(now);
        if (now >= next_domain_activity_)
            send_domain_activity(now);
        return;
    }
    if (now >= next_load_refresh_) {
        next_load_refresh_ = now + load_refresh_age;
        targets_.mark_loads_in_use(now, load_refresh_age);
    }
    if (is_root() && now >= next_domain_activity_)
        send_domain_activity_to_relays(now);
    if (is_root())
        distribute(now);
    else
        report_to_relay(now);
    if (now - distributed_at_ >= longest_distribution_pause)
        distribute(domain_load_message{{options_.address}, {}}, now);
}

void peer_link::report_to_relay(time_point now) {
    if (now < next_load_report_ ||
        !(targets_.has_changed_loads() || relays_.renewal_due(now)))
        return;
    next_load_report_ = now + load_report_period;
    relays_.on_reported(now);
    send(load_report_message{{options_.address},
                             targets_.take_changed_loads(max_loads_per_message,
                                                         now)},
         *relays_.relay());
}

void peer_link::distribute(time_point now) {
    if (now < next_distribution_ ||
        !(targets_.has_changed_loads() || !undistributed_notices_.empty()))
        return;
    auto const subscribers = relays_.subscribers(now).size();
    next_distribution_ = now + std::max(shortest_distribution_period,
                                        distribution_period_per_subscriber *
                                            static_cast<int>(subscribers));
    if (targets_.has_changed_loads())
        distribute(domain_load_message{{options_.address},
                                       targets_.take_changed_loads(
                                           max_loads_per_message, now)},
                   now);
    auto const count =
        std::min(undistributed_notices_.size(), max_notices_per_message);
    if (count == 0)
        return;
    auto const end =
        undistributed_notices_.begin() + static_cast<std::ptrdiff_t>(count);
    distribute(target_notice_message{{options_.address},
                                     next_notice_number_++,
                                     reach::receiver,
                                     {undistributed_notices_.begin(), end}},
               now);
    undistributed_notices_.erase(undistributed_notices_.begin(), end);
}

void peer_link::distribute(peer_message const& message, time_point now) {
    distributed_at_ = now;
    send(message, relays_.subscribers(now));
}

void peer_link::send_domain_activity_to_relays(time_point now) {
    next_domain_activity_ = now + relay_activity_period;
    auto loads = targets_.domain_activity(now);
    loads.resize(std::min(loads.size(), max_activities_per_message));
    send(domain_activity_message{{options_.address},
                                 options_.failure_domain,
                                 true,
                                 std::move(loads)},
         other_relays(now));
}

void peer_link::handle(load_report_message const& message, time_point now) {
    relays_.on_subscription(message.sender.value, now);
    targets_.on_subscriber_loads(message.sender, message.loads, now);
    send_loads(now);
}

void peer_link::handle(domain_load_message const& message, time_point now) {
    relays_.on_heard(message.sender.value, now);
    targets_.on_relayed_loads(message.loads, now);
    if (relays_.relay() == message.sender.value)
        distribute(domain_load_message{{options_.address}, message.loads}, now);
}

void peer_link::handle(domain_activity_message const& message, time_point now) {
    if (message.failure_domain == options_.failure_domain)
        return;
    targets_.on_domain_activity(message.failure_domain, message.targets, now);
    auto forwarded = message;
    forwarded.forward = false;
    if (!table_.uses_relays()) {
        if (message.forward)
            send(forwarded, table_.live_same_domain_addresses(now));
        return;
    }
    if (message.forward)
        other_relays_[message.failure_domain] = {message.sender.value, now};
    if (message.forward && !is_root()) {
        send(message, *relays_.relay());
        return;
    }
    forwarded.sender = {options_.address};
    distribute(forwarded, now);
}

// --- notices -----------------------------------------------------------------

void peer_link::broadcast(placement::target_notice const& notice,
                          time_point now) {
    target_notice_message message{
        {options_.address}, next_notice_number_++, reach::receiver, {notice}};
    if (!table_.uses_relays()) {
        send(message, table_.addresses());
        return;
    }
    message.reach = reach::fleet;
    // Also to daemons that have sent no heartbeat yet: after a start of the
    // whole fleet each failure is news to all.
    send(message, table_.same_domain_addresses());
    if (!is_root())
        return;
    message.reach = reach::domain;
    send(message, other_relays(now));
}

void peer_link::handle(target_notice_message const& message, time_point now) {
    if (message.reach == reach::domain && !is_root()) {
        send(message, *relays_.relay());
        return;
    }
    if (!notices_seen_.add(message.sender, message.number))
        return;
    for (auto const& notice : message.notices)
        targets_.on_peer_notice(notice, now);
    if (message.reach == reach::domain) {
        undistributed_notices_.insert(undistributed_notices_.end(),
                                      message.notices.begin(),
                                      message.notices.end());
        send_loads(now);
    } else if (message.reach == reach::fleet) {
        if (!is_root())
            return;
        auto passed_on = message;
        passed_on.reach = reach::domain;
        send(passed_on, other_relays(now));
    } else if (relays_.relay() == message.sender.value) {
        auto passed_on = message;
        passed_on.sender = {options_.address};
        passed_on.number = next_notice_number_++;
        distribute(passed_on, now);
    }
}

} // namespace yuccabeam::gateway
