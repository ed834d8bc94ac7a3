#include "yuccabeam/codec/message.hpp"

#include "health_fields.hpp"
#include "membership_fields.hpp"

#include <utility>

namespace yuccabeam::codec {

namespace {

// Limit of the elements of an array or map and of the bytes of a string; a
// datagram can't hold more. The depth is that of a heartbeat's updates plus a
// margin for later versions.
constexpr std::size_t max_items = 1200;
constexpr std::size_t max_depth = 12;

// The number of a kind on the wire is its index in the variant plus 1.
template <std::size_t I>
decoded decode_as(std::size_t kind, msgpack::object const& body) {
    if constexpr (I == std::variant_size_v<message>) {
        return message_fault::unknown_kind;
    } else {
        if (kind != I + 1)
            return decode_as<I + 1>(kind, body);
        std::variant_alternative_t<I, message> value;
        reader fields(body);
        describe(fields, value);
        if (fields.failed())
            return fields.fault();
        return message(std::move(value));
    }
}

} // namespace

bytes encode(message const& value) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(2);
    out.pack(static_cast<unsigned>(value.index() + 1));
    writer fields(buffer);
    std::visit([&](auto const& m) { describe(fields, m); }, value);
    return bytes(buffer.data(), buffer.data() + buffer.size());
}

decoded decode(bytes_view data) {
    try {
        std::size_t used = 0;
        auto const handle = msgpack::unpack(
            reinterpret_cast<char const*>(data.data()), data.size(), used,
            nullptr, nullptr,
            msgpack::unpack_limit(max_items, max_items, max_items, max_items,
                                  max_items, max_depth));
        auto const& root = handle.get();
        if (used != data.size() || root.type != msgpack::type::ARRAY ||
            root.via.array.size != 2 ||
            root.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER)
            return message_fault::malformed;
        return decode_as<0>(root.via.array.ptr[0].via.u64,
                            root.via.array.ptr[1]);
    } catch (msgpack::unpack_error const&) {
        return message_fault::malformed;
    }
}

} // namespace yuccabeam::codec
