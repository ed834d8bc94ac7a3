#include "yuccabeam/daemon/request_log.hpp"

#include <algorithm>

namespace yuccabeam::daemon {

void request_log::add(logged_request request) {
    std::lock_guard lock(mutex_);
    if (ring_.size() < capacity_) {
        ring_.push_back(std::move(request));
        return;
    }
    ring_[next_] = std::move(request);
    next_ = (next_ + 1) % capacity_;
}

std::optional<logged_request> request_log::find(std::string const& id) const {
    std::lock_guard lock(mutex_);
    auto const found = std::find_if(
        ring_.begin(), ring_.end(),
        [&](logged_request const& request) { return request.id == id; });
    if (found == ring_.end())
        return std::nullopt;
    return *found;
}

} // namespace yuccabeam::daemon
