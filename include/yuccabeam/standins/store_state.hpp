#pragma once

#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace yuccabeam::standins {

struct stored_value {
    std::string value;
    std::uint64_t version = 0;

    bool operator==(stored_value const&) const = default;
};

enum class write_status { done, conflict, too_large };

struct write_result {
    write_status status = write_status::done;
    std::uint64_t version = 0; ///< new or present version; 0: absent

    bool operator==(write_result const&) const = default;
};

/// Key-value service in memory: versions for compare-and-swap, leases, and a
/// limit on values. A version is never used twice.
class store_state {
public:
    static constexpr std::size_t max_value_bytes = 1 << 20;

    std::optional<stored_value> read(std::string const& key, time_point now);

    /// Writes if the key has version `expected`; 0: if it is absent. A lease
    /// removes the key when it ends.
    write_result write(std::string const& key, std::string value,
                       std::uint64_t expected, std::optional<duration> lease,
                       time_point now);

    write_result remove(std::string const& key, std::uint64_t expected,
                        time_point now);

    std::size_t size() const { return values_.size(); }

private:
    struct entry {
        stored_value stored;
        std::optional<time_point> ends;
    };

    void expire(std::string const& key, time_point now);

    std::map<std::string, entry> values_;
    std::uint64_t last_version_ = 0;
};

} // namespace yuccabeam::standins
