#include "yuccabeam/gateway/waiting_room.hpp"

#include <iterator>
#include <utility>

namespace yuccabeam::gateway {

std::optional<waiting_request> waiting_room::add(waiting_request request) {
    if (waiting_.size() >= options_.most_requests)
        return request;
    waiting_.push_back(std::move(request));
    return std::nullopt;
}

std::vector<waiting_request> waiting_room::take_all() {
    std::vector<waiting_request> out(std::make_move_iterator(waiting_.begin()),
                                     std::make_move_iterator(waiting_.end()));
    waiting_.clear();
    return out;
}

std::vector<waiting_request> waiting_room::take_expired(time_point now) {
    std::vector<waiting_request> out;
    while (!waiting_.empty() &&
           now - waiting_.front().since >= options_.longest_wait) {
        out.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    return out;
}

} // namespace yuccabeam::gateway
