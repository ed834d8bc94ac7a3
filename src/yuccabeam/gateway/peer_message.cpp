#include "yuccabeam/gateway/peer_message.hpp"

#include "message_fields.hpp"

namespace yuccabeam::gateway {

namespace {

// First element of each message. Messages of other versions are rejected.
constexpr unsigned protocol_version = 3;
// A datagram has a version, the kind and the fields of the message.
constexpr std::size_t datagram_elements = 3;
constexpr std::size_t changes_elements = 3;
// Delivery and the receiver's event loop, usually.
constexpr duration transit_allowance = std::chrono::milliseconds(25);
// Bytes that the smallest element of an array in a body of changes takes.
constexpr std::size_t least_change_bytes = 2;

msgpack::object_array const* array_of(msgpack::object const& from,
                                      std::size_t size) {
    return from.type == msgpack::type::ARRAY && from.via.array.size == size
               ? &from.via.array
               : nullptr;
}

bool is_version(msgpack::object const& from) {
    return from.type == msgpack::type::POSITIVE_INTEGER &&
           from.via.u64 == protocol_version;
}

/// The body of a response to a daemon that is missing changes.
struct changes_record {
    unsigned version = protocol_version;
    changes_and_peers content;
};

template <class Archive, codec::record_of<changes_record> T>
void describe(Archive& archive, T& value) {
    archive.record(value.version, value.content.changes, value.content.peers);
}

} // namespace

time_point time_of_event(std::chrono::milliseconds age,
                         time_point received_at) {
    return received_at - age - transit_allowance;
}

std::vector<std::uint8_t> encode(peer_message const& message) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(datagram_elements);
    out.pack(protocol_version);
    out.pack(static_cast<unsigned>(message.index()));
    codec::writer fields(buffer);
    std::visit([&](auto const& known) { describe(fields, known); }, message);
    return {buffer.data(), buffer.data() + buffer.size()};
}

std::variant<peer_message, codec::message_fault>
decode(std::span<std::uint8_t const> bytes) {
    auto const handle = codec::unpack_limited(bytes);
    auto const* in = array_of(handle.get(), datagram_elements);
    if (!in)
        return codec::message_fault::malformed;
    if (!is_version(in->ptr[0]))
        return codec::message_fault::unknown_version;
    if (in->ptr[1].type != msgpack::type::POSITIVE_INTEGER)
        return codec::message_fault::malformed;
    return codec::read_alternative<peer_message>(in->ptr[1].via.u64, in->ptr[2],
                                                 bytes.size());
}

std::string encode_changes(mirror::store_changes const& changes,
                           std::vector<std::string> const& peers) {
    msgpack::sbuffer buffer;
    codec::writer fields(buffer);
    changes_record const record{protocol_version, {changes, peers}};
    describe(fields, record);
    return {buffer.data(), buffer.size()};
}

std::optional<changes_and_peers> decode_changes(std::string const& body) {
    auto const handle = codec::unpack_limited(
        {reinterpret_cast<std::uint8_t const*>(body.data()), body.size()},
        least_change_bytes);
    if (!array_of(handle.get(), changes_elements))
        return std::nullopt;
    changes_record out;
    codec::reader fields(handle.get(), body.size());
    describe(fields, out);
    if (fields.failed() || out.version != protocol_version)
        return std::nullopt;
    return std::move(out.content);
}

} // namespace yuccabeam::gateway
