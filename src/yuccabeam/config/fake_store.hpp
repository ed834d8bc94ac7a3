#pragma once

#include "yuccabeam/config/store.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace yuccabeam::config {

/// Outcome of one write.
enum class write_behaviour {
    normal,
    lost_reply, ///< takes effect; the caller gets no reply
    late,       ///< no reply; takes effect in `apply_late_writes`
    dropped,    ///< never takes effect; the caller gets no reply
    refused     ///< unreachable, without effect
};

/// In-memory store for tests that injects faults and records each head.
class fake_store {
public:
    std::function<write_behaviour(std::string const& key)> choose_behaviour;
    std::function<bool(std::string const& key)> read_fails;
    /// Number of head writes by which a read of the head lags.
    std::function<std::size_t()> head_lag;
    /// Runs before each write of the head, to simulate a concurrent operator.
    std::function<void()> before_head_write;

    result<std::optional<versioned_value>> read(std::string const& key) {
        ++reads;
        if (read_fails && read_fails(key))
            return make_fault(fault_code::unreachable, "store down");
        if (key == head_key && head_lag) {
            auto const lag = head_lag();
            if (lag >= head_values_.size())
                return std::optional<versioned_value>();
            return std::optional(
                *(head_values_.rbegin() + static_cast<std::ptrdiff_t>(lag)));
        }
        auto const place = values_.find(key);
        if (place == values_.end())
            return std::optional<versioned_value>();
        return std::optional(place->second);
    }
    write_outcome create(std::string const& key, std::string const& value) {
        return write(key, value, 0);
    }
    write_outcome replace(std::string const& key, std::string const& value,
                          std::uint64_t version) {
        return write(key, value, version);
    }

    /// Applies the late writes.
    void apply_late_writes() {
        for (auto const& [key, value] : std::exchange(late_, {}))
            swap(key, value.value, value.version);
    }

    /// Each value that the head had, without repetitions by `settle`.
    std::vector<head> const& heads() const { return heads_; }

    int reads = 0;
    int writes = 0;

private:
    write_outcome write(std::string const& key, std::string const& value,
                        std::uint64_t version) {
        ++writes;
        if (key == head_key && before_head_write)
            before_head_write();
        switch (choose_behaviour ? choose_behaviour(key)
                                 : write_behaviour::normal) {
        case write_behaviour::normal:
            return swap(key, value, version) ? write_outcome::done
                                             : write_outcome::conflict;
        case write_behaviour::lost_reply:
            swap(key, value, version);
            return write_outcome::unknown_effect;
        case write_behaviour::late:
            late_.push_back({key, {value, version}});
            return write_outcome::unknown_effect;
        case write_behaviour::dropped:
            return write_outcome::unknown_effect;
        case write_behaviour::refused:
            break;
        }
        return write_outcome::unreachable;
    }

    bool swap(std::string const& key, std::string const& value,
              std::uint64_t version) {
        auto const place = values_.find(key);
        if ((place == values_.end() ? 0 : place->second.version) != version)
            return false;
        values_.insert_or_assign(key, versioned_value{value, ++last_version_});
        if (key != head_key)
            return true;
        head_values_.push_back({value, last_version_});
        auto const now = parse_head(value).value();
        if (heads_.empty() || heads_.back() != now)
            heads_.push_back(now);
        return true;
    }

    std::map<std::string, versioned_value> values_;
    std::vector<std::pair<std::string, versioned_value>> late_;
    std::vector<head> heads_;
    std::vector<versioned_value> head_values_;
    std::uint64_t last_version_ = 0;
};

static_assert(store<fake_store>);

} // namespace yuccabeam::config
