#pragma once

#include "yuccabeam/adapters/http_types.hpp"
#include "yuccabeam/adapters/target_client.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Rules of HTTP proxying (RFC 9110, RFC 9112) as pure functions.
namespace yuccabeam::daemon {

/// Fields for the target: without hop-by-hop fields, framing and the fields
/// that this fleet sets itself.
adapters::http_fields fields_for_target(adapters::http_fields const& received);

/// Fields for the caller: without hop-by-hop fields and framing.
adapters::http_fields fields_for_caller(adapters::http_fields const& received);

/// Fields of another daemon's answer: it has set all that this fleet sets.
adapters::http_fields fields_for_relay(adapters::http_fields const& received);

/// Why a request can't be forwarded; empty when it can.
///
/// Refuses two lengths, a length with chunked framing, more than one `Host`
/// and targets that are not paths: shapes on which two parties may disagree
/// about where a request ends or where it goes.
std::string_view malformed(adapters::http_request const& request);

/// Deadline that the caller asks for, or `fallback`.
std::chrono::milliseconds requested_timeout(adapters::http_fields const& fields,
                                            std::chrono::milliseconds fallback);

/// Answer of this fleet itself: outcome `not-run` or `unknown`, the request's
/// id and a plain reason.
adapters::http_reply fault_reply(int status, std::string_view request_id,
                                 std::string_view outcome,
                                 std::string_view reason);

/// Path without query.
std::string_view path_of(std::string_view request_target);

/// State of a download that can go on at another target after a break.
struct resumable_download {
    std::string etag; ///< strong
    std::uint64_t length = 0;

    bool operator==(resumable_download const&) const = default;
};

/// A whole answer with a strong ETag, a length and `Accept-Ranges: bytes`.
std::optional<resumable_download> resumable(std::string_view method,
                                            adapters::answer_head const& head);

/// True when a 206 answer goes on exactly at `offset` of the same content.
bool continues(resumable_download const& download, std::uint64_t offset,
               adapters::answer_head const& head);

} // namespace yuccabeam::daemon
