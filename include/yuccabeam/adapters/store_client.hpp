#pragma once

#include "yuccabeam/config/store.hpp"
#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::adapters {

/// Entry of the platform's VM list.
struct listed_vm {
    std::string id;
    std::string address; ///< `IP:port`
    std::string role;    ///< `daemon` or `target`
    std::string failure_domain;
    bool leaving = false;

    bool operator==(listed_vm const&) const = default;
};

struct store_client_options {
    std::chrono::milliseconds timeout{2'000};
};

/// Client of the platform's key-value service and VM list. Calls block.
///
/// Fulfils `config::store`.
class store_client {
public:
    explicit store_client(std::string address,
                          store_client_options options = {});

    /// Empty when the key is absent.
    result<std::optional<config::versioned_value>> read(std::string const& key);
    /// Creates the key if it is absent.
    config::write_outcome create(std::string const& key,
                                 std::string const& value);
    /// The same; the key is removed when the lease ends.
    config::write_outcome create_leased(std::string const& key,
                                        std::string const& value,
                                        std::chrono::milliseconds lease);
    /// Replaces the value if the key has this version.
    config::write_outcome replace(std::string const& key,
                                  std::string const& value,
                                  std::uint64_t version);
    /// Removes the key if it has this version.
    config::write_outcome remove(std::string const& key, std::uint64_t version);
    /// Waits until the key has a version above `after`; empty when it does
    /// not within `wait`.
    result<std::optional<config::versioned_value>>
    watch(std::string const& key, std::uint64_t after,
          std::chrono::milliseconds wait);

    result<std::vector<listed_vm>> vms();

private:
    std::string base_;
    store_client_options options_;
};

} // namespace yuccabeam::adapters
