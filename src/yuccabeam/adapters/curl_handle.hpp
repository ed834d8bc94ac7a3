#pragma once

#include "yuccabeam/adapters/answer_limits.hpp"
#include "yuccabeam/adapters/http_types.hpp"

#include <curl/curl.h>
#include <memory>
#include <string>
#include <string_view>

namespace yuccabeam::adapters {

struct curl_easy_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct curl_slist_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
struct curl_multi_deleter {
    void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};

using curl_easy_ptr = std::unique_ptr<CURL, curl_easy_deleter>;
using curl_slist_ptr = std::unique_ptr<curl_slist, curl_slist_deleter>;
using curl_multi_ptr = std::unique_ptr<CURLM, curl_multi_deleter>;

/// Sets method, fields and body. `body` must outlive the transfer. Returns
/// the field list, which must outlive it too.
curl_slist_ptr set_request(CURL* easy, std::string const& method,
                           http_fields const& fields, std::string const& body);

/// Adds one raw header line to `reply`. A status line starts a new head, so
/// that interim answers are dropped. Returns false for a line that is no HTTP,
/// which libcurl passes on all the same.
bool add_header_line(http_reply& reply, std::string_view line);

/// True for a raw line that holds one field, such as a trailer.
bool is_field_line(std::string_view line);

/// True for the empty line behind a head. libcurl reports success for an
/// answer whose connection closes before that line.
bool ends_head(std::string_view line);

/// Whether the fields say in one way where the body ends: by a length, by
/// plain chunks or by the connection's end. libcurl accepts others, such as a
/// length with a rest behind the number.
bool has_known_framing(http_fields const& fields);

/// Whether the fields give the body a length or chunks.
bool has_framing(http_fields const& fields);

/// Counts the bytes of one transfer's answer and ends the transfer when one
/// of the limits is reached.
class answer_meter {
public:
    /// Sets the callbacks that count chunk framing. The meter must outlive
    /// the transfer.
    void attach(CURL* easy, answer_limits const& limits);

    /// Each takes bytes of its kind; false when their limit is reached.
    bool add_head_line(std::string_view line);
    bool add_body(std::size_t bytes);

    bool exceeded() const { return exceeded_; }

private:
    static int on_debug(CURL*, curl_infotype type, char*, std::size_t size,
                        void* self);
    static int on_progress(void* self, curl_off_t, curl_off_t, curl_off_t,
                           curl_off_t);

    CURL* easy_ = nullptr;
    answer_limits limits_;
    std::uint64_t head_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
    std::uint64_t framed_bytes_ = 0; ///< body with its chunk framing
    bool exceeded_ = false;
};

/// True when libcurl ended a transfer for bytes that are no answer.
bool is_malformed(CURLcode code);

/// True when libcurl ended a transfer at a limit of its own.
bool is_too_large(CURLcode code);

/// True when the whole body of the request was handed to the connection. Only
/// then does the connection's end show that an answer without a length is
/// whole: a write that fails with a reset takes the error from the next read.
bool sent_whole_body(CURL* easy, std::string const& body);

/// True when a failed transfer sent no byte of its request.
bool nothing_sent(CURL* easy, CURLcode code);

} // namespace yuccabeam::adapters
