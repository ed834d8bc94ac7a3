#include "yuccabeam/standins/store_state.hpp"

#include <utility>

namespace yuccabeam::standins {

void store_state::expire(std::string const& key, time_point now) {
    auto const found = values_.find(key);
    if (found != values_.end() && found->second.ends &&
        *found->second.ends <= now)
        values_.erase(found);
}

std::optional<stored_value> store_state::read(std::string const& key,
                                              time_point now) {
    expire(key, now);
    auto const found = values_.find(key);
    if (found == values_.end())
        return std::nullopt;
    return found->second.stored;
}

write_result store_state::write(std::string const& key, std::string value,
                                std::uint64_t expected,
                                std::optional<duration> lease, time_point now) {
    auto const present = read(key, now);
    auto const version = present ? present->version : 0;
    if (value.size() > max_value_bytes)
        return {write_status::too_large, version};
    if (version != expected)
        return {write_status::conflict, version};
    entry next;
    next.stored = {std::move(value), ++last_version_};
    if (lease)
        next.ends = now + *lease;
    values_[key] = std::move(next);
    return {write_status::done, last_version_};
}

write_result store_state::remove(std::string const& key, std::uint64_t expected,
                                 time_point now) {
    auto const present = read(key, now);
    auto const version = present ? present->version : 0;
    if (!present || version != expected)
        return {write_status::conflict, version};
    values_.erase(key);
    return {write_status::done, 0};
}

} // namespace yuccabeam::standins
