#include "yuccabeam/gateway/active_policy.hpp"

namespace yuccabeam::gateway {

void active_policy::update(mirror::store_mirror const& store, time_point now) {
    auto const* item = store.find(format_.policy_key);
    if (!item || item->revision == last_read_revision_)
        return;
    last_read_revision_ = item->revision;
    auto parsed = format_.policy(item->value);
    if (!parsed) {
        reject(*item, parsed.error());
        return;
    }
    if (parsed.value().revision <= policy_.revision)
        return;
    applied_at_ = now;
    apply(std::move(parsed.value()), item->revision);
}

void active_policy::reject(mirror::stored_item const& item,
                           fault const& reason) {
    counters_.count("policies_rejected");
    log_.write("policy_rejected",
               {{"store_revision", std::to_string(item.revision)},
                {"reason", reason.message}});
}

void active_policy::apply(traffic_policy policy, std::uint64_t store_revision) {
    auto const before = policy_.revision;
    policy_ = std::move(policy);
    routes_ = routing::route_table(policy_.routes);
    accounts_ = account_table(policy_);
    for (auto const& entry : policy_.rejected) {
        counters_.count("accounts_rejected");
        log_.write("account_rejected",
                   {{"revision", std::to_string(policy_.revision)},
                    {"account", entry.name},
                    {"reason", entry.reason}});
    }
    counters_.set("accounts", static_cast<double>(accounts_.size()));
    counters_.count("policies_applied");
    counters_.set("policy_revision", static_cast<double>(policy_.revision));
    log_.write("policy_applied",
               {{"revision", std::to_string(policy_.revision)},
                {"before", std::to_string(before)},
                {"routes", std::to_string(policy_.routes.size())},
                {"accounts", std::to_string(accounts_.size())},
                {"store_revision", std::to_string(store_revision)}});
}

} // namespace yuccabeam::gateway
