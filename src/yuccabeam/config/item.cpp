#include "yuccabeam/config/item.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <type_traits>
#include <unordered_set>

namespace yuccabeam::config {

namespace {

constexpr std::string_view policy_key = "policy";

template <class T>
constexpr std::string_view prefix_of() {
    if constexpr (std::is_same_v<T, service>)
        return "service/";
    else if constexpr (std::is_same_v<T, target>)
        return "target/";
    else if constexpr (std::is_same_v<T, failure_domain>)
        return "failure_domain/";
    else if constexpr (std::is_same_v<T, route>)
        return "route/";
    else if constexpr (std::is_same_v<T, account>)
        return "account/";
    else
        return policy_key;
}

template <class T>
void add_all(std::vector<T> const& values, item_map& out) {
    for (auto const& value : values)
        out.emplace(key_of(item(value)), value);
}

template <class T, class Parse>
std::optional<item> parse_with_id(std::string const& key, json_reader& reader,
                                  Parse parse) {
    T value = parse(reader);
    reader.finish();
    if (key.substr(prefix_of<T>().size()) != value.id.value)
        reader.add_fault("id", "the id in the key " + key, value.id.value);
    return value;
}

template <class T>
bool has_prefix(std::string const& key) {
    return key.starts_with(prefix_of<T>()) &&
           key.size() > prefix_of<T>().size();
}

std::optional<item> parse_by_key(std::string const& key, json_reader& reader) {
    if (key == policy_key) {
        auto const policy = parse_policy(reader);
        reader.finish();
        return policy;
    }
    if (has_prefix<service>(key))
        return parse_with_id<service>(key, reader, parse_service);
    if (has_prefix<target>(key))
        return parse_with_id<target>(key, reader, parse_target);
    if (has_prefix<failure_domain>(key))
        return parse_with_id<failure_domain>(key, reader, parse_failure_domain);
    if (has_prefix<route>(key))
        return parse_with_id<route>(key, reader, parse_route);
    if (has_prefix<account>(key))
        return parse_with_id<account>(key, reader, parse_account);
    return std::nullopt;
}

template <class T>
constexpr auto by_id = [](T const& a, T const& b) { return a.id < b.id; };

template <class T>
void replace_in(std::vector<T>& list, std::vector<item> const& removed,
                std::vector<item> const& added) {
    std::unordered_set<std::string> removed_ids;
    for (auto const& value : removed)
        if (auto const* typed = std::get_if<T>(&value))
            removed_ids.insert(typed->id.value);
    if (!removed_ids.empty())
        std::erase_if(list, [&](T const& value) {
            return removed_ids.contains(value.id.value);
        });
    auto const old_size = static_cast<std::ptrdiff_t>(list.size());
    for (auto const& value : added)
        if (auto const* typed = std::get_if<T>(&value))
            list.push_back(*typed);
    auto const middle = list.begin() + old_size;
    std::sort(middle, list.end(), by_id<T>);
    std::inplace_merge(list.begin(), middle, list.end(), by_id<T>);
}

} // namespace

std::string key_of(item const& value) {
    return std::visit(
        [](auto const& typed) {
            using type = std::decay_t<decltype(typed)>;
            std::string key(prefix_of<type>());
            if constexpr (!std::is_same_v<type, ejection_policy>)
                key += typed.id.value;
            return key;
        },
        value);
}

nlohmann::json json_of(item const& value) {
    return std::visit(
        [](auto const& typed) -> nlohmann::json {
            if constexpr (std::is_same_v<std::decay_t<decltype(typed)>,
                                         ejection_policy>)
                return {{"policy", to_string(typed)}};
            else
                return typed;
        },
        value);
}

chunk_hash hash_of(item const& value) {
    return hash_of(std::string_view(json_of(value).dump()));
}

std::optional<item> parse_item(std::string const& key,
                               nlohmann::json const& value, std::string path,
                               std::vector<json_fault>& faults) {
    auto const before = faults.size();
    json_reader reader(value, std::move(path), faults);
    auto parsed = value.is_object() ? parse_by_key(key, reader) : std::nullopt;
    if (!parsed && faults.size() == before)
        faults.push_back({reader.path(),
                          "a key such as service/ID, target/ID, "
                          "failure_domain/ID, route/ID, account/ID or policy",
                          key});
    return faults.size() == before ? std::move(parsed) : std::nullopt;
}

item_map items_of(asset_register const& reg) {
    item_map out;
    add_all(reg.failure_domains, out);
    add_all(reg.services, out);
    add_all(reg.targets, out);
    return out;
}

item_map items_of(rules const& rules) {
    item_map out;
    out.emplace(policy_key, rules.policy);
    add_all(rules.routes, out);
    add_all(rules.accounts, out);
    return out;
}

item_map items_of(asset_register const& reg, rules const& rules) {
    auto out = items_of(reg);
    out.merge(items_of(rules));
    return out;
}

snapshot assemble(item_map const& items, yuccabeam::revision revision) {
    std::vector<item> added;
    added.reserve(items.size());
    for (auto const& [key, value] : items)
        added.push_back(value);
    auto out = replace_items({}, {}, added);
    out.revision = revision;
    return out;
}

snapshot replace_items(snapshot base, std::vector<item> const& removed,
                       std::vector<item> const& added) {
    auto const is_policy = [](item const& value) {
        return std::holds_alternative<ejection_policy>(value);
    };
    if (std::any_of(removed.begin(), removed.end(), is_policy))
        base.rules.policy = rules{}.policy;
    for (auto const& value : added)
        if (auto const* policy = std::get_if<ejection_policy>(&value))
            base.rules.policy = *policy;
    replace_in(base.asset_register.failure_domains, removed, added);
    replace_in(base.asset_register.services, removed, added);
    replace_in(base.asset_register.targets, removed, added);
    replace_in(base.rules.routes, removed, added);
    replace_in(base.rules.accounts, removed, added);
    return base;
}

std::vector<json_fault> check(item_map const& items) {
    auto const whole = assemble(items, 0);
    return yuccabeam::check(whole.asset_register, whole.rules);
}

} // namespace yuccabeam::config
