#include "yuccabeam/adapters/store_client.hpp"

#include "yuccabeam/adapters/http_client.hpp"
#include "yuccabeam/values/json_reader.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace yuccabeam::adapters {

namespace {

using config::versioned_value;
using config::write_outcome;

std::uint64_t version_of(http_reply const& reply) {
    return std::strtoull(
        std::string(field_value(reply.fields, "Version")).c_str(), nullptr, 10);
}

fault unexpected(http_reply const& reply) {
    return make_fault(fault_code::unreachable,
                      "the store answered with status " +
                          std::to_string(reply.status));
}

// The value in a reply; `absent` is the status that means there is none.
result<std::optional<versioned_value>> value_of(result<http_reply> reply,
                                                int absent) {
    if (!reply)
        return reply.error();
    if (reply.value().status == absent)
        return std::optional<versioned_value>();
    if (reply.value().status != 200)
        return unexpected(reply.value());
    auto const version = version_of(reply.value());
    return std::optional(
        versioned_value{std::move(reply.value().body), version});
}

write_outcome outcome_of(result<http_reply> const& reply) {
    if (!reply)
        return reply.error().code == fault_code::unreachable
                   ? write_outcome::unreachable
                   : write_outcome::unknown_effect;
    switch (reply.value().status) {
    case 200:
        return write_outcome::done;
    case 404:
    case 409:
        return write_outcome::conflict;
    case 413: // too large, never written
    case 503: // declined before the write
        return write_outcome::unreachable;
    default:
        return write_outcome::unknown_effect;
    }
}

http_call write_call(std::string method, std::string url, std::string value,
                     std::uint64_t version, store_client_options options) {
    http_call call;
    call.method = std::move(method);
    call.url = std::move(url);
    call.body = std::move(value);
    call.timeout = options.timeout;
    call.fields = {{"If-Version", std::to_string(version)}};
    return call;
}

// Empty for an entry that names no VM.
std::optional<listed_vm> read_vm(nlohmann::json const& entry) {
    std::vector<json_fault> faults;
    json_reader reader(entry, "", faults);
    listed_vm out;
    out.id = reader.string_or("id", "");
    out.address = reader.string_or("address", "");
    out.role = reader.string_or("role", "");
    out.failure_domain = reader.string_or("failure_domain", "");
    out.leaving = reader.boolean_or("leaving", false);
    if (!faults.empty())
        return std::nullopt;
    return out;
}

} // namespace

store_client::store_client(std::string address, store_client_options options)
    : base_("http://" + address + "/v1/"), options_(options) {}

result<std::optional<versioned_value>>
store_client::read(std::string const& key) {
    http_call call;
    call.url = base_ + "kv/" + key;
    call.timeout = options_.timeout;
    return value_of(perform(call), 404);
}

write_outcome store_client::create(std::string const& key,
                                   std::string const& value) {
    return replace(key, value, 0);
}

write_outcome store_client::create_leased(std::string const& key,
                                          std::string const& value,
                                          std::chrono::milliseconds lease) {
    auto call = write_call("PUT", base_ + "kv/" + key, value, 0, options_);
    call.fields.push_back({"Lease-Ms", std::to_string(lease.count())});
    return outcome_of(perform(call));
}

write_outcome store_client::replace(std::string const& key,
                                    std::string const& value,
                                    std::uint64_t version) {
    return outcome_of(perform(
        write_call("PUT", base_ + "kv/" + key, value, version, options_)));
}

write_outcome store_client::remove(std::string const& key,
                                   std::uint64_t version) {
    return outcome_of(perform(
        write_call("DELETE", base_ + "kv/" + key, "", version, options_)));
}

result<std::optional<versioned_value>>
store_client::watch(std::string const& key, std::uint64_t after,
                    std::chrono::milliseconds wait) {
    http_call call;
    call.url = base_ + "watch/" + key + "?after=" + std::to_string(after) +
               "&wait_ms=" + std::to_string(wait.count());
    call.timeout = wait + options_.timeout;
    return value_of(perform(call), 204);
}

result<std::vector<listed_vm>> store_client::vms() {
    http_call call;
    call.url = base_ + "vms";
    call.timeout = options_.timeout;
    auto const reply = perform(call);
    if (!reply)
        return reply.error();
    std::vector<json_fault> faults;
    auto const list = parse_json(reply.value().body, faults);
    if (reply.value().status != 200 || !list || !list->is_array())
        return unexpected(reply.value());
    std::vector<listed_vm> out;
    for (auto const& entry : *list)
        if (auto vm = read_vm(entry))
            out.push_back(std::move(*vm));
    return out;
}

} // namespace yuccabeam::adapters
