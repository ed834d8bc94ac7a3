#include "yuccabeam/gateway/message_history.hpp"

#include <xxhash.h>

namespace yuccabeam::gateway {

bool message_history::add(daemon_id const& sender, std::uint64_t number) {
    key const one{XXH3_64bits(sender.value.data(), sender.value.size()),
                  number};
    if (!known_.insert(one).second)
        return false;
    order_.push_back(one);
    if (order_.size() > capacity_) {
        known_.erase(order_.front());
        order_.pop_front();
    }
    return true;
}

} // namespace yuccabeam::gateway
