#include "yuccabeam/ctl/commands.hpp"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <set>
#include <sstream>

namespace yuccabeam::ctl {

namespace {

using config::conflict;
using config::item_map;
using nlohmann::json;

bool has_any(json_reader const& reader,
             std::initializer_list<std::string_view> names) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view name) { return reader.has(name); });
}

// Splitting into items would hide an id that is named twice.
template <class Item>
void check_unique(std::string const& path, std::vector<Item> const& list,
                  std::vector<json_fault>& faults) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < list.size(); ++i)
        if (!list[i].id.empty() && !seen.insert(list[i].id.value).second)
            faults.push_back({path + "/" + std::to_string(i) + "/id",
                              "a unique id",
                              list[i].id.value + " a second time"});
}

void read_register(json_reader& reader, wanted_items& out,
                   std::vector<json_fault>& faults) {
    auto const reg = parse_asset_register(reader);
    auto const& path = reader.path();
    auto const before = faults.size();
    check_unique(path + "/failure_domains", reg.failure_domains, faults);
    check_unique(path + "/services", reg.services, faults);
    check_unique(path + "/targets", reg.targets, faults);
    if (faults.size() == before)
        out.items.merge(config::items_of(reg));
    out.has_register = true;
}

void read_rules(json_reader& reader, wanted_items& out,
                std::vector<json_fault>& faults) {
    auto const rules = parse_rules(reader);
    auto const& path = reader.path();
    auto const before = faults.size();
    check_unique(path + "/routes", rules.routes, faults);
    check_unique(path + "/accounts", rules.accounts, faults);
    if (faults.size() == before)
        out.items.merge(config::items_of(rules));
    out.has_rules = true;
}

bool is_rules_key(std::string const& key) {
    return key.starts_with("route/") || key.starts_with("account/") ||
           key == "policy";
}

std::string text_of(std::optional<config::item> const& item) {
    return item ? config::json_of(*item).dump() : "nothing (removed)";
}

std::string text_of(std::vector<conflict> const& conflicts) {
    std::ostringstream out;
    for (auto const& one : conflicts)
        out << "  " << one.key << "\n    in force: " << text_of(one.accepted)
            << "\n    yours:    " << text_of(one.wanted) << "\n";
    return out.str();
}

json data_of(std::vector<conflict> const& conflicts) {
    json list = json::array();
    for (auto const& one : conflicts)
        list.push_back(
            {{"item", one.key},
             {"in_force",
              one.accepted ? config::json_of(*one.accepted) : json(nullptr)},
             {"yours",
              one.wanted ? config::json_of(*one.wanted) : json(nullptr)}});
    return list;
}

json data_of(std::vector<json_fault> const& faults) {
    json list = json::array();
    for (auto const& fault : faults)
        list.push_back({{"path", fault.path},
                        {"expected", fault.expected},
                        {"found", fault.found}});
    return list;
}

// One overload for each alternative of `publish_outcome`.
struct describer {
    std::string const& edit_id;

    outcome operator()(config::published const& done) const {
        auto const revision = done.accepted.revision;
        return {exit_code::done,
                "Accepted as revision " + std::to_string(revision) + " (edit " +
                    edit_id + ").\n",
                {{"outcome", "accepted"},
                 {"revision", revision},
                 {"edit", edit_id}}};
    }

    outcome operator()(config::unchanged const& same) const {
        return {exit_code::done,
                "Nothing to change: revision " + std::to_string(same.revision) +
                    " already is so.\n",
                {{"outcome", "unchanged"}, {"revision", same.revision}}};
    }

    outcome operator()(config::conflicted const& found) const {
        return {exit_code::conflict,
                "Not accepted: another operator changed the same items "
                "(revision " +
                    std::to_string(found.revision) +
                    "). Nothing of this "
                    "edit is in force.\n" +
                    text_of(found.conflicts),
                {{"outcome", "conflict"},
                 {"revision", found.revision},
                 {"conflicts", data_of(found.conflicts)}}};
    }

    outcome operator()(config::invalid const& wrong) const {
        return {exit_code::input_fault,
                "Not accepted: the configuration would contradict itself.\n" +
                    yuccabeam::describe(wrong.faults),
                {{"outcome", "invalid"}, {"faults", data_of(wrong.faults)}}};
    }

    outcome operator()(config::unknown const& lost) const {
        return {exit_code::unknown,
                "Unknown: " + lost.message +
                    ". The edit may be in force. To find out:\n  yuccabeamctl "
                    "--settings FILE settle " +
                    edit_id + "\n",
                {{"outcome", "unknown"},
                 {"edit", edit_id},
                 {"reason", lost.message}}};
    }

    outcome operator()(config::not_published const& failed) const {
        auto const code = failed.reason.code == fault_code::conflict
                              ? exit_code::conflict
                          : failed.reason.code == fault_code::invalid_input
                              ? exit_code::input_fault
                              : exit_code::unreachable;
        return {
            code,
            "Not accepted, nothing was changed: " + failed.reason.message +
                "\n",
            {{"outcome", "not-accepted"}, {"reason", failed.reason.message}}};
    }
};

} // namespace

std::optional<wanted_items> parse_items(std::string_view text,
                                        std::vector<json_fault>& faults) {
    auto const document = parse_json(text, faults);
    if (!document)
        return std::nullopt;
    auto const before = faults.size();
    wanted_items out;
    json_reader reader(*document, "", faults);
    if (reader.has("register") || reader.has("rules")) {
        out.base = static_cast<revision>(reader.integer(
            "revision", {0, std::numeric_limits<std::int64_t>::max()}));
        reader.object_or("register", [&](json_reader& part) {
            read_register(part, out, faults);
        });
        reader.object_or(
            "rules", [&](json_reader& part) { read_rules(part, out, faults); });
    } else {
        if (has_any(reader, {"services", "targets", "failure_domains"}))
            read_register(reader, out, faults);
        if (has_any(reader, {"routes", "policy", "accounts"}))
            read_rules(reader, out, faults);
    }
    reader.finish();
    if (!out.has_register && !out.has_rules && faults.size() == before)
        faults.push_back({"",
                          "a register (services, targets, "
                          "failure_domains) or rules (policy, routes, "
                          "accounts)",
                          brief(*document)});
    if (faults.size() != before)
        return std::nullopt;
    return out;
}

void add(wanted_items file, wanted_items& all,
         std::vector<json_fault>& faults) {
    for (auto const& [key, value] : file.items)
        if (!all.items.emplace(key, value).second)
            faults.push_back(
                {"", "items that no other file has", key + " a second time"});
    all.has_register |= file.has_register;
    all.has_rules |= file.has_rules;
    if (all.base && file.base && all.base != file.base)
        faults.push_back({"/revision", "the revision of the other file",
                          std::to_string(*file.base)});
    if (file.base)
        all.base = file.base;
}

item_map merged(item_map const& current, wanted_items const& wanted) {
    item_map out = wanted.items;
    for (auto const& [key, value] : current) {
        bool const spoken_for =
            is_rules_key(key) ? wanted.has_rules : wanted.has_register;
        if (!spoken_for)
            out.emplace(key, value);
    }
    return out;
}

outcome describe(config::publish_outcome const& published,
                 std::string const& edit_id) {
    return std::visit(describer{edit_id}, published);
}

std::string describe(std::vector<config::operation> const& operations) {
    std::ostringstream out;
    for (auto const& change : operations) {
        if (!change.value)
            out << "remove " << change.key << "\n";
        else
            out << (change.base ? "change " : "add ") << change.key << " "
                << config::json_of(*change.value).dump() << "\n";
    }
    if (operations.empty())
        out << "no difference\n";
    return out.str();
}

} // namespace yuccabeam::ctl
