#include "yuccabeam/gateway/account_table.hpp"

#include <string_view>

namespace yuccabeam::gateway {

namespace {

constexpr std::string_view scheme = "Bearer";

std::string_view without_leading_blanks(std::string_view text) {
    auto const first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first);
}

} // namespace

account_table::account_table(traffic_policy const& policy)
    : required_(policy.requires_account) {
    for (auto const& account : policy.accounts) {
        auto const shared = std::make_shared<client_account const>(account);
        has_quotas_ = has_quotas_ || account.rate > 0;
        by_id_.emplace(account.id, shared);
        for (auto const& key : account.keys)
            by_key_.emplace(key, shared);
    }
}

account_ptr account_table::find(key_digest const& key) const {
    auto const found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

account_ptr account_table::find(account_id const& id) const {
    auto const found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

std::optional<key_digest> key_of(adapters::http_fields const& fields) {
    std::optional<std::string_view> credentials;
    for (auto const& field : fields) {
        if (!adapters::same_field_name(field.name, "Authorization"))
            continue;
        if (credentials)
            return std::nullopt;
        credentials = field.value;
    }
    if (!credentials || credentials->size() <= scheme.size() ||
        !adapters::same_field_name(credentials->substr(0, scheme.size()),
                                   scheme))
        return std::nullopt;
    auto const rest = credentials->substr(scheme.size());
    auto key = without_leading_blanks(rest);
    key = key.substr(0, key.find_last_not_of(" \t") + 1);
    if (key.empty() || key.size() == rest.size())
        return std::nullopt;
    return digest_of(key);
}

authentication authenticate(account_table const& accounts, route const& route,
                            adapters::http_fields const& fields) {
    if (!accounts.required())
        return {true, nullptr, std::nullopt};
    authentication out;
    if (auto const key = key_of(fields))
        if ((out.account = accounts.find(*key)))
            out.key = key;
    out.allowed = route.anonymous || out.account != nullptr;
    return out;
}

} // namespace yuccabeam::gateway
