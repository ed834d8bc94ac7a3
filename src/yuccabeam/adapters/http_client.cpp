#include "yuccabeam/adapters/http_client.hpp"

#include "curl_handle.hpp"

namespace yuccabeam::adapters {

namespace {

std::size_t on_body(char* data, std::size_t, std::size_t size, void* reply) {
    static_cast<http_reply*>(reply)->body.append(data, size);
    return size;
}

std::size_t on_header(char* data, std::size_t, std::size_t size, void* reply) {
    add_header_line(*static_cast<http_reply*>(reply), {data, size});
    return size;
}

} // namespace

result<http_reply> perform(http_call const& call) {
    curl_easy_ptr easy(curl_easy_init());
    http_reply reply;
    auto const fields =
        set_request(easy.get(), call.method, call.fields, call.body);
    curl_easy_setopt(easy.get(), CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call.timeout.count()));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &reply);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &reply);
    auto const code = curl_easy_perform(easy.get());
    if (code == CURLE_OK)
        return reply;
    auto const effect = nothing_sent(easy.get(), code)
                            ? fault_code::unreachable
                            : fault_code::unknown_effect;
    return make_fault(effect, call.url + ": " + curl_easy_strerror(code));
}

} // namespace yuccabeam::adapters
