#include "yuccabeam/gateway/pending_requests.hpp"

#include <iterator>
#include <utility>

namespace yuccabeam::gateway {

std::optional<pending_request> pending_requests::add(pending_request request) {
    if (waiting_.size() >= options_.max_requests)
        return request;
    waiting_.push_back(std::move(request));
    return std::nullopt;
}

std::vector<pending_request> pending_requests::take_all() {
    std::vector<pending_request> out(std::make_move_iterator(waiting_.begin()),
                                     std::make_move_iterator(waiting_.end()));
    waiting_.clear();
    return out;
}

std::vector<pending_request>
pending_requests::take_expired(time_point now, bool store_reachable) {
    auto const limit =
        store_reachable ? options_.max_wait : options_.max_wait_unreachable;
    std::vector<pending_request> out;
    while (!waiting_.empty() && now - waiting_.front().since >= limit) {
        out.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    return out;
}

} // namespace yuccabeam::gateway
