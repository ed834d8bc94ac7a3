#include "yuccabeam/gateway/policy_check.hpp"

#include "yuccabeam/routing/route_table.hpp"

#include <algorithm>
#include <set>
#include <unordered_set>
#include <utility>

namespace yuccabeam::gateway {

namespace {

using std::chrono::milliseconds;

std::string number_text(double value) {
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.'))
        text.pop_back();
    return text;
}

std::string seconds_text(milliseconds time) {
    return number_text(static_cast<double>(time.count()) / 1'000) + " s";
}

std::string name_of(route const& route) {
    return "route " + route.id.value;
}

std::string name_of(client_account const& account) {
    return "account " + account.id.value;
}

// --- one configuration -------------------------------------------------------

class checker {
public:
    explicit checker(traffic_policy const& policy)
        : policy_(policy), routes_(policy.routes) {}

    policy_findings run() && {
        for (auto const& entry : policy_.rejected)
            error("account " + entry.name, "is left out: " + entry.reason);
        check_names();
        for (auto const& route : policy_.routes) {
            check_match(route);
            check_limits(route);
        }
        for (auto const& account : policy_.accounts)
            check(account);
        check_request_limits();
        return std::move(out_);
    }

private:
    void error(std::string where, std::string what) {
        out_.push_back(
            {finding_kind::error, std::move(where), std::move(what)});
    }
    void warn(std::string where, std::string what) {
        out_.push_back(
            {finding_kind::warning, std::move(where), std::move(what)});
    }

    void check_names() {
        std::set<route_id> seen;
        for (auto const& route : policy_.routes)
            if (!seen.insert(route.id).second)
                warn(name_of(route), "has the name of another route");
    }

    void check_match(route const& route) {
        auto const* found = routes_.find(route.host, route.path_prefix);
        if (found == nullptr)
            error(name_of(route), "matches no request: no path starts with \"" +
                                      route.path_prefix + "\"");
        else if (*found != route)
            error(name_of(route),
                  "matches no request: " + name_of(*found) + " takes them");
        else if (!route.path_prefix.starts_with('/') &&
                 !route.path_prefix.empty())
            error(name_of(route), "matches no request: its prefix does not "
                                  "start with /");
        else
            check_shadow(route);
    }

    // A prefix without a slash at its end also covers the paths below it,
    // unless another route takes them.
    void check_shadow(route const& route) {
        if (route.path_prefix.ends_with('/'))
            return;
        auto const below = route.path_prefix + "/";
        auto const* found = routes_.find(route.host, below);
        if (found != nullptr && found->path_prefix == below)
            warn(name_of(route), "matches only the path " + route.path_prefix +
                                     " itself, as " + name_of(*found) +
                                     " has the prefix " + below);
    }

    void check_limits(route const& route) {
        if (route.timeout <= milliseconds(0))
            error(name_of(route), "has a timeout of 0, so that no request has "
                                  "time to run");
        else if (route.latency_objective > route.timeout)
            warn(name_of(route), "has a latency objective of " +
                                     seconds_text(route.latency_objective) +
                                     " above its timeout of " +
                                     seconds_text(route.timeout));
        if (route.max_attempts == 0)
            warn(name_of(route), "allows 0 attempts, which counts as 1");
        if (route.service.empty())
            error(name_of(route), "names no service");
        bool const no_weight = std::ranges::all_of(
            route.destinations, [](auto const& at) { return at.weight == 0; });
        if (!route.destinations.empty() && no_weight)
            warn(name_of(route), "splits its requests by weights that are all "
                                 "0, so that all go to service " +
                                     route.service.value);
    }

    void check(client_account const& account) {
        if (account.keys.empty())
            warn(name_of(account), "has no key, so that no request is its own");
        if (account.burst > 0 && account.rate <= 0)
            warn(name_of(account),
                 "has a burst without a rate, which limits nothing");
    }

    void check_request_limits() {
        auto const& limits = policy_.limits;
        if (limits.max_head_bytes == 0)
            error("limits", "allow no byte of a request's head");
        if (limits.head_timeout <= milliseconds(0))
            error("limits", "have a timeout of 0 for a request's head");
        if (limits.idle_timeout <= milliseconds(0))
            error("limits", "have a timeout of 0 for idle connections");
        else if (limits.head_timeout > limits.idle_timeout)
            warn("limits", "have a timeout of " +
                               seconds_text(limits.head_timeout) +
                               " for a request's head above the one of " +
                               seconds_text(limits.idle_timeout) +
                               " for idle connections");
    }

    traffic_policy const& policy_;
    routing::route_table routes_;
    policy_findings out_;
};

// --- two configurations ------------------------------------------------------

using field_texts = std::vector<std::pair<std::string_view, std::string>>;

std::string text_of(std::vector<destination> const& destinations) {
    std::string out;
    for (auto const& at : destinations)
        out += (out.empty() ? "" : ",") + at.service.value + ":" +
               std::to_string(at.weight);
    return out.empty() ? "none" : out;
}

field_texts texts_of(route const& route) {
    auto const flag = [](bool value) { return value ? "yes" : "no"; };
    return {{"host", route.host},
            {"prefix", route.path_prefix},
            {"service", route.service.value},
            {"split", text_of(route.destinations)},
            {"timeout", seconds_text(route.timeout)},
            {"latency objective", seconds_text(route.latency_objective)},
            {"attempts", std::to_string(route.max_attempts)},
            {"priority", std::to_string(route.rank)},
            {"idempotence", std::string(to_string(route.idempotence))},
            {"download", flag(route.large_answers)},
            {"upload", flag(route.large_requests)},
            {"anonymous", flag(route.anonymous)}};
}

field_texts texts_of(client_account const& account) {
    return {{"priority", account.rank ? std::to_string(*account.rank)
                                      : "that of the route"},
            {"rate", number_text(account.rate)},
            {"burst", number_text(account.burst)}};
}

field_texts texts_of(request_limits const& limits) {
    return {{"head bytes", std::to_string(limits.max_head_bytes)},
            {"body bytes", std::to_string(limits.max_body_bytes)},
            {"head timeout", seconds_text(limits.head_timeout)},
            {"idle timeout", seconds_text(limits.idle_timeout)}};
}

std::string differences(field_texts const& before, field_texts const& after) {
    std::string out;
    for (std::size_t i = 0; i < before.size(); ++i)
        if (before[i] != after[i])
            out.append(out.empty() ? "" : ", ")
                .append(before[i].first)
                .append(" ")
                .append(before[i].second)
                .append(" to ")
                .append(after[i].second);
    return out;
}

std::size_t count_missing(std::vector<key_digest> const& keys,
                          std::vector<key_digest> const& from) {
    std::unordered_set<key_digest> const known(from.begin(), from.end());
    return static_cast<std::size_t>(std::ranges::count_if(
        keys, [&](auto const& key) { return !known.contains(key); }));
}

std::string changes_of(route const& before, route const& after) {
    return differences(texts_of(before), texts_of(after));
}

std::string changes_of(client_account const& before,
                       client_account const& after) {
    auto out = differences(texts_of(before), texts_of(after));
    auto const add = [&](std::size_t count, char const* what) {
        if (count > 0)
            out += (out.empty() ? "" : ", ") + std::to_string(count) + what;
    };
    add(count_missing(after.keys, before.keys), " keys added");
    add(count_missing(before.keys, after.keys), " keys removed");
    return out;
}

template <class Entry>
Entry const* find_same(std::vector<Entry> const& entries, Entry const& like) {
    auto const found = std::ranges::find(entries, like.id, &Entry::id);
    return found == entries.end() ? nullptr : &*found;
}

template <class Entry>
void compare(std::vector<Entry> const& before, std::vector<Entry> const& after,
             policy_findings& out) {
    for (auto const& entry : after) {
        auto const* earlier = find_same(before, entry);
        if (earlier == nullptr)
            out.push_back({finding_kind::change, name_of(entry), "is added"});
        else if (auto const what = changes_of(*earlier, entry); !what.empty())
            out.push_back({finding_kind::change, name_of(entry), what});
    }
    for (auto const& entry : before)
        if (find_same(after, entry) == nullptr)
            out.push_back({finding_kind::change, name_of(entry), "is removed"});
}

} // namespace

std::string_view to_string(finding_kind kind) {
    switch (kind) {
    case finding_kind::error:
        return "error";
    case finding_kind::warning:
        return "warning";
    case finding_kind::change:
        return "change";
    }
    return "unknown";
}

policy_findings check_policy(traffic_policy const& policy) {
    return checker(policy).run();
}

policy_findings compare_policies(traffic_policy const& in_force,
                                 traffic_policy const& policy) {
    policy_findings out;
    if (policy.revision <= in_force.revision)
        out.push_back({finding_kind::error, "version",
                       std::to_string(policy.revision) +
                           " is not above the one in force, " +
                           std::to_string(in_force.revision) +
                           ", so that daemons ignore it"});
    compare(in_force.routes, policy.routes, out);
    compare(in_force.accounts, policy.accounts, out);
    if (in_force.requires_account != policy.requires_account)
        out.push_back({finding_kind::change, "accounts",
                       policy.requires_account
                           ? "requests need a key from now on"
                           : "requests need no key any more"});
    if (auto const what =
            differences(texts_of(in_force.limits), texts_of(policy.limits));
        !what.empty())
        out.push_back({finding_kind::change, "limits", what});
    return out;
}

policy_findings check_policy_texts(content_format const& format,
                                   std::string const& text,
                                   std::string const* in_force) {
    auto const parsed = format.policy(text);
    if (!parsed)
        return {{finding_kind::error, "configuration",
                 "is rejected: " + parsed.error().message}};
    auto out = check_policy(parsed.value());
    if (in_force == nullptr)
        return out;
    auto const earlier = format.policy(*in_force);
    if (!earlier) {
        out.push_back({finding_kind::error, "configuration in force",
                       "can't be read: " + earlier.error().message});
        return out;
    }
    std::ranges::move(compare_policies(earlier.value(), parsed.value()),
                      std::back_inserter(out));
    return out;
}

std::string describe(policy_findings const& findings) {
    std::string out;
    for (auto const& finding : findings)
        out.append(to_string(finding.kind))
            .append(": ")
            .append(finding.where)
            .append(": ")
            .append(finding.what)
            .append("\n");
    return out;
}

bool has_errors(policy_findings const& findings) {
    return std::ranges::any_of(findings, [](auto const& finding) {
        return finding.kind == finding_kind::error;
    });
}

} // namespace yuccabeam::gateway
