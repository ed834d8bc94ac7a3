#include "yuccabeam/standins/store_server.hpp"

#include "yuccabeam/adapters/http_client.hpp"
#include "yuccabeam/adapters/store_client.hpp"
#include "yuccabeam/config/publish.hpp"
#include "yuccabeam/standins/store_state.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <future>
#include <nlohmann/json.hpp>

namespace yuccabeam::standins {
namespace {

using config::write_outcome;
using nlohmann::json;
using std::chrono::seconds;

class service {
public:
    service() { REQUIRE(server_.start()); }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(server_.port());
    }
    int control(json const& wanted) const {
        return call("POST", "/v1/control", wanted.dump()).status;
    }
    json stats() const {
        return json::parse(call("GET", "/v1/stats", "").body);
    }
    adapters::http_reply call(std::string method, std::string const& path,
                              std::string body) const {
        adapters::http_call call;
        call.method = std::move(method);
        call.url = "http://" + address() + path;
        call.body = std::move(body);
        return adapters::perform(call).value();
    }

private:
    store_server server_{{"127.0.0.1:0"}};
};

// Guards against a client that takes a refused write for a done one, or a
// lost reply for a refusal.
TEST_CASE("the client tells the outcomes of a write apart") {
    service const service;
    adapters::store_client client(service.address());
    std::string const key = "chunk/abc";
    CHECK(!client.read(key).value());
    CHECK(client.create(key, "one") == write_outcome::done);
    CHECK(client.create(key, "two") == write_outcome::conflict);
    auto const first = client.read(key).value().value();
    CHECK(first.value == "one");
    CHECK(client.replace(key, "two", first.version + 1) ==
          write_outcome::conflict);

    service.control({{"drop_replies", 1}});
    CHECK(client.replace(key, "two", first.version) ==
          write_outcome::unknown_effect);
    auto const second = client.read(key).value().value();
    CHECK(second.value == "two");

    service.control({{"mode", "down"}});
    CHECK(client.replace(key, "three", second.version) != write_outcome::done);
    CHECK(!client.read(key));
    service.control({{"mode", "up"}});
    CHECK(client.read(key).value() == second);

    CHECK(client.remove(key, first.version) == write_outcome::conflict);
    CHECK(client.remove(key, second.version) == write_outcome::done);
    CHECK(!client.read(key).value());

    adapters::store_client nobody("127.0.0.1:1");
    CHECK(nobody.create(key, "x") == write_outcome::unreachable);
}

// Guards against values that are changed on their way, and against a value
// above the limit that leaves the writer in doubt.
TEST_CASE("values up to 1 MB arrive whole, larger ones are refused") {
    service const service;
    adapters::store_client client(service.address());
    std::string value(store_state::max_value_bytes, '\0');
    for (std::size_t i = 0; i < value.size(); ++i)
        value[i] = static_cast<char>(i * 31 % 251);
    CHECK(client.create("large", value) == write_outcome::done);
    CHECK(client.read("large").value()->value == value);
    CHECK(client.create("larger", value + "x") == write_outcome::unreachable);
    CHECK(!client.read("larger").value());
}

// Guards against a watch that misses a change, or that a client has to
// repeat before there is one.
TEST_CASE("a watch answers at once with news, else when the key changes") {
    service const service;
    adapters::store_client client(service.address());
    REQUIRE(client.create("head", "1") == write_outcome::done);
    auto const first = client.watch("head", 0, seconds(30)).value().value();
    CHECK(first.value == "1");
    auto waiting = std::async(std::launch::async, [&] {
        return client.watch("head", first.version, seconds(30));
    });
    CHECK(client.replace("head", "2", first.version) == write_outcome::done);
    CHECK(waiting.get().value()->value == "2");
    CHECK(!client.watch("head", first.version + 1, seconds(0)).value());
    CHECK(service.stats() == json{{"reads", 0},
                                  {"writes", 2},
                                  {"watches", 3},
                                  {"vm_lists", 0},
                                  {"refused", 0}});
}

// Guards against a VM list without its lag, and against lost fields.
TEST_CASE("the VM list is shown with its lag") {
    service const service;
    adapters::store_client client(service.address());
    CHECK(client.vms().value().empty());
    auto const* const list = R"([{"id":"e1","address":"127.0.0.1:1",
        "role":"daemon","failure_domain":"a","leaving":true}])";
    service.call("PUT", "/v1/vms", list);
    std::vector<adapters::listed_vm> const expected{
        {"e1", "127.0.0.1:1", "daemon", "a", true}};
    CHECK(client.vms().value() == expected);
    service.control({{"vm_lag_ms", 3'600'000}});
    CHECK(client.vms().value().empty());
}

// Guards against an odd entry that ends the daemon or hides the other VMs.
TEST_CASE("an odd entry of the VM list names no VM, the others hold") {
    service const service;
    adapters::store_client client(service.address());
    std::string const good = R"({"id":"e1","address":"127.0.0.1:1",
        "role":"daemon","failure_domain":"a","leaving":true})";
    std::vector<adapters::listed_vm> const expected{
        {"e1", "127.0.0.1:1", "daemon", "a", true}};
    for (std::string const odd :
         {R"({"id":5})", R"({"id":"e2","address":["127.0.0.1:2"]})",
          R"({"id":"e2","role":null})", R"({"id":"e2","leaving":"yes"})",
          R"({"id":"e2","failure_domain":{}})", "7", "null", "[]"}) {
        CAPTURE(odd);
        auto list = "[" + odd;
        list.append(",").append(good).append("]");
        service.call("PUT", "/v1/vms", list);
        auto const vms = client.vms();
        REQUIRE(vms);
        CHECK(vms.value() == expected);
    }
}

TEST_CASE("a VM list that can't be held as JSON is a fault") {
    service const service;
    adapters::store_client client(service.address());
    std::string const lists[] = {"[1e400]", std::string(100'000, '[') +
                                                std::string(100'000, ']')};
    for (auto const& list : lists) {
        CAPTURE(list.substr(0, 20));
        service.call("PUT", "/v1/vms", list);
        CHECK_FALSE(client.vms());
    }
}

// Guards against a control request that is wrong and yet answered with 200,
// so that a test believes in a fault that isn't there.
TEST_CASE("wrong control requests are refused and change nothing") {
    service const service;
    adapters::store_client client(service.address());
    for (json const& wrong :
         {json(7), json{{"mode", "off"}}, json{{"mode", 1}},
          json{{"slow_ms", "fast"}}, json{{"drop_replies", -1}},
          json{{"mode", "down"}, {"vm_lag_ms", "long"}}}) {
        CAPTURE(wrong.dump());
        CHECK(service.control(wrong) == 400);
        CHECK(client.read("k").has_value());
    }
}

// Guards against an edit that is applied twice over the real protocol when
// the reply to its compare-and-swap is lost.
TEST_CASE("publishing survives lost replies over HTTP") {
    service const service;
    adapters::store_client client(service.address());
    for (std::uint64_t lost = 0; lost < 5; ++lost) {
        CAPTURE(lost);
        service.control({{"drop_replies", lost}});
        config::chunk_map cache;
        account const changed{{"a"}, static_cast<std::uint32_t>(lost + 1)};
        auto const now = config::read_configuration(client, cache).value();
        auto wanted = now.items;
        wanted.insert_or_assign("account/a", changed);
        auto const outcome = config::publish(
            client,
            config::edit{config::make_edit_id(now.head.value.revision, lost),
                         "tester", config::diff(now.items, wanted)},
            cache);
        // The first chunk is tried four times, so four lost replies stop
        // the edit before the head is written.
        CHECK(std::holds_alternative<config::published>(outcome) == (lost < 4));
        auto const head = config::read_head(client).value().value;
        CHECK(head.revision == std::min<std::uint64_t>(lost + 1, 4));
    }
}

} // namespace
} // namespace yuccabeam::standins
