#pragma once

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
/// that interim answers are dropped.
void add_header_line(http_reply& reply, std::string_view line);

/// True when a failed transfer sent no byte of its request.
bool nothing_sent(CURL* easy, CURLcode code);

} // namespace yuccabeam::adapters
