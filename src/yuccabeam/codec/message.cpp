#include "yuccabeam/codec/message.hpp"

#include "health_fields.hpp"
#include "membership_fields.hpp"

#include <utility>

namespace yuccabeam::codec {

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
    auto const handle = unpack_limited(data);
    auto const& root = handle.get();
    if (root.type != msgpack::type::ARRAY || root.via.array.size != 2 ||
        root.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER)
        return message_fault::malformed;
    // Kinds are numbered from 1.
    return read_alternative<message>(root.via.array.ptr[0].via.u64 - 1,
                                     root.via.array.ptr[1]);
}

} // namespace yuccabeam::codec
