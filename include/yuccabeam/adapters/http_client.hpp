#pragma once

#include "yuccabeam/adapters/answer_limits.hpp"
#include "yuccabeam/adapters/http_types.hpp"
#include "yuccabeam/values/fault.hpp"

#include <chrono>
#include <string>

namespace yuccabeam::adapters {

struct http_call {
    std::string method = "GET";
    std::string url;
    http_fields fields;
    std::string body;
    std::chrono::milliseconds timeout{5'000};
    answer_limits limits{.max_body_bytes = 32u << 20};
};

/// Performs one call and blocks until it ends.
///
/// Faults: `unreachable` when no byte of the request was sent,
/// `unknown_effect` when the call may have taken effect. An answer that is
/// malformed or reaches one of the limits is the latter.
result<http_reply> perform(http_call const& call);

} // namespace yuccabeam::adapters
