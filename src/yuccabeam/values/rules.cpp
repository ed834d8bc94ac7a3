#include "yuccabeam/values/rules.hpp"

#include <array>

namespace yuccabeam {

namespace {

using word_list_policy =
    std::vector<std::pair<std::string_view, ejection_policy>>;
using word_list_priority = std::vector<std::pair<std::string_view, priority>>;
using word_list_idempotence =
    std::vector<std::pair<std::string_view, idempotence>>;

word_list_policy const policy_words = {
    {"detect_fast", ejection_policy::detect_fast},
    {"eject_carefully", ejection_policy::eject_carefully}};

word_list_priority const priority_words = {
    {"interactive", priority::interactive},
    {"normal", priority::normal},
    {"bulk", priority::bulk}};

word_list_idempotence const idempotence_words = {
    {"by_method", idempotence::by_method},
    {"always", idempotence::always},
    {"never", idempotence::never}};

constexpr std::int64_t max_timeout_ms = 24LL * 3600 * 1000;
constexpr std::int64_t max_account_weight = 1000;

template <class Enum>
std::string_view
word_of(std::vector<std::pair<std::string_view, Enum>> const& words,
        Enum value) {
    for (auto const& [text, word] : words)
        if (word == value)
            return text;
    return "";
}

} // namespace

route parse_route(json_reader& reader) {
    route out;
    out.id = {reader.string("id")};
    out.host = reader.string_or("host", "");
    out.path_prefix = reader.string("path_prefix");
    if (!out.path_prefix.empty() && out.path_prefix.front() != '/')
        reader.add_fault("path_prefix", "a path that starts with /",
                         out.path_prefix);
    out.service = {reader.string("service")};
    out.priority = reader.word_or("priority", out.priority, priority_words);
    out.idempotence =
        reader.word_or("idempotent", out.idempotence, idempotence_words);
    out.timeout = std::chrono::milliseconds(reader.integer_or(
        "timeout_ms", out.timeout.count(), {1, max_timeout_ms}));
    out.hedge = reader.boolean_or("hedge", out.hedge);
    return out;
}

account parse_account(json_reader& reader) {
    account out;
    out.id = {reader.string("id")};
    out.weight = static_cast<std::uint32_t>(
        reader.integer_or("weight", out.weight, {1, max_account_weight}));
    return out;
}

ejection_policy parse_policy(json_reader& reader) {
    return reader.word_or("policy", rules{}.policy, policy_words);
}

rules parse_rules(json_reader& reader) {
    rules out;
    out.policy = parse_policy(reader);
    reader.objects("routes", [&](json_reader& item) {
        out.routes.push_back(parse_route(item));
    });
    reader.objects("accounts", [&](json_reader& item) {
        out.accounts.push_back(parse_account(item));
    });
    return out;
}

priority priority_of_rank(std::uint32_t rank) {
    if (rank == 0)
        return priority::interactive;
    return rank == 1 ? priority::normal : priority::bulk;
}

std::string_view to_string(ejection_policy value) {
    return word_of(policy_words, value);
}

std::string_view to_string(priority value) {
    return word_of(priority_words, value);
}

std::string_view to_string(idempotence value) {
    return word_of(idempotence_words, value);
}

void to_json(nlohmann::json& out, route const& value) {
    out = {{"id", value.id.value},
           {"path_prefix", value.path_prefix},
           {"service", value.service.value},
           {"priority", to_string(value.priority)},
           {"idempotent", to_string(value.idempotence)},
           {"timeout_ms", value.timeout.count()},
           {"hedge", value.hedge}};
    if (!value.host.empty())
        out["host"] = value.host;
}

void to_json(nlohmann::json& out, account const& value) {
    out = {{"id", value.id.value}, {"weight", value.weight}};
}

void to_json(nlohmann::json& out, rules const& value) {
    out = {{"policy", to_string(value.policy)},
           {"routes", value.routes},
           {"accounts", value.accounts}};
}

bool is_idempotent(route const& route, std::string_view method) {
    constexpr std::array<std::string_view, 6> idempotent_methods = {
        "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};
    switch (route.idempotence) {
    case idempotence::always:
        return true;
    case idempotence::never:
        return false;
    case idempotence::by_method:
        break;
    }
    for (auto idempotent : idempotent_methods)
        if (method == idempotent)
            return true;
    return false;
}

} // namespace yuccabeam
