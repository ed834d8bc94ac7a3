#include "yuccabeam/membership/update_queue.hpp"

namespace yuccabeam::membership {

namespace {

// Array headers, the incarnation (9), the counter (5), status, readiness and
// one spare byte for each of five string headers.
constexpr std::size_t fixed_bytes = 32;

} // namespace

std::size_t encoded_size(member const& update) {
    return fixed_bytes + update.id.value.size() +
           update.info.failure_domain.value.size() +
           update.info.udp_address.size() + update.info.http_address.size() +
           update.reporter.value.size();
}

void update_queue::push(member update) {
    auto const found = entries_.find(update.id);
    if (found != entries_.end())
        by_place_.erase(found->second.place);
    key const place{0, next_age_--};
    by_place_.emplace(place, update.id);
    daemon_id const id = update.id;
    entries_[id] = {place, std::move(update)};
}

void update_queue::count_transmission(daemon_id const& id,
                                      std::uint32_t transmissions) {
    auto const found = entries_.find(id);
    by_place_.erase(found->second.place);
    if (++found->second.place.sent >= transmissions)
        entries_.erase(found);
    else
        by_place_.emplace(found->second.place, id);
}

std::vector<member> update_queue::take(std::size_t bytes,
                                       std::uint32_t transmissions,
                                       daemon_id const& first) {
    std::vector<member> out;
    auto const consider = [&](entry const& candidate) {
        std::size_t const size = encoded_size(candidate.update);
        if (size > bytes)
            return false;
        bytes -= size;
        out.push_back(candidate.update);
        return true;
    };
    auto const about_receiver = entries_.find(first);
    if (about_receiver != entries_.end())
        consider(about_receiver->second);
    for (auto const& [place, id] : by_place_)
        if (id != first && !consider(entries_.at(id)))
            break;
    for (auto const& update : out)
        count_transmission(update.id, transmissions);
    return out;
}

} // namespace yuccabeam::membership
