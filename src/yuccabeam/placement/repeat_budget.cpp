#include "yuccabeam/placement/repeat_budget.hpp"

#include <algorithm>

namespace yuccabeam::placement {

namespace {

// Counts of a peer that has been silent for this long are left out.
constexpr duration peer_counts_age = std::chrono::seconds(7);

std::size_t count_since(std::deque<time_point> const& times,
                        time_point oldest) {
    return static_cast<std::size_t>(times.end() -
                                    std::ranges::lower_bound(times, oldest));
}

void add(std::deque<time_point>& times, time_point now, duration window) {
    while (!times.empty() && times.front() < now - window)
        times.pop_front();
    times.push_back(std::max(now, times.empty() ? now : times.back()));
}

} // namespace

repeat_budget::repeat_budget(repeat_budget_options options)
    : options_(options) {}

void repeat_budget::on_request(time_point now) {
    add(requests_, now, options_.window);
}

void repeat_budget::on_repeat(time_point now) {
    add(repeats_, now, options_.window);
}

void repeat_budget::on_peer_repeat(time_point now) {
    add(peer_repeats_, now, options_.window);
}

void repeat_budget::on_peer(daemon_id const& peer, repeat_counts counts,
                            time_point now) {
    peers_[peer] = {counts, now};
    std::erase_if(peers_, [&](auto const& entry) {
        return entry.second.heard < now - options_.window;
    });
}

repeat_counts repeat_budget::own(time_point now) const {
    auto const oldest = now - options_.window;
    return {static_cast<double>(count_since(requests_, oldest)),
            static_cast<double>(count_since(repeats_, oldest))};
}

double repeat_budget::fleet_repeats(time_point now) const {
    double told = 0;
    for (auto const& [peer, entry] : peers_)
        told += entry.counts.repeats;
    // Single notices come at once but may be lost; heartbeats come late.
    auto const noticed =
        static_cast<double>(count_since(peer_repeats_, now - options_.window));
    double const before = has_history(now) ? history_.counts.repeats : 0;
    return before + own(now).repeats + std::max(told, noticed);
}

bool repeat_budget::has_history(time_point now) const {
    return history_.counts.repeats > 0 &&
           now - history_.heard < options_.window;
}

void repeat_budget::on_history(repeat_counts counts, time_point now) {
    history_ = {counts, now};
}

// The requests of a window or of the one before it count, whichever are more.
double repeat_budget::allowance(time_point now) const {
    double const before = has_history(now) ? history_.counts.requests : 0;
    return options_.ratio * std::max(fleet_requests(now), before) +
           options_.fleet_slack;
}

std::optional<repeat_counts> repeat_budget::take_note(time_point now) {
    double const repeats = fleet_repeats(now);
    // A note lasts for a window; what it said then counts no more.
    if (now - noted_at_ >= options_.window)
        noted_repeats_ = 0;
    if (now - noted_at_ < options_.note_pause ||
        repeats - noted_repeats_ < options_.note_share * allowance(now))
        return std::nullopt;
    noted_repeats_ = repeats;
    noted_at_ = now;
    return repeat_counts{fleet_requests(now), repeats};
}

double repeat_budget::fleet_requests(time_point now) const {
    double requests = own(now).requests;
    for (auto const& [peer, entry] : peers_)
        if (entry.heard >= now - peer_counts_age)
            requests += entry.counts.requests;
    return requests;
}

bool repeat_budget::allows(time_point now, std::size_t fleet_size,
                           std::size_t peers_heard) const {
    auto const mine = own(now);
    auto const size = static_cast<double>(std::max<std::size_t>(fleet_size, 1));
    double const own_share =
        options_.ratio * mine.requests + options_.fleet_slack / size;
    bool const most_heard = (peers_heard + 1) * 4 >= fleet_size * 3;
    if (!most_heard)
        return mine.repeats + 1 <= options_.used_share * own_share;
    return fleet_repeats(now) + 1 <= options_.used_share * allowance(now) &&
           mine.repeats + 1 <= own_share + options_.own_burst;
}

} // namespace yuccabeam::placement
