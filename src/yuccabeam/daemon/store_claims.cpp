#include "store_claims.hpp"

namespace yuccabeam::daemon {

using config::write_outcome;

retry::claim_event store_claims::create(std::string const& key,
                                        std::string const& value,
                                        duration lease) {
    auto const lease_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(lease);
    switch (store_.create_leased(key, value, lease_ms)) {
    case write_outcome::done:
        return retry::claim_created{};
    case write_outcome::conflict:
        return retry::claim_exists{};
    case write_outcome::unreachable:
        return retry::claim_refused{};
    case write_outcome::unknown_effect:
        break;
    }
    return retry::claim_no_reply{};
}

retry::claim_event store_claims::read(std::string const& key) {
    auto const found = store_.read(key);
    if (!found)
        return retry::read_failed{};
    if (!found.value())
        return retry::read_reply{};
    return retry::read_reply{found.value()->value};
}

// The version read together with our value makes the removal conditional.
retry::claim_event store_claims::remove(std::string const& key,
                                        std::string const& value) {
    auto const found = store_.read(key);
    if (!found || !found.value() || found.value()->value != value)
        return retry::delete_failed{};
    auto const outcome = store_.remove(key, found.value()->version);
    if (outcome == write_outcome::done)
        return retry::delete_confirmed{};
    return retry::delete_failed{};
}

} // namespace yuccabeam::daemon
