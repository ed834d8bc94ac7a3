#include "yuccabeam/gateway/exchange.hpp"

#include "../http1/sample_responses.hpp"
#include "../http1/scripted_peer.hpp"
#include "exchange_fixture.hpp"
#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/standins/endless_answer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using http1::scripted_peer;

namespace {

std::string answer(std::string const& status, std::string const& fields,
                   std::string const& body, std::string const& id = "r1") {
    return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string const signed_response = answer("200 OK", "Proof: p\r\n", "ok");
std::string const not_run_refusal = answer("503 Busy", "Not-Run: 1\r\n", "");

// Two targets with scripted responses. Which of them gets the request first is
// random, so both have the same first response.
struct fixture : exchange_environment {
    std::vector<std::unique_ptr<scripted_peer>> peers;
    std::shared_ptr<recording_responder> caller =
        std::make_shared<recording_responder>();

    explicit fixture(std::vector<scripted_peer::reply> const& replies,
                     std::size_t targets = 2, bool one_address = false) {
        std::vector<discovered_target> list;
        for (std::size_t i = 0; i < targets; ++i) {
            if (peers.empty() || !one_address)
                peers.push_back(
                    std::make_unique<scripted_peer>(context, replies));
            discovered_target target;
            target.target = {{"t" + std::to_string(i)},
                             {"svc"},
                             {"a"},
                             peers.back()->address()};
            list.push_back(target);
        }
        target_table.replace(list, adapters::boot_now());
    }

    void run(bool idempotent, std::string const& id = "r1") {
        caller->sent.reset();
        start(idempotent, id);
        REQUIRE(http1::run_until(context,
                                 [&] { return caller->sent.has_value(); }));
    }

    void start(bool idempotent, std::string const& id = "r1") {
        routed_request request;
        request.request.head.method = idempotent ? "GET" : "POST";
        request.request.head.target = "/x";
        request.request.head.fields = {{"Host", "h"},
                                       {"Left-Ms", "20000"},
                                       {"Connection", "X-Hop"},
                                       {"X-Hop", "1"}};
        if (!id.empty())
            request.request.head.fields.push_back({"Id", id});
        request.request.first_byte = adapters::boot_now();
        request.responder = caller;
        request.route.id = {"route"};
        request.route.service = {"svc"};
        request.route.idempotence =
            idempotent ? idempotence::always : idempotence::never;
        request.route.timeout = std::chrono::seconds(30);
        start_exchange(dependencies, std::move(request));
    }

    std::size_t arrivals() const {
        std::size_t out = 0;
        for (auto const& peer : peers)
            out += peer->requests().size();
        return out;
    }

    std::string first_request() const {
        for (auto const& peer : peers)
            if (!peer->requests().empty())
                return peer->requests().front();
        return {};
    }
};

struct answer_case {
    char const* guards;
    std::vector<scripted_peer::reply> replies; ///< of each target
    bool idempotent;
    bool may_retry;
    int status;
    std::size_t arrivals;
};

std::vector<answer_case> const cases = {
    {"a signed response is forwarded",
     {{signed_response}},
     false,
     true,
     200,
     1},
    {"a non-idempotent request runs at most once: reset",
     {{"", true}},
     false,
     true,
     502,
     1},
    {"the same with a truncated response",
     {{answer("200 OK", "Proof: p\r\n", "ok").substr(0, 57), true}},
     false,
     true,
     502,
     1},
    {"a response without the signature is rejected",
     {{answer("200 OK", "", "ok")}},
     false,
     true,
     502,
     1},
    {"a truncated head followed by another request's response",
     {{"HTTP/1.1 200 OK\r\nId: r1\r\nProof: pHTTP/1.1 200 OK\r\nId: "
       "r0\r\nContent-Length: 2\r\n\r\nok",
       true}},
     false,
     true,
     502,
     1},
    {"an encoded body is rejected",
     {{answer("200 OK", "Proof: p\r\nContent-Encoding: gzip\r\n", "ok")}},
     false,
     true,
     502,
     1},
    {"a 500 of the target is forwarded",
     {{answer("500 Oops", "Proof: p\r\n", "no")}},
     false,
     true,
     500,
     1},
    {"a 503 without the not-run field is not forwarded",
     {{answer("503 Busy", "Proof: p\r\n", "")}},
     false,
     true,
     502,
     1},
    {"a refusal with the not-run field is retried, then forwarded",
     {{not_run_refusal}},
     false,
     true,
     503,
     2},
    {"the same without retry budget",
     {{not_run_refusal}},
     false,
     false,
     503,
     1},
    {"a success with the not-run field is rejected",
     {{answer("200 OK", "Proof: p\r\nNot-Run: 1\r\n", "ok")}},
     false,
     true,
     502,
     1},
    {"a 500 with the not-run field is forwarded",
     {{answer("500 Oops", "Proof: p\r\nNot-Run: 1\r\n", "no")}},
     false,
     true,
     500,
     1},
    {"another target at the address",
     {{answer("421 Other", "", "")}},
     false,
     true,
     503,
     2},
    {"an idempotent request is retried once", {{"", true}}, true, true, 502, 2},
    {"an idempotent request without retry budget",
     {{"", true}},
     true,
     false,
     502,
     1},
};

} // namespace

TEST_CASE("the response to the caller for each response of the targets") {
    for (auto const& c : cases) {
        CAPTURE(c.guards);
        fixture f(c.replies);
        f.may_retry = c.may_retry;
        f.run(c.idempotent);
        CHECK(f.caller->sent->status == c.status);
        CHECK(f.caller->sends == 1);
        CHECK(f.arrivals() == c.arrivals);
        CHECK(f.retries_reported == static_cast<int>(c.arrivals) - 1);
        bool const promise = c.status == 503;
        CHECK(
            promise ==
            !http1::field_value(f.caller->sent->fields, "Retry-After").empty());
    }
}

// Guards against a request that waits for its deadline, runs twice or is
// reported as not run when its targets send endless data.
TEST_CASE("the response to the caller for endless responses of the targets") {
    http1::client_options const limits;
    std::size_t const socket_buffers = 8u << 20;
    for (auto const& entry : standins::endless_words)
        for (bool const idempotent : {false, true}) {
            auto const kind = entry.second;
            CAPTURE(entry.first);
            CAPTURE(idempotent);
            auto bytes = standins::make_endless_answer(
                kind, "Id: r1\r\nProof: p\r\n", "Id: r0\r\nProof: p\r\n");
            fixture f({{bytes.start, false, false, bytes.repeated}});
            f.run(idempotent);
            bool const answered = kind == standins::endless_kind::behind_answer;
            CHECK(f.caller->sent->status == (answered ? 200 : 502));
            CHECK(f.caller->sends == 1);
            CHECK(f.arrivals() == (idempotent && !answered ? 2 : 1));
            CHECK(http1::field_value(f.caller->sent->fields, "Retry-After")
                      .empty());
            for (auto const& peer : f.peers)
                CHECK(peer->repeated_bytes() <= limits.max_response_bytes +
                                                    limits.max_overhead_bytes +
                                                    socket_buffers);
        }
}

// Guards against a truncated response that is forwarded as a complete one.
TEST_CASE("a response truncated at any byte reaches the caller complete or as "
          "a failure") {
    for (auto const& answer : http1::complete_responses) {
        if (answer.method != "GET")
            continue;
        CAPTURE(answer.framing);
        auto const text = answer.text();
        for (std::size_t size = 0; size <= text.size(); ++size)
            for (bool const reset : {false, true}) {
                CAPTURE(size);
                CAPTURE(reset);
                fixture f({{text.substr(0, size), !reset, reset}}, 1);
                f.run(false);
                auto const& sent = *f.caller->sent;
                if (sent.status < 400) {
                    CHECK(answer.is_complete(size));
                    CHECK_FALSE((reset && answer.ends_with_connection));
                    CHECK(sent.body == answer.body_within(size));
                } else {
                    // A reset may overtake the last bytes of a complete
                    // response.
                    CHECK((reset || !answer.is_complete(size)));
                    CHECK(sent.status == 502);
                }
                CHECK(f.caller->sends == 1);
                CHECK(f.arrivals() == 1);
            }
    }
}

TEST_CASE("a response whose end can't be determined is a failure to the "
          "caller") {
    for (auto const& answer : http1::malformed_responses) {
        CAPTURE(answer.guards);
        fixture f({{answer.text, true}}, 1);
        f.run(false);
        CHECK(f.caller->sent->status == 502);
        CHECK(f.arrivals() == 1);
    }
}

TEST_CASE(
    "a target gets the remaining time, its own id and no hop-by-hop fields") {
    fixture f({{signed_response}}, 1);
    f.run(false);
    auto const text = f.first_request();
    CHECK(text.find("Expected: t0\r\n") != std::string::npos);
    CHECK(text.find("Id: r1\r\n") != std::string::npos);
    CHECK(text.find("Left-Ms: 20000\r\n") == std::string::npos);
    CHECK(text.find("X-Hop") == std::string::npos);
    auto const at = text.find("Left-Ms: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stoi(text.substr(at + 9)) <= 20'000);
    CHECK(std::stoi(text.substr(at + 9)) > 0);
}

TEST_CASE("without a target the caller is refused at once") {
    fixture f({}, 0);
    f.run(true);
    CHECK(f.caller->sent->status == 503);
}

TEST_CASE("when the caller disconnects, the attempt is cancelled and no "
          "response is sent") {
    fixture f({}, 1);
    f.start(true);
    REQUIRE(http1::run_until(f.context, [&] { return f.arrivals() == 1; }));
    REQUIRE(f.caller->gone);
    f.caller->gone();
    CHECK(f.caller->sends == 0);
    CHECK(f.target_table.snapshots(adapters::boot_now())[0].in_flight == 0);
}

// Guards against a request that runs but is reported as not run, and against a
// second run of it, when its target sends the refusal of an earlier attempt
// again.
TEST_CASE("a refusal applies only to the attempt that it answers") {
    struct row {
        std::string what;
        bool first_idempotent;
        std::string first_id;
        std::string first_answer;
        bool second_idempotent;
        std::string second_id;
        std::string second_answer;
    };
    auto const refused = [](std::string const& id) {
        return answer("503 Busy", "Not-Run: 1\r\n", "", id);
    };
    auto const ran = [](std::string const& id) {
        return answer("200 OK", "Proof: p\r\n", "ok", id);
    };
    // An idempotent request leaves its connection open for reuse.
    std::vector<row> const rows = {
        {"an idempotent request after another's refusal", true, "r0",
         refused("r0"), true, "r1", ran("r1")},
        {"a non-idempotent request after another's refusal", true, "r0",
         refused("r0"), false, "r1", ran("r1")},
        {"a refused non-idempotent request before another", false, "r0",
         refused("r0"), false, "r1", ran("r1")},
        {"a request without id after a refusal", true, "", refused("r0"), true,
         "", ran("r1")},
    };
    for (auto const& row : rows) {
        CAPTURE(row.what);
        fixture f({{row.first_answer},
                   {row.second_answer, false, false, "", row.first_answer}},
                  1);
        f.run(row.first_idempotent, row.first_id);
        CHECK(f.caller->sent->status == 503);
        f.run(row.second_idempotent, row.second_id);
        CHECK(f.caller->sent->status == 200);
        CHECK(f.arrivals() == 2);
    }
}

TEST_CASE("a retry at the same address isn't answered by the refusal of an "
          "earlier attempt") {
    std::string const refusals[] = {
        not_run_refusal, answer("429 Busy", "Not-Run: 1\r\n", ""),
        answer("421 Other", "Not-Run: 1\r\n", ""), answer("421 Other", "", "")};
    for (auto const& refusal : refusals)
        for (bool const idempotent : {false, true}) {
            CAPTURE(refusal);
            CAPTURE(idempotent);
            fixture f({{refusal}, {signed_response, false, false, "", refusal}},
                      2, true);
            f.run(idempotent);
            CHECK(f.caller->sent->status == 200);
            CHECK(f.arrivals() == 2);
            CHECK(f.client.connections_opened() == 2);
        }
}

TEST_CASE("a request whose second attempt may have run isn't reported as not "
          "run and gets no third attempt") {
    fixture f({{not_run_refusal},
               {"", true, false, "", not_run_refusal},
               {signed_response}},
              3, true);
    f.run(false);
    CHECK(f.caller->sent->status == 502);
    CHECK(f.arrivals() == 2);
}

// Guards against a target's word that doesn't reach the choice of targets, or
// reaches it only after the retry.
TEST_CASE("an exchange takes note of what a target asks for") {
    struct row {
        char const* what;
        std::string reply; ///< of both targets
        int status;
        std::size_t arrivals; ///< of two requests
    };
    auto const rest =
        answer("503 Busy", "Not-Run: 1\r\nRetry-After: 60\r\n", "");
    std::vector<row> const rows = {
        {"it leaves", answer("200 OK", "Proof: p\r\nLeaving: 1\r\n", "ok"), 200,
         2},
        {"it rests", rest, 503, 2},
    };
    for (auto const& row : rows) {
        CAPTURE(row.what);
        fixture f({{row.reply}, {row.reply}});
        f.run(false);
        CHECK(f.caller->sent->status == row.status);
        f.run(false);
        CHECK(f.arrivals() == row.arrivals);
        std::size_t words = 0;
        for (auto const& at : f.target_table.snapshots(adapters::boot_now())) {
            words += at.leaving || at.resting;
            CHECK_FALSE(at.suspected);
        }
        CHECK(words == 2);
    }
}

// Guards against a key or a claimed account that reaches a target.
TEST_CASE("a target gets the account of the key and never the key") {
    struct row {
        char const* guards;
        bool accounts_in_use;
        account_ptr account;
        std::string expected; ///< account field of the target
        bool passes_authorization;
    };
    auto const acme = std::make_shared<client_account const>(
        client_account{{"acme"}, {digest_of("key")}, {}, 0, 0});
    row const rows[] = {
        {"an account", true, acme, "acme", false},
        {"an anonymous request", true, nullptr, "", false},
        {"no accounts", false, nullptr, "claimed", true},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        fixture f({{signed_response}}, 1);
        f.names.account = "Account";
        f.dependencies.find_account = [&](auto const&) { return row.account; };
        routed_request request;
        request.request.head.method = "POST";
        request.request.head.target = "/x";
        request.request.head.fields = {{"Host", "h"},
                                       {"Id", "r1"},
                                       {"Authorization", "Bearer key"},
                                       {"account", "claimed"}};
        request.request.first_byte = adapters::boot_now();
        request.responder = f.caller;
        request.route.service = {"svc"};
        request.hide_credentials = row.accounts_in_use;
        request.account = row.account;
        if (row.account)
            request.key = digest_of("key");
        start_exchange(f.dependencies, std::move(request));
        REQUIRE(http1::run_until(f.context,
                                 [&] { return f.caller->sent.has_value(); }));
        auto const text = f.first_request();
        CHECK((text.find("Bearer") != std::string::npos) ==
              row.passes_authorization);
        CHECK((text.find("claimed") != std::string::npos) ==
              row.passes_authorization);
        CHECK((text.find("Account: acme\r\n") != std::string::npos) ==
              (row.expected == "acme"));
    }
}

// Guards against a request that runs with a key that was removed while it
// waited.
TEST_CASE("a request whose key is removed before its attempt gets 401 and "
          "doesn't run") {
    fixture f({{signed_response}}, 1);
    f.dependencies.find_account = [](auto const&) { return nullptr; };
    routed_request request;
    request.request.head.method = "POST";
    request.request.head.target = "/x";
    request.request.head.fields = {{"Host", "h"}, {"Id", "r1"}};
    request.request.first_byte = adapters::boot_now();
    request.responder = f.caller;
    request.route.service = {"svc"};
    request.account = std::make_shared<client_account const>();
    request.key = digest_of("key");
    start_exchange(f.dependencies, std::move(request));
    REQUIRE(f.caller->sent.has_value());
    CHECK(f.caller->sent->status == 401);
    CHECK(f.arrivals() == 0);
}
