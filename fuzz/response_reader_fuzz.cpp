// Reader of a response among the bytes of a connection. The first byte says
// how the rest is divided and whether the response has a body.

#include "yuccabeam/http1/response_reader.hpp"

#include <cstdint>
#include <cstdlib>

using namespace yuccabeam::http1;

namespace {

response_reader_options awaited(bool without_body) {
    response_reader_options out;
    out.without_body = without_body;
    out.match_field = "Id";
    out.match_value = "mine";
    return out;
}

void require(bool condition) {
    if (!condition)
        std::abort();
}

// A response may be taken only when it is whole and bears no id but its own.
void check(response_reader const& reader, bool without_body) {
    if (reader.state() != reading_state::complete)
        return;
    auto const& head = reader.head;
    require(head.status >= 200 && yuccabeam::adapters::is_status(head.status));
    require(field_value(head.fields, "Id") == "mine");
    for (auto const& field : head.fields) {
        require(!same_field_name(field.name, "Id") || field.value == "mine");
        require(yuccabeam::adapters::is_field_name(field.name));
        require(yuccabeam::adapters::is_field_value(field.value));
    }
    if (without_body)
        require(reader.body.empty());
    else if (head.framing == body_framing::length)
        require(reader.body.size() == head.content_length);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size) {
    if (size == 0)
        return 0;
    bool const without_body = (data[0] & 1U) != 0;
    std::size_t const part = 1 + (data[0] >> 1U);
    std::string_view const bytes(reinterpret_cast<char const*>(data) + 1,
                                 size - 1);

    response_reader whole(awaited(without_body));
    whole.feed(bytes);
    response_reader divided(awaited(without_body));
    for (std::size_t at = 0; at < bytes.size(); at += part)
        divided.feed(bytes.substr(at, part));
    check(whole, without_body);
    check(divided, without_body);
    whole.end_of_input();
    divided.end_of_input();
    check(whole, without_body);
    require(whole.state() == divided.state());
    require(whole.head.status == divided.head.status);
    require(whole.body == divided.body);
    require(whole.stray_seen() == divided.stray_seen());
    return 0;
}
