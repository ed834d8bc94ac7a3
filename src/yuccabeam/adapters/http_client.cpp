#include "yuccabeam/adapters/http_client.hpp"

#include "curl_handle.hpp"

namespace yuccabeam::adapters {

namespace {

struct transfer {
    http_reply reply;
    answer_meter meter;
    bool head_complete = false;
    bool malformed = false;

    // False ends the call.
    bool add_head_line(std::string_view line) {
        if (!meter.add_head_line(line))
            return false;
        if (!ends_head(line)) {
            // Fields after the body are trailers; they are dropped.
            malformed = head_complete ? !is_field_line(line)
                                      : !add_header_line(reply, line);
            return !malformed;
        }
        if (head_complete)
            return true;
        head_complete = reply.status >= 200;
        malformed = head_complete && !has_known_framing(reply.fields);
        return !malformed;
    }
};

std::size_t on_body(char* data, std::size_t, std::size_t size, void* self) {
    auto& transfer = *static_cast<struct transfer*>(self);
    if (!transfer.meter.add_body(size))
        return 0;
    transfer.reply.body.append(data, size);
    return size;
}

std::size_t on_header(char* data, std::size_t, std::size_t size, void* self) {
    auto& transfer = *static_cast<struct transfer*>(self);
    return transfer.add_head_line({data, size}) ? size : 0;
}

char const* reason_of(transfer const& transfer, CURLcode code) {
    if (transfer.meter.exceeded())
        return "the answer is larger than its limits";
    if (transfer.malformed)
        return "the answer is not valid HTTP";
    if (code == CURLE_OK)
        return "the connection closed inside the answer";
    return curl_easy_strerror(code);
}

} // namespace

result<http_reply> perform(http_call const& call) {
    curl_easy_ptr easy(curl_easy_init());
    transfer transfer;
    auto const fields =
        set_request(easy.get(), call.method, call.fields, call.body);
    transfer.meter.attach(easy.get(), call.limits);
    curl_easy_setopt(easy.get(), CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call.timeout.count()));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &transfer);
    auto const code = curl_easy_perform(easy.get());
    if (code == CURLE_OK && transfer.head_complete &&
        (has_framing(transfer.reply.fields) ||
         sent_whole_body(easy.get(), call.body)))
        return std::move(transfer.reply);
    auto const effect = nothing_sent(easy.get(), code)
                            ? fault_code::unreachable
                            : fault_code::unknown_effect;
    return make_fault(effect, call.url + ": " + reason_of(transfer, code));
}

} // namespace yuccabeam::adapters
