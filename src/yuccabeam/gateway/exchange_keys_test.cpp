// The key of a request is removed between its attempts.
#include "../http1/scripted_peer.hpp"
#include "exchange_fixture.hpp"
#include "yuccabeam/adapters/clock.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::gateway;
using http1::scripted_peer;

namespace {

// Two targets with the same response, as the first choice is random.
struct fixture : exchange_environment {
    std::vector<std::unique_ptr<scripted_peer>> peers;
    std::shared_ptr<recording_responder> caller =
        std::make_shared<recording_responder>();
    account_ptr account = std::make_shared<client_account const>();
    int looks = 0; ///< for the account of the key, which the first one finds

    explicit fixture(scripted_peer::reply const& reply) {
        std::vector<discovered_target> list;
        for (auto const* id : {"t0", "t1"}) {
            peers.push_back(std::make_unique<scripted_peer>(
                context, std::vector<scripted_peer::reply>{reply}));
            discovered_target target;
            target.target = {{id}, {"svc"}, {"a"}, peers.back()->address()};
            list.push_back(target);
        }
        target_table.replace(list, adapters::boot_now());
        dependencies.find_account = [this](auto const&) {
            return ++looks == 1 ? account : nullptr;
        };
    }

    void run() {
        routed_request request;
        request.request.head.method = "GET";
        request.request.head.target = "/x";
        request.request.head.fields = {{"Host", "h"}, {"Id", "r1"}};
        request.request.first_byte = adapters::boot_now();
        request.responder = caller;
        request.route.service = {"svc"};
        request.route.idempotence = idempotence::always;
        request.route.max_attempts = 3;
        request.route.timeout = std::chrono::seconds(30);
        request.account = account;
        request.key = digest_of("key");
        start_exchange(dependencies, std::move(request));
        REQUIRE(http1::run_until(context,
                                 [&] { return caller->sent.has_value(); }));
    }

    std::size_t arrivals() const {
        return peers[0]->requests().size() + peers[1]->requests().size();
    }
};

std::string answer(std::string const& head) {
    return "HTTP/1.1 " + head + "Id: r1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a response of a target that is lost, as the key is removed
// before a retry, and against retry credit for a retry that was never sent.
TEST_CASE("the result of an earlier attempt stands when the key is removed") {
    struct row {
        char const* what;
        scripted_peer::reply first; ///< to the first attempt
        int status;
    };
    row const rows[] = {
        {"an error response", {answer("500 Error\r\n")}, 500},
        {"a refusal", {answer("503 Busy\r\nNot-Run: 1\r\n")}, 401},
        {"a reset, which may have run", {"", false, true}, 502},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.what));
        fixture f(row.first);
        auto const credit = f.budget.credit(adapters::boot_now());
        f.run();
        CHECK(f.looks == 2);
        CHECK(f.arrivals() == 1);
        CHECK(f.caller->sends == 1);
        CHECK(f.caller->sent->status == row.status);
        CHECK(f.budget.credit(adapters::boot_now()) >= credit);
        for (auto const& at : f.target_table.snapshots(adapters::boot_now()))
            CHECK(at.in_flight == 0);
    }
}
