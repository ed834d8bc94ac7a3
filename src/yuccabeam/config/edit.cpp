#include "yuccabeam/config/edit.hpp"

#include <charconv>

namespace yuccabeam::config {

namespace {

std::optional<item> find(item_map const& items, std::string const& key) {
    auto const place = items.find(key);
    return place == items.end() ? std::nullopt : std::optional(place->second);
}

std::optional<chunk_hash> hash_if(std::optional<item> const& value) {
    return value ? std::optional(hash_of(*value)) : std::nullopt;
}

void apply(operation const& operation, item_map& items) {
    if (operation.value)
        items.insert_or_assign(operation.key, *operation.value);
    else
        items.erase(operation.key);
}

} // namespace

std::string make_edit_id(revision base, std::uint64_t random) {
    std::string digits(16, '0');
    std::string hex(16, '\0');
    auto const end =
        std::to_chars(hex.data(), hex.data() + hex.size(), random, 16).ptr;
    hex.resize(static_cast<std::size_t>(end - hex.data()));
    digits.replace(digits.size() - hex.size(), hex.size(), hex);
    return "r" + std::to_string(base) + "-" + digits;
}

std::optional<revision> base_of_edit_id(std::string_view id) {
    auto const dash = id.find('-');
    if (id.empty() || id.front() != 'r' || dash == std::string_view::npos ||
        dash + 1 == id.size())
        return std::nullopt;
    revision base = 0;
    auto const* const last = id.data() + dash;
    auto const [end, error] = std::from_chars(id.data() + 1, last, base);
    if (error != std::errc{} || end != last)
        return std::nullopt;
    return base;
}

std::vector<operation> diff(item_map const& from, item_map const& to) {
    std::vector<operation> out;
    for (auto const& [key, value] : from)
        if (!to.contains(key))
            out.push_back({key, std::nullopt, hash_of(value)});
    for (auto const& [key, value] : to) {
        auto const old = find(from, key);
        if (!old || *old != value)
            out.push_back({key, value, hash_if(old)});
    }
    return out;
}

rebased rebase(item_map current, edit const& edit) {
    rebased out;
    for (auto const& operation : edit.operations) {
        auto accepted = find(current, operation.key);
        if (accepted == operation.value)
            continue;
        if (hash_if(accepted) != operation.base)
            out.conflicts.push_back({operation.key, operation.base,
                                     std::move(accepted), operation.value});
        else
            apply(operation, current);
    }
    out.items = std::move(current);
    return out;
}

} // namespace yuccabeam::config
