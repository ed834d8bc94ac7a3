#include "yuccabeam/gateway/store_availability.hpp"

#include <algorithm>

namespace yuccabeam::gateway {

namespace {

// An entry that was due to be written as an outage began expires two intervals
// later. The margin covers a last answer that is older than it seems.
constexpr double shortest_outage_intervals = 1.5;
// Without an outage a daemon may hear of no answer for this long, see the sum
// in decision 0011.
constexpr duration longest_time_between_answers =
    std::chrono::milliseconds(1'750);

} // namespace

duration shortest_outage(store_availability_options const& options) {
    return std::max(longest_time_between_answers,
                    from_seconds(to_seconds(options.target_heartbeat) *
                                 shortest_outage_intervals));
}

available_ages ages_of(available_period const& period, time_point now) {
    auto const age = [&](time_point at) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    };
    return {age(period.since), age(period.until)};
}

// Only the last answer must not seem younger: a first answer that seems late
// is replaced by that of a daemon which knows it better.
available_period period_of(available_ages const& ages, time_point received_at) {
    auto const until = time_of_event(ages.until, received_at);
    return {std::min(received_at - ages.since, until), until};
}

available_period merge(available_period const& a, available_period const& b,
                       duration shortest_outage) {
    auto const& earlier = a.until <= b.until ? a : b;
    auto const& later = a.until <= b.until ? b : a;
    if (later.since - earlier.until >= shortest_outage)
        return later;
    return {std::min(a.since, b.since), later.until};
}

void store_availability::on_period(available_period const& period) {
    period_ = period_ ? merge(*period_, period, shortest_outage_) : period;
}

std::optional<time_point>
store_availability::returned_at(time_point now) const {
    if (!period_)
        return restored_at_;
    auto const since =
        now - period_->until >= shortest_outage_ ? now : period_->since;
    return restored_at_ ? std::max(since, *restored_at_) : since;
}

} // namespace yuccabeam::gateway
