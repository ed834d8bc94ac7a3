#include "yuccabeam/codec/envelope.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace yuccabeam::codec {
namespace {

deployment_key const key{"shop", "secret"};

std::string text() {
    return *rc::gen::resize(20, rc::gen::arbitrary<std::string>());
}

template <class T>
T number() {
    return *rc::gen::arbitrary<T>();
}

template <class Make>
auto some(Make make) {
    std::vector<decltype(make())> out(*rc::gen::inRange<std::size_t>(0, 3));
    for (auto& element : out)
        element = make();
    return out;
}

membership::member any_member() {
    membership::member out;
    out.id = {text()};
    out.incarnation = number<std::uint64_t>();
    out.counter = number<std::uint32_t>();
    out.status =
        static_cast<membership::member_status>(*rc::gen::inRange(0, 4));
    if (number<bool>())
        out.info = {{text()}, text(), text(), number<bool>()};
    out.reporter = {text()};
    return out;
}

membership::heartbeat any_heartbeat() {
    membership::heartbeat out;
    out.self = any_member();
    out.config.revision = number<std::uint64_t>();
    out.config.manifest.fill(number<std::uint8_t>());
    out.updates = some(any_member);
    out.leaving_targets = some([] { return target_id{text()}; });
    return out;
}

health::evidence_report any_report() {
    health::evidence_report out;
    out.service = text();
    out.observer = text();
    out.sequence = number<std::uint64_t>();
    out.support = number<bool>();
    out.targets = {text(), text()};
    out.kinds = {text()};
    out.windows = some([] {
        health::evidence_window window;
        window.target = *rc::gen::inRange(0U, 2U);
        window.ok = number<std::uint32_t>();
        window.failing_callers = number<std::uint64_t>();
        window.latency = some(number<std::uint32_t>);
        return window;
    });
    out.trials = some([] {
        return health::trial_progress{text(), number<std::uint32_t>(),
                                      number<std::uint32_t>(), number<bool>()};
    });
    out.leaving = some(text);
    return out;
}

health::ejection_table any_table() {
    health::ejection_table out;
    out.service = text();
    out.incarnation = number<std::uint64_t>();
    out.receiver = text();
    out.grants = some([] {
        health::grant grant;
        grant.target = text();
        grant.hold_ms = number<std::uint32_t>();
        grant.evidence.rule = text();
        grant.evidence.bad = number<std::uint32_t>();
        return grant;
    });
    out.references = some([] {
        return health::latency_reference{text(), number<std::uint32_t>()};
    });
    out.degraded = number<bool>();
    return out;
}

message any_message() {
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return membership::ping{number<std::uint64_t>(), any_heartbeat()};
    case 1:
        return membership::ping_req{number<std::uint64_t>(), {text()}, text()};
    case 2:
        return membership::ack{
            number<std::uint64_t>(), {text()}, number<bool>(), any_heartbeat()};
    case 3:
        return membership::config_announce{{number<std::uint64_t>(), {}},
                                           text()};
    case 4:
        return any_report();
    default:
        return any_table();
    }
}

bytes sealed(message const& value, std::uint64_t skip = 0) {
    sealer from(key, {"vm-1"}, 5);
    while (skip-- > 0)
        (void)from.seal(value);
    return from.seal(value).value();
}

// Guards against a field that is lost, reordered or truncated on the wire.
TEST_CASE("every message is unchanged after sealing and opening") {
    CHECK(rc::check([] {
        message const value = any_message();
        sealer from(key, {"vm-1"}, 5);
        opener to(key);
        RC_PRE(from.fits(value));
        auto const got = to.open(from.seal(value).value());
        RC_ASSERT(std::get<authenticated_message>(got) ==
                  (authenticated_message{{"vm-1"}, 5, 1, value}));
    }));
}

// Guards against a forged or damaged datagram that is accepted, and against a
// decoder that reads past the end of a truncated payload.
TEST_CASE("no changed or truncated datagram is accepted") {
    CHECK(rc::check([] {
        message const value = any_message();
        sealer from(key, {"vm-1"}, 5);
        RC_PRE(from.fits(value));
        bytes const good = from.seal(value).value();
        opener to(key);
        bytes bad = good;
        bad[*rc::gen::inRange<std::size_t>(0, bad.size())] ^=
            static_cast<std::uint8_t>(1 << *rc::gen::inRange(0, 8));
        RC_ASSERT(std::get<drop_reason>(to.open(bad)) ==
                  drop_reason::wrong_key);
        auto const length = *rc::gen::inRange<std::size_t>(0, good.size());
        RC_ASSERT(std::holds_alternative<drop_reason>(
            to.open(bytes_view(good).first(length))));
        bytes const payload = encode(value);
        auto const cut = *rc::gen::inRange<std::size_t>(0, payload.size());
        RC_ASSERT(std::get<message_fault>(decode(bytes_view(payload).first(
                      cut))) == message_fault::malformed);
    }));
}

// Guards against a drop that is counted under another reason, or not at all.
TEST_CASE("each dropped datagram is counted by its reason") {
    message const value = membership::ping_req{1, {"b"}, "127.0.0.1:1"};
    auto const other = [&](deployment_key const& k, incarnation start) {
        return sealer(k, {"vm-1"}, start).seal(value).value();
    };
    struct row {
        drop_reason reason;
        bytes datagram;
    };
    row const rows[] = {
        {drop_reason::oversized, bytes(max_datagram_bytes + 1)},
        {drop_reason::malformed, bytes(10)},
        {drop_reason::wrong_key, other({"shop", "other"}, 5)},
        {drop_reason::wrong_deployment, other({"bank", "secret"}, 5)},
        {drop_reason::stale_incarnation, other(key, 4)},
        {drop_reason::replayed, sealed(value)},
    };
    for (auto const& row : rows) {
        CAPTURE(to_string(row.reason));
        opener to(key);
        CHECK(std::holds_alternative<authenticated_message>(
            to.open(sealed(value))));
        auto const got = to.open(row.datagram);
        REQUIRE(std::holds_alternative<drop_reason>(got));
        CHECK(std::get<drop_reason>(got) == row.reason);
        CHECK(to.dropped(row.reason) == 1);
    }
}

// Guards against a decoder that trusts lengths and indices in a payload.
TEST_CASE("the decoder reports the kind of each payload fault") {
    struct row {
        char const* name;
        bytes payload;
        message_fault fault;
    };
    health::evidence_report report;
    report.windows.resize(1);
    membership::ping_req long_id{1, {std::string(256, 'x')}, ""};
    row const rows[] = {
        {"empty", {}, message_fault::malformed},
        {"not an array", {0x01}, message_fault::malformed},
        {"huge array",
         {0xdd, 0xff, 0xff, 0xff, 0xff},
         message_fault::malformed},
        {"no such kind", {0x92, 0x7f, 0x90}, message_fault::unknown_kind},
        {"too few fields", {0x92, 0x02, 0x91, 0x01}, message_fault::malformed},
        {"negative sequence",
         {0x92, 0x02, 0x93, 0xff, 0xa1, 'b', 0xa0},
         message_fault::malformed},
        {"trailing byte",
         {0x92, 0x02, 0x93, 0x01, 0xa1, 'b', 0xa0, 0xc0},
         message_fault::malformed},
        {"window with an index of no target", encode(report),
         message_fault::out_of_range},
        {"long id", encode(long_id), message_fault::out_of_range},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        auto const got = decode(row.payload);
        REQUIRE(std::holds_alternative<message_fault>(got));
        CHECK(std::get<message_fault>(got) == row.fault);
    }
    // An extra field, which a later version may send, is accepted.
    CHECK(std::holds_alternative<message>(
        decode(bytes{0x92, 0x02, 0x94, 0x01, 0xa1, 'b', 0xa0, 0xc0})));
}

// Guards against a counter that is accepted twice and a fresh one that is
// rejected. The oracle is a plain set.
TEST_CASE("the replay window accepts each counter once") {
    CHECK(rc::check([](std::vector<std::uint16_t> const& draws) {
        replay_window window;
        std::set<std::uint64_t> used;
        for (std::uint64_t draw : draws) {
            std::uint64_t const counter = draw % 700;
            bool const old = !used.empty() &&
                             *used.rbegin() >= counter + replay_window::width;
            bool const fresh = !old && !used.contains(counter);
            RC_ASSERT((window.accept(counter) == freshness::fresh) == fresh);
            if (fresh)
                used.insert(counter);
        }
    }));
}

// Guards against memory use that grows with the number of sender ids.
TEST_CASE("the number of replay windows is bounded, the least recently used "
          "one is evicted") {
    replay_guard guard(2);
    for (char const* id : {"a", "b", "a", "c"})
        CHECK(guard.accept({id}, 1, guard.size() + 10) == freshness::fresh);
    CHECK(guard.size() == 2);
    CHECK(guard.accept({"a"}, 1, 12) == freshness::replayed);
}

// Guards against a datagram that would be fragmented.
TEST_CASE("a message that does not fit into a datagram is rejected") {
    health::ejection_table table;
    sealer from(key, {"vm-1"}, 5);
    while (from.fits(table))
        table.grants.emplace_back().target = "target";
    CHECK(from.seal(table).error().code == fault_code::invalid_input);
    table.grants.pop_back();
    CHECK(from.seal(table).value().size() <= max_datagram_bytes);
}

} // namespace
} // namespace yuccabeam::codec
