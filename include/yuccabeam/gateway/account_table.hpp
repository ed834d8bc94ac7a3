#pragma once

#include "yuccabeam/adapters/http_types.hpp"
#include "yuccabeam/values/traffic.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

namespace yuccabeam::gateway {

using account_ptr = std::shared_ptr<client_account const>;

/// The client accounts of a configuration by their keys.
class account_table {
public:
    account_table() = default;
    explicit account_table(traffic_policy const& policy);

    /// The account that holds the key, or null.
    account_ptr find(key_digest const& key) const;
    /// The account with an id, or null.
    account_ptr find(account_id const& id) const;
    /// Some account has a quota.
    bool has_quotas() const { return has_quotas_; }

    /// Requests need a key, except on anonymous routes.
    bool required() const { return required_; }
    std::size_t size() const { return by_id_.size(); }

private:
    bool required_ = false;
    bool has_quotas_ = false;
    std::unordered_map<account_id, account_ptr> by_id_;
    std::unordered_map<key_digest, account_ptr> by_key_;
};

/// Digest of the key in a request's `Authorization` field; empty unless there
/// is exactly one such field, with the scheme `Bearer` and a key.
std::optional<key_digest> key_of(adapters::http_fields const& fields);

/// Whether a configuration lets a request run, and for whom.
struct authentication {
    bool allowed = false;
    account_ptr account;           ///< null on an anonymous route
    std::optional<key_digest> key; ///< of the account
};

authentication authenticate(account_table const& accounts, route const& route,
                            adapters::http_fields const& fields);

} // namespace yuccabeam::gateway
