#include "yuccabeam/placement/service_usage.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1'000s};

discovered_target target_in(std::string const& id, std::string const& domain) {
    discovered_target out;
    out.target = {{id}, {"svc"}, {domain}, "127.0.0.1:1", 6, 330};
    out.started_ms = 1;
    return out;
}

} // namespace

// Guards against a log in which targets without requests look like used ones,
// whether they are suspected or not.
TEST_CASE("the usage of a service tells idle targets from suspected ones") {
    target_table table({"a"}, 1);
    std::vector<discovered_target> list;
    for (auto const* id : {"own", "peer", "failed", "unused", "leaving"})
        list.push_back(target_in(id, "a"));
    list.push_back(target_in("elsewhere", "b"));
    table.replace(list, start);
    list[4].leaving = true;
    auto const now = start + 10s;
    table.replace(list, now);
    table.on_start({"own"}, now - 1s);
    table.on_peer_activity({"p"}, {{"peer"}, 1, 1}, now - 1s);
    table.on_peer_notice({{"failed"}, 1, notice_kind::failed}, now - 3s);
    service_usage expected;
    expected.targets = 5;
    expected.suspected = 1;
    expected.idle = 3;
    expected.idle_suspected = 1;
    expected.domain_targets = 4;
    expected.domain_idle = 2;
    expected.domain_idle_suspected = 1;
    expected.longest_domain_idle = 10s;
    auto const usage = usage_by_service(table.snapshots(now), 2s);
    CHECK(usage.at({"svc"}) == expected);
}

// Guards against the end of a long request, or a repeated report of it, that
// counts as a new request at its target.
TEST_CASE("a target is idle from the last request that was sent to it") {
    target_table table({"a"}, 1);
    table.replace({target_in("t1", "a")}, start);
    table.on_peer_activity({"p"}, {{"t1"}, 1, 2}, start + 1s);
    table.on_peer_activity({"p"}, {{"t1"}, 1, 2}, start + 2s);
    table.on_peer_activity({"p"}, {{"t1"}, 1, 1}, start + 3s);
    CHECK(table.snapshot_of({"t1"}, start + 5s)->idle == 4s);
    table.on_start({"t1"}, start + 5s);
    table.on_cancel({"t1"});
    CHECK(table.snapshot_of({"t1"}, start + 6s)->idle == 1s);
}
