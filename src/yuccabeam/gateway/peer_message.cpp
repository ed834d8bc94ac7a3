#include "yuccabeam/gateway/peer_message.hpp"

#include <nlohmann/json.hpp>

namespace yuccabeam::gateway {

namespace {

using nlohmann::json;

// First element of each message. Messages of other versions are rejected.
constexpr int protocol_version = 2;
// A message with more credit is treated as corrupt.
constexpr double max_credit = 1e6;

// Maximum nesting depth of arrays in a message. Changes need four levels.
constexpr std::size_t max_depth = 8;

// SAX handler that aborts on objects and on arrays nested too deeply, which no
// message has. The decoder is recursive, and a body is long enough to overflow
// its stack.
struct structure_check : nlohmann::json_sax<json> {
    std::size_t depth = 0;

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, string_t const&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(std::size_t) override { return ++depth <= max_depth; }
    bool end_array() override {
        --depth;
        return true;
    }
    bool parse_error(std::size_t, std::string const&,
                     nlohmann::detail::exception const&) override {
        return false;
    }
};

bool has_message_structure(std::string const& body) {
    structure_check check;
    return json::sax_parse(body, &check, json::input_format_t::msgpack);
}

// Messages are encoded as arrays in field order, without keys, to keep
// heartbeats small: each daemon sends one to every peer each second, or every
// 3 s to other failure domains.
json to_json(placement::target_notice const& notice) {
    return json::array({notice.target.value, notice.started_ms,
                        static_cast<int>(notice.kind)});
}

json to_json(mirror::store_changes const& changes) {
    json events = json::array();
    for (auto const& event : changes.events)
        events.push_back(json::array({event.item.key, event.item.value,
                                      event.item.revision, event.removed}));
    return json::array({changes.base, changes.revision, std::move(events)});
}

json to_json(heartbeat const& value) {
    json budgets = json::array();
    for (auto const& [service, report] : value.budgets)
        budgets.push_back(json::array(
            {service.value, static_cast<std::int64_t>(report.requests),
             static_cast<float>(report.spare_credit)}));
    return json::array(
        {value.sender.value, value.control, value.failure_domain.value,
         value.incarnation, value.store_revision, value.watching,
         value.store_call_failed, value.leaving, value.wants_reply,
         std::move(budgets), value.copy_age.count()});
}

json to_json(target_notice_message const& value) {
    return json::array({value.sender.value, to_json(value.notice)});
}

json to_json(change_message const& value) {
    return json::array(
        {value.sender.value, value.control, to_json(value.changes)});
}

json to_json(std::vector<placement::target_activity> const& targets) {
    json out = json::array();
    for (auto const& activity : targets)
        out.push_back(json::array(
            {activity.target.value, activity.started_ms, activity.in_flight}));
    return out;
}

json to_json(activity_message const& value) {
    return json::array({value.sender.value, to_json(value.targets)});
}

json to_json(domain_activity_message const& value) {
    return json::array({value.sender.value, value.failure_domain.value,
                        value.forward, to_json(value.targets)});
}

json to_json(credit_request_message const& value) {
    return json::array({value.sender.value, value.service.value,
                        value.request.number, value.request.amount});
}

json to_json(credit_grant_message const& value) {
    return json::array({value.sender.value, value.service.value,
                        value.grant.number, value.grant.amount,
                        value.grant.spare_credit});
}

// Accessors throw on type and range errors; `decode` and `decode_changes` catch
// the exceptions.
placement::target_notice read_notice(json const& in) {
    auto const kind = in.at(2).get<int>();
    if (kind < 0 || kind > static_cast<int>(placement::notice_kind::last))
        throw std::out_of_range("kind of notice");
    return {{in.at(0).get<std::string>()},
            in.at(1).get<std::int64_t>(),
            static_cast<placement::notice_kind>(kind)};
}

mirror::store_changes read_changes(json const& in) {
    mirror::store_changes out;
    out.base = in.at(0).get<std::uint64_t>();
    out.revision = in.at(1).get<std::uint64_t>();
    for (auto const& event : in.at(2))
        out.events.push_back(
            {{event.at(0).get<std::string>(), event.at(1).get<std::string>(),
              event.at(2).get<std::uint64_t>()},
             event.at(3).get<bool>()});
    return out;
}

heartbeat read_heartbeat(json const& in) {
    heartbeat out;
    out.sender = {in.at(0).get<std::string>()};
    out.control = in.at(1).get<std::string>();
    out.failure_domain = {in.at(2).get<std::string>()};
    out.incarnation = in.at(3).get<std::uint64_t>();
    out.store_revision = in.at(4).get<std::uint64_t>();
    out.watching = in.at(5).get<bool>();
    out.store_call_failed = in.at(6).get<bool>();
    out.leaving = in.at(7).get<bool>();
    out.wants_reply = in.at(8).get<bool>();
    for (auto const& report : in.at(9))
        out.budgets[{report.at(0).get<std::string>()}] = {
            report.at(1).get<double>(), report.at(2).get<double>()};
    out.copy_age = std::chrono::milliseconds(in.at(10).get<std::int64_t>());
    // A negative age would mean a confirmation in the future.
    if (out.copy_age.count() < 0)
        throw std::out_of_range("age of a copy");
    return out;
}

double read_credit(json const& in) {
    auto const amount = in.get<double>();
    if (!(amount >= 0 && amount <= max_credit))
        throw std::out_of_range("credit");
    return amount;
}

std::vector<placement::target_activity> read_activity(json const& in) {
    std::vector<placement::target_activity> out;
    for (auto const& activity : in)
        out.push_back({{activity.at(0).get<std::string>()},
                       activity.at(1).get<std::int64_t>(),
                       activity.at(2).get<std::uint32_t>()});
    return out;
}

peer_message read_message(json const& in) {
    auto const& body = in.at(2);
    switch (in.at(1).get<int>()) {
    case 0:
        return read_heartbeat(body);
    case 1:
        return target_notice_message{{body.at(0).get<std::string>()},
                                     read_notice(body.at(1))};
    case 2:
        return change_message{{body.at(0).get<std::string>()},
                              body.at(1).get<std::string>(),
                              read_changes(body.at(2))};
    case 3:
        return activity_message{{body.at(0).get<std::string>()},
                                read_activity(body.at(1))};
    case 4:
        return domain_activity_message{{body.at(0).get<std::string>()},
                                       {body.at(1).get<std::string>()},
                                       body.at(2).get<bool>(),
                                       read_activity(body.at(3))};
    case 5:
        return credit_request_message{
            {body.at(0).get<std::string>()},
            {body.at(1).get<std::string>()},
            {body.at(2).get<std::uint64_t>(), read_credit(body.at(3))}};
    case 6:
        return credit_grant_message{{body.at(0).get<std::string>()},
                                    {body.at(1).get<std::string>()},
                                    {body.at(2).get<std::uint64_t>(),
                                     read_credit(body.at(3)),
                                     read_credit(body.at(4))}};
    default:
        throw std::out_of_range("kind of message");
    }
}

} // namespace

std::vector<std::uint8_t> encode(peer_message const& message) {
    auto const body =
        std::visit([](auto const& m) { return to_json(m); }, message);
    return json::to_msgpack(
        json::array({protocol_version, message.index(), body}));
}

std::optional<peer_message> decode(std::span<std::uint8_t const> bytes) {
    try {
        auto const in = json::from_msgpack(bytes.begin(), bytes.end());
        if (in.at(0).get<int>() != protocol_version)
            return std::nullopt;
        return read_message(in);
    } catch (std::exception const&) {
        // nlohmann reports malformed bytes and wrong types by exceptions.
        return std::nullopt;
    }
}

std::string encode_changes(mirror::store_changes const& changes,
                           std::vector<std::string> const& peers) {
    auto const bytes = json::to_msgpack(
        json::array({protocol_version, to_json(changes), peers}));
    return {bytes.begin(), bytes.end()};
}

std::optional<changes_and_peers> decode_changes(std::string const& body) {
    if (!has_message_structure(body))
        return std::nullopt;
    try {
        auto const in = json::from_msgpack(body);
        if (in.at(0).get<int>() != protocol_version)
            return std::nullopt;
        return changes_and_peers{read_changes(in.at(1)),
                                 in.at(2).get<std::vector<std::string>>()};
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

} // namespace yuccabeam::gateway
