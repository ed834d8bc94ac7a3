#include "curl_handle.hpp"

#include <charconv>
#include <cstdint>

namespace yuccabeam::adapters {

namespace {

bool is_length(std::string_view text) {
    std::uint64_t bytes = 0;
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, bytes);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

std::string_view without_line_end(std::string_view line) {
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
        line.remove_suffix(1);
    return line;
}

// 0 for a status code that doesn't have three digits.
int status_of_line(std::string_view line) {
    constexpr std::size_t digits = 3;
    auto const space = line.find(' ');
    if (space == std::string_view::npos)
        return 0;
    auto code = line.substr(space + 1);
    code = code.substr(0, code.find(' '));
    int status = 0;
    auto const* end = code.data() + code.size();
    auto const parsed = std::from_chars(code.data(), end, status);
    bool const whole = parsed.ec == std::errc() && parsed.ptr == end;
    return whole && code.size() == digits ? status : 0;
}

} // namespace

curl_slist_ptr set_request(CURL* easy, std::string const& method,
                           http_fields const& fields, std::string const& body) {
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    if (method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
        bool const has_body =
            !body.empty() || method == "POST" || method == "PUT";
        if (has_body) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
    }
    // Fields that libcurl adds by itself.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    bool has_type = false;
    bool has_accept = false;
    for (auto const& field : fields) {
        has_type = has_type || same_field_name(field.name, "Content-Type");
        has_accept = has_accept || same_field_name(field.name, "Accept");
        // libcurl removes a field that has no value after the colon, and
        // sends it empty when it ends with a semicolon.
        auto const line = field.value.empty() ? field.name + ";"
                                              : field.name + ": " + field.value;
        list = curl_slist_append(list, line.c_str());
    }
    if (!has_type)
        list = curl_slist_append(list, "Content-Type:");
    if (!has_accept)
        list = curl_slist_append(list, "Accept:");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    return curl_slist_ptr(list);
}

bool add_header_line(http_reply& reply, std::string_view line) {
    line = without_line_end(line);
    if (line.starts_with("HTTP/")) {
        reply = {};
        reply.status = status_of_line(line);
        return is_status(reply.status) && is_field_value(line) &&
               !holds_status_line(line.substr(1));
    }
    if (!is_field_line(line))
        return false;
    auto const colon = line.find(':');
    auto value = line.substr(colon + 1);
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
        value.remove_prefix(1);
    reply.fields.push_back(
        {std::string(line.substr(0, colon)), std::string(value)});
    return true;
}

bool is_field_line(std::string_view line) {
    line = without_line_end(line);
    auto const colon = line.find(':');
    return colon != std::string_view::npos &&
           is_field_name(line.substr(0, colon)) &&
           is_field_value(line.substr(colon + 1)) && !holds_status_line(line);
}

bool ends_head(std::string_view line) {
    return line == "\r\n" || line == "\n";
}

bool has_known_framing(http_fields const& fields) {
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    bool readable = true;
    for (auto const& field : fields) {
        std::string_view value = field.value;
        value = value.substr(0, value.find_last_not_of(" \t") + 1);
        if (same_field_name(field.name, "Transfer-Encoding")) {
            ++encodings;
            readable = readable && same_field_name(value, "chunked");
        } else if (same_field_name(field.name, "Content-Length")) {
            ++lengths;
            readable = readable && is_length(value);
        }
    }
    return readable && lengths + encodings <= 1;
}

bool has_framing(http_fields const& fields) {
    return !field_value(fields, "Transfer-Encoding").empty() ||
           !field_value(fields, "Content-Length").empty();
}

void answer_meter::attach(CURL* easy, answer_limits const& limits) {
    easy_ = easy;
    limits_ = limits;
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_debug);
    curl_easy_setopt(easy, CURLOPT_DEBUGDATA, this);
    curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
    curl_easy_setopt(easy, CURLOPT_XFERINFODATA, this);
    curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
    if (limits.max_body_bytes != answer_limits::unlimited)
        curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE,
                         static_cast<curl_off_t>(limits.max_body_bytes));
}

bool answer_meter::add_head_line(std::string_view line) {
    // libcurl tells received bytes with their framing in its verbose mode
    // only, which costs time that other answers need not pay.
    if (same_field_name(line.substr(0, line.find(':')), "Transfer-Encoding"))
        curl_easy_setopt(easy_, CURLOPT_VERBOSE, 1L);
    head_bytes_ += line.size();
    exceeded_ = exceeded_ || head_bytes_ > limits_.max_head_bytes;
    return !exceeded_;
}

bool answer_meter::add_body(std::size_t bytes) {
    body_bytes_ += bytes;
    exceeded_ = exceeded_ || body_bytes_ > limits_.max_body_bytes;
    return !exceeded_;
}

int answer_meter::on_debug(CURL*, curl_infotype type, char*, std::size_t size,
                           void* self) {
    if (type == CURLINFO_DATA_IN)
        static_cast<answer_meter*>(self)->framed_bytes_ += size;
    return 0;
}

int answer_meter::on_progress(void* self, curl_off_t, curl_off_t, curl_off_t,
                              curl_off_t) {
    auto& meter = *static_cast<answer_meter*>(self);
    if (meter.framed_bytes_ >
        meter.body_bytes_ + meter.limits_.max_framing_bytes)
        meter.exceeded_ = true;
    return meter.exceeded_ ? 1 : 0;
}

bool is_malformed(CURLcode code) {
    return code == CURLE_UNSUPPORTED_PROTOCOL ||
           code == CURLE_WEIRD_SERVER_REPLY;
}

bool is_too_large(CURLcode code) {
    // A header line above libcurl's limit counts as out of memory there.
    return code == CURLE_FILESIZE_EXCEEDED || code == CURLE_OUT_OF_MEMORY;
}

bool sent_whole_body(CURL* easy, std::string const& body) {
    curl_off_t sent = 0;
    curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    return sent >= static_cast<curl_off_t>(body.size());
}

bool nothing_sent(CURL* easy, CURLcode code) {
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
        code == CURLE_URL_MALFORMAT)
        return true;
    long request_bytes = 0;
    curl_off_t pretransfer_us = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
    return request_bytes == 0 && pretransfer_us == 0;
}

} // namespace yuccabeam::adapters
