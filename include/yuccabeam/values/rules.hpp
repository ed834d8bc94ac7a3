#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/json_reader.hpp"
#include "yuccabeam/values/time.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam {

/// Trade-off between fast failure detection and few false ejections.
enum class ejection_policy { detect_fast, eject_carefully };

/// Priority class in which queued requests are served under load.
enum class priority { interactive, normal, bulk };

enum class idempotence {
    by_method, ///< GET, HEAD, OPTIONS, PUT, DELETE, TRACE are idempotent
    always,
    never
};

/// Weighted destination of a route that splits its requests among services.
struct destination {
    service_id service;
    std::uint32_t weight = 1;

    auto operator<=>(destination const&) const = default;
};

/// Maps requests to a service. Metrics and health evidence use the route's id
/// as the kind of request.
struct route {
    route_id id;
    std::string host; ///< empty: any host
    std::string path_prefix;
    service_id service;
    yuccabeam::priority priority = priority::normal;
    yuccabeam::idempotence idempotence = idempotence::by_method;
    /// Default timeout of a request that doesn't set a deadline.
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
    bool hedge = false;
    /// Services among which the requests are split by weight; if empty, all
    /// requests go to `service`.
    std::vector<destination> destinations = {};
    /// Maximum number of targets to which one request is sent, first attempt
    /// included.
    std::uint32_t max_attempts = 2;
    /// Latency objective: a later response is worth less. 0: no objective
    /// other than the request's deadline, `timeout` by default.
    std::chrono::milliseconds latency_objective{0};
    /// Fine-grained priority, 0 is the highest; `priority` has only three
    /// classes.
    std::uint32_t rank = 1;
    bool large_answers = false;  ///< large responses, such as downloads
    bool large_requests = false; ///< large request bodies, such as uploads
    bool anonymous = false;      ///< serves requests without an account

    auto operator<=>(route const&) const = default;
};

/// Client account and its weight in sharing capacity under contention.
struct account {
    account_id id;
    std::uint32_t weight = 1;

    auto operator<=>(account const&) const = default;
};

struct rules {
    ejection_policy policy = ejection_policy::eject_carefully;
    std::vector<route> routes;
    std::vector<account> accounts;

    bool operator==(rules const&) const = default;
};

route parse_route(json_reader& reader);
account parse_account(json_reader& reader);
ejection_policy parse_policy(json_reader& reader);
rules parse_rules(json_reader& reader);

/// The class of a fine-grained priority, of which 0 is the highest.
priority priority_of_rank(std::uint32_t rank);

std::string_view to_string(ejection_policy value);
std::string_view to_string(priority value);
std::string_view to_string(idempotence value);

void to_json(nlohmann::json& out, route const& value);
void to_json(nlohmann::json& out, account const& value);
void to_json(nlohmann::json& out, rules const& value);

/// Returns whether repeating the request has no additional effect.
bool is_idempotent(route const& route, std::string_view method);

} // namespace yuccabeam
