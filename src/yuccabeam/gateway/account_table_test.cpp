#include "yuccabeam/gateway/account_table.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;

namespace {

traffic_policy two_accounts() {
    traffic_policy out;
    out.requires_account = true;
    client_account first;
    first.id = {"first"};
    first.keys = {digest_of("k1"), digest_of("k2")};
    client_account second;
    second.id = {"second"};
    second.keys = {digest_of("k3")};
    out.accounts = {first, second};
    return out;
}

std::string name_of(account_ptr const& account) {
    return account ? account->id.value : "";
}

} // namespace

// Guards against a request that runs for another account or for none.
TEST_CASE("the account of a request is that of the key in its only "
          "Authorization field") {
    struct row {
        char const* guards;
        adapters::http_fields fields;
        bool anonymous;
        bool allowed;
        std::string account;
    };
    row const rows[] = {
        {"a key", {{"Authorization", "Bearer k1"}}, false, true, "first"},
        {"a second key",
         {{"Authorization", "Bearer k2"}},
         false,
         true,
         "first"},
        {"another account",
         {{"authorization", "bearer k3"}},
         false,
         true,
         "second"},
        {"blanks", {{"Authorization", "Bearer  \tk3 "}}, false, true, "second"},
        {"no field", {}, false, false, ""},
        {"an unknown key", {{"Authorization", "Bearer k4"}}, false, false, ""},
        {"a part of a key", {{"Authorization", "Bearer k"}}, false, false, ""},
        {"a key in another case",
         {{"Authorization", "Bearer K1"}},
         false,
         false,
         ""},
        {"an empty key", {{"Authorization", "Bearer "}}, false, false, ""},
        {"no blank", {{"Authorization", "Bearerk1"}}, false, false, ""},
        {"another scheme", {{"Authorization", "Basic k1"}}, false, false, ""},
        {"a key without a scheme", {{"Authorization", "k1"}}, false, false, ""},
        {"two fields",
         {{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k3"}},
         false,
         false,
         ""},
        {"a name that the caller claims",
         {{"Account", "first"}},
         false,
         false,
         ""},
        {"an anonymous route", {}, true, true, ""},
        {"an anonymous route with a key",
         {{"Authorization", "Bearer k3"}},
         true,
         true,
         "second"},
        {"an anonymous route with an unknown key",
         {{"Authorization", "Bearer k4"}},
         true,
         true,
         ""},
    };
    account_table const accounts(two_accounts());
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        route route;
        route.anonymous = row.anonymous;
        auto const found = authenticate(accounts, route, row.fields);
        CHECK(found.allowed == row.allowed);
        CHECK(name_of(found.account) == row.account);
        CHECK(found.key.has_value() == (found.account != nullptr));
    }
}

TEST_CASE("a configuration without accounts asks for no key") {
    auto const found = authenticate(account_table(traffic_policy{}), route{},
                                    {{"Authorization", "Bearer k1"}});
    CHECK(found.allowed);
    CHECK_FALSE(found.account);
}

// Guards against a fleet that is open to all because every entry was rejected.
TEST_CASE("a configuration whose accounts can't be read lets no request run") {
    auto policy = two_accounts();
    policy.accounts.clear();
    CHECK_FALSE(authenticate(account_table(policy), route{},
                             {{"Authorization", "Bearer k1"}})
                    .allowed);
}
