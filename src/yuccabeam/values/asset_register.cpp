#include "yuccabeam/values/asset_register.hpp"

namespace yuccabeam {

namespace {

constexpr std::int64_t max_slots = 1'000'000;
constexpr std::int64_t max_connections = 1'000'000;

} // namespace

failure_domain parse_failure_domain(json_reader& reader) {
    return {.id = {reader.string("id")}};
}

service parse_service(json_reader& reader) {
    service out;
    out.id = {reader.string("id")};
    out.floor_slots = static_cast<std::uint32_t>(
        reader.integer("floor_slots", {0, max_slots}));
    return out;
}

target parse_target(json_reader& reader) {
    target out;
    out.id = {reader.string("id")};
    out.service = {reader.string("service")};
    out.failure_domain = {reader.string("failure_domain")};
    out.address = reader.ip_address("address");
    out.slots = static_cast<std::uint32_t>(
        reader.integer_or("slots", out.slots, {1, max_slots}));
    out.connections = static_cast<std::uint32_t>(reader.integer_or(
        "connections", out.connections, {1, max_connections}));
    return out;
}

asset_register parse_asset_register(json_reader& reader) {
    asset_register out;
    reader.objects("failure_domains", [&](json_reader& item) {
        out.failure_domains.push_back(parse_failure_domain(item));
    });
    reader.objects("services", [&](json_reader& item) {
        out.services.push_back(parse_service(item));
    });
    reader.objects("targets", [&](json_reader& item) {
        out.targets.push_back(parse_target(item));
    });
    return out;
}

void to_json(nlohmann::json& out, failure_domain const& value) {
    out = {{"id", value.id.value}};
}

void to_json(nlohmann::json& out, service const& value) {
    out = {{"id", value.id.value}, {"floor_slots", value.floor_slots}};
}

void to_json(nlohmann::json& out, target const& value) {
    out = {{"id", value.id.value},
           {"service", value.service.value},
           {"failure_domain", value.failure_domain.value},
           {"address", value.address},
           {"slots", value.slots},
           {"connections", value.connections}};
}

void to_json(nlohmann::json& out, asset_register const& value) {
    out = {{"failure_domains", value.failure_domains},
           {"services", value.services},
           {"targets", value.targets}};
}

} // namespace yuccabeam
