#include "yuccabeam/codec/envelope.hpp"

#include <algorithm>
#include <limits>
#include <msgpack.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <optional>
#include <utility>

namespace yuccabeam::codec {

namespace {

constexpr std::size_t mac_bytes = 32;
// MessagePack header of a binary value of 32 bytes.
constexpr std::array<std::uint8_t, 2> mac_field_header = {0xc4, mac_bytes};
constexpr std::size_t mac_field_bytes = mac_field_header.size() + mac_bytes;
constexpr std::size_t field_count = 7;

using mac = std::array<std::uint8_t, mac_bytes>;

mac authenticate(std::string const& secret, bytes_view data) {
    mac out{};
    unsigned size = mac_bytes;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         data.data(), data.size(), out.data(), &size);
    return out;
}

drop_reason to_drop_reason(message_fault fault) {
    switch (fault) {
    case message_fault::unknown_kind:
        return drop_reason::unknown_kind;
    case message_fault::out_of_range:
        return drop_reason::out_of_range;
    case message_fault::malformed:
    case message_fault::unknown_version:
        break;
    }
    return drop_reason::malformed;
}

struct fields {
    std::uint64_t version = 0;
    std::string deployment;
    daemon_id sender;
    incarnation start = 0;
    std::uint64_t counter = 0;
    bytes payload;
};

std::optional<fields> parse(bytes_view datagram) {
    try {
        std::size_t used = 0;
        auto const handle = msgpack::unpack(
            reinterpret_cast<char const*>(datagram.data()), datagram.size(),
            used, nullptr, nullptr,
            msgpack::unpack_limit(field_count, 0, max_datagram_bytes,
                                  max_datagram_bytes, 0, 2));
        auto const& root = handle.get();
        if (used != datagram.size() || root.type != msgpack::type::ARRAY ||
            root.via.array.size != field_count)
            return std::nullopt;
        auto const* item = root.via.array.ptr;
        auto const is = [&](std::size_t i, auto type) {
            return item[i].type == type;
        };
        using namespace msgpack::type;
        if (!is(0, POSITIVE_INTEGER) || !is(1, STR) || !is(2, STR) ||
            !is(3, POSITIVE_INTEGER) || !is(4, POSITIVE_INTEGER) || !is(5, BIN))
            return std::nullopt;
        auto const text = [&](std::size_t i) {
            return std::string(item[i].via.str.ptr, item[i].via.str.size);
        };
        auto const& payload = item[5].via.bin;
        return fields{
            item[0].via.u64, text(1),
            {text(2)},       item[3].via.u64,
            item[4].via.u64, bytes(payload.ptr, payload.ptr + payload.size)};
    } catch (msgpack::unpack_error const&) {
        return std::nullopt;
    }
}

} // namespace

std::string_view to_string(drop_reason reason) {
    constexpr std::array<std::string_view, drop_reason_count> names = {
        "oversized",     "wrong_key",         "malformed",
        "wrong_version", "wrong_deployment",  "unknown_kind",
        "out_of_range",  "stale_incarnation", "replayed"};
    return names[static_cast<std::size_t>(reason)];
}

sealer::sealer(deployment_key key, daemon_id sender, incarnation start)
    : key_(std::move(key)), sender_(std::move(sender)), incarnation_(start) {}

bytes sealer::header(message const& value, std::uint64_t counter) const {
    bytes const payload = encode(value);
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(field_count);
    out.pack(envelope_version);
    out.pack(key_.deployment);
    out.pack(sender_.value);
    out.pack(incarnation_);
    out.pack(counter);
    out.pack_bin(static_cast<std::uint32_t>(payload.size()));
    out.pack_bin_body(reinterpret_cast<char const*>(payload.data()),
                      static_cast<std::uint32_t>(payload.size()));
    return bytes(buffer.data(), buffer.data() + buffer.size());
}

bool sealer::fits(message const& value) const {
    // The largest counter has the longest encoding, so the result is valid for
    // every counter.
    auto const widest = std::numeric_limits<std::uint64_t>::max();
    return header(value, widest).size() + mac_field_bytes <= max_datagram_bytes;
}

result<bytes> sealer::seal(message const& value) {
    bytes datagram = header(value, counter_ + 1);
    if (datagram.size() + mac_field_bytes > max_datagram_bytes)
        return make_fault(
            fault_code::invalid_input,
            "message of " + std::to_string(datagram.size() + mac_field_bytes) +
                " bytes exceeds a datagram");
    ++counter_;
    mac const tag = authenticate(key_.secret, datagram);
    datagram.insert(datagram.end(), mac_field_header.begin(),
                    mac_field_header.end());
    datagram.insert(datagram.end(), tag.begin(), tag.end());
    return datagram;
}

void sealer::set_incarnation(incarnation start) {
    incarnation_ = start;
}

opener::opener(deployment_key key, std::size_t max_senders)
    : key_(std::move(key)), replays_(max_senders) {}

std::variant<authenticated_message, drop_reason>
opener::open(bytes_view datagram) {
    auto const drop = [&](drop_reason reason) {
        ++dropped_[static_cast<std::size_t>(reason)];
        return reason;
    };
    if (datagram.size() > max_datagram_bytes)
        return drop(drop_reason::oversized);
    if (datagram.size() <= mac_field_bytes)
        return drop(drop_reason::malformed);
    auto const authenticated_part =
        datagram.first(datagram.size() - mac_field_bytes);
    auto const mac_field = datagram.last(mac_field_bytes);
    // Nothing is parsed before the HMAC proves that the sender has the key.
    mac const expected = authenticate(key_.secret, authenticated_part);
    if (!std::equal(mac_field_header.begin(), mac_field_header.end(),
                    mac_field.begin()) ||
        CRYPTO_memcmp(expected.data(),
                      mac_field.data() + mac_field_header.size(),
                      mac_bytes) != 0)
        return drop(drop_reason::wrong_key);
    auto envelope = parse(datagram);
    if (!envelope)
        return drop(drop_reason::malformed);
    if (envelope->version != envelope_version)
        return drop(drop_reason::wrong_version);
    if (envelope->deployment != key_.deployment)
        return drop(drop_reason::wrong_deployment);
    switch (
        replays_.accept(envelope->sender, envelope->start, envelope->counter)) {
    case freshness::stale_incarnation:
        return drop(drop_reason::stale_incarnation);
    case freshness::replayed:
        return drop(drop_reason::replayed);
    case freshness::fresh:
        break;
    }
    auto payload = decode(envelope->payload);
    if (auto const* fault = std::get_if<message_fault>(&payload))
        return drop(to_drop_reason(*fault));
    return authenticated_message{std::move(envelope->sender), envelope->start,
                                 envelope->counter,
                                 std::get<message>(std::move(payload))};
}

std::uint64_t opener::dropped(drop_reason reason) const {
    return dropped_[static_cast<std::size_t>(reason)];
}

} // namespace yuccabeam::codec
