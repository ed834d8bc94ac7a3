#include "yuccabeam/gateway/policy_check.hpp"

#include <doctest/doctest.h>
#include <functional>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using namespace std::chrono_literals;

namespace {

route route_for(std::string const& id, std::string const& prefix) {
    route out;
    out.id = {id};
    out.host = "h";
    out.path_prefix = prefix;
    out.service = {"s"};
    out.timeout = 2s;
    out.latency_objective = 1s;
    return out;
}

// A configuration without findings.
traffic_policy good_policy() {
    traffic_policy out;
    out.revision = 4;
    out.routes = {route_for("a", "/a/"), route_for("b", "/b")};
    out.requires_account = true;
    out.accounts = {{{"acme"}, {digest_of("k1"), digest_of("k2")}, 1, 5, 10}};
    return out;
}

using edit = std::function<void(traffic_policy&)>;

} // namespace

// Guards against a configuration that is sent although it can't do what it
// says, and against findings on one that can.
TEST_CASE("each fault of a configuration is one finding that names its entry") {
    struct row {
        edit change;
        finding_kind kind;
        std::string where;
        std::string part; ///< of the finding's text
    };
    auto const error = finding_kind::error;
    auto const warning = finding_kind::warning;
    row const rows[] = {
        {[](auto& p) {
             p.rejected = {{"x", "/rate: expected a number"}};
         },
         error, "account x", "is left out: /rate"},
        {[](auto& p) { p.routes.push_back(route_for("c", "/a/")); }, error,
         "route c", "route a takes them"},
        {[](auto& p) {
             p.routes.push_back(route_for("c", "/a/"));
             p.routes.back().host = "H:80";
         },
         error, "route c", "route a takes them"},
        {[](auto& p) { p.routes.push_back(route_for("c", "/c?x=1")); }, error,
         "route c", "no path starts with"},
        {[](auto& p) { p.routes[1].path_prefix = "b/"; }, error, "route b",
         "does not start with /"},
        {[](auto& p) { p.routes.push_back(route_for("c", "/a")); }, warning,
         "route c", "only the path /a itself, as route a"},
        {[](auto& p) { p.routes[1].id = {"a"}; }, warning, "route a",
         "the name of another route"},
        {[](auto& p) { p.routes[1].timeout = 0s; }, error, "route b",
         "a timeout of 0"},
        {[](auto& p) { p.routes[1].latency_objective = 2'500ms; }, warning,
         "route b", "objective of 2.5 s above its timeout of 2 s"},
        {[](auto& p) { p.routes[1].max_attempts = 0; }, warning, "route b",
         "0 attempts"},
        {[](auto& p) { p.routes[1].service = {}; }, error, "route b",
         "no service"},
        {[](auto& p) {
             p.routes[1].destinations = {{{"s"}, 0}, {{"t"}, 0}};
         },
         warning, "route b", "all go to service s"},
        {[](auto& p) { p.accounts[0].keys.clear(); }, warning, "account acme",
         "no key"},
        {[](auto& p) { p.accounts[0].rate = 0; }, warning, "account acme",
         "a burst without a rate"},
        {[](auto& p) { p.limits.max_head_bytes = 0; }, error, "limits",
         "no byte"},
        {[](auto& p) { p.limits.head_timeout = 0s; }, error, "limits",
         "timeout of 0 for a request's head"},
        {[](auto& p) { p.limits.idle_timeout = 0s; }, error, "limits",
         "timeout of 0 for idle"},
        {[](auto& p) { p.limits.head_timeout = 61s; }, warning, "limits",
         "61 s for a request's head above the one of 60 s"},
    };
    CHECK(check_policy(good_policy()).empty());
    for (auto const& row : rows) {
        CAPTURE(row.part);
        auto policy = good_policy();
        row.change(policy);
        auto const findings = check_policy(policy);
        REQUIRE(findings.size() == 1);
        CHECK(findings[0].kind == row.kind);
        CHECK(findings[0].where == row.where);
        CHECK(findings[0].what.find(row.part) != std::string::npos);
        CHECK(has_errors(findings) == (row.kind == error));
    }
}

// Guards against a change that an operator doesn't see before it is in force.
TEST_CASE("each difference to the configuration in force is one finding") {
    struct row {
        edit change;
        policy_finding finding;
    };
    auto const changed = finding_kind::change;
    row const rows[] = {
        {[](auto& p) { p.revision = 4; },
         {finding_kind::error, "version",
          "4 is not above the one in force, 4, so that daemons ignore it"}},
        {[](auto& p) { p.routes.push_back(route_for("c", "/c/")); },
         {changed, "route c", "is added"}},
        {[](auto& p) { p.routes.pop_back(); },
         {changed, "route b", "is removed"}},
        {[](auto& p) {
             p.routes[0].timeout = 1'500ms;
             p.routes[0].anonymous = true;
         },
         {changed, "route a", "timeout 2 s to 1.5 s, anonymous no to yes"}},
        {[](auto& p) {
             p.routes[0].destinations = {{{"s"}, 9}, {{"t"}, 1}};
         },
         {changed, "route a", "split none to s:9,t:1"}},
        {[](auto& p) {
             p.accounts.push_back({{"new"}, {}, {}, 0, 0});
         },
         {changed, "account new", "is added"}},
        {[](auto& p) { p.accounts.clear(); },
         {changed, "account acme", "is removed"}},
        {[](auto& p) {
             p.accounts[0].keys = {digest_of("k2"), digest_of("k3"),
                                   digest_of("k4")};
             p.accounts[0].rate = 7.5;
             p.accounts[0].rank.reset();
         },
         {changed, "account acme",
          "priority 1 to that of the route, rate 5 to 7.5, 2 keys added, 1 "
          "keys removed"}},
        {[](auto& p) { p.requires_account = false; },
         {changed, "accounts", "requests need no key any more"}},
        {[](auto& p) { p.limits.idle_timeout = 50s; },
         {changed, "limits", "idle timeout 60 s to 50 s"}},
    };
    for (auto const& row : rows) {
        CAPTURE(row.finding.where);
        CAPTURE(row.finding.what);
        auto policy = good_policy();
        policy.revision = 5;
        row.change(policy);
        CHECK(compare_policies(good_policy(), policy) ==
              policy_findings{row.finding});
    }
}

TEST_CASE("a text that can't be read is an error, whichever of the two it is") {
    content_format format;
    format.policy = [](std::string const& text) -> result<traffic_policy> {
        if (text == "bad")
            return make_fault(fault_code::invalid_input, "reason");
        auto out = good_policy();
        out.revision = std::stoull(text);
        return out;
    };
    std::string const older = "4";
    std::string const bad = "bad";
    CHECK(check_policy_texts(format, "5", nullptr).empty());
    CHECK(check_policy_texts(format, "5", &older).empty());
    CHECK(describe(check_policy_texts(format, "3", &older)) ==
          "error: version: 3 is not above the one in force, 4, so that daemons "
          "ignore it\n");
    CHECK(describe(check_policy_texts(format, "bad", &older)) ==
          "error: configuration: is rejected: reason\n");
    CHECK(has_errors(check_policy_texts(format, "5", &bad)));
}
