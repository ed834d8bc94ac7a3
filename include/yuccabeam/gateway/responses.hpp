#pragma once

#include "yuccabeam/gateway/formats.hpp"
#include "yuccabeam/http1/client.hpp"
#include "yuccabeam/http1/server.hpp"
#include "yuccabeam/placement/outcome.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// What a target's exchange says about its request. `late` tells that the
/// target had time enough to answer, so that its timeout is its own fault.
placement::attempt_outcome classify_result(http1::client_result const& result,
                                           header_names const& headers,
                                           bool late);

/// True when passing the answer on would promise that the request has not
/// run although the target does not say so.
bool is_unmarked_refusal(http1::message_head const& head,
                         header_names const& headers);

/// A target's answer as the caller gets it.
http1::outgoing_response forwarded_response(http1::client_result result);

/// An answer of the daemon's own: a JSON body with id, outcome and reason.
http1::outgoing_response gateway_response(int status,
                                          std::string const& request_id,
                                          std::string_view reason);
/// The same with status 503: the request has not run and never will.
http1::outgoing_response
not_run_response(std::string const& request_id, std::string_view reason,
                 std::chrono::milliseconds retry_after);

} // namespace yuccabeam::gateway
