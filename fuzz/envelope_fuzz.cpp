// Decoders of envelopes and peer messages. The input is taken three times:
// as a datagram from a stranger, as the signed part of a datagram whose HMAC
// is made right, and as a payload.

#include "yuccabeam/codec/envelope.hpp"

#include <cstdint>
#include <cstdlib>
#include <openssl/evp.h>
#include <openssl/hmac.h>

using namespace yuccabeam;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size) {
    static codec::deployment_key const key{"d", "k"};
    codec::opener stranger(key);
    // Nobody without the key may get a message accepted.
    if (std::holds_alternative<codec::authenticated_message>(
            stranger.open({data, size})))
        std::abort();

    codec::bytes datagram(data, data + size);
    std::uint8_t tag[32];
    unsigned length = sizeof tag;
    HMAC(EVP_sha256(), key.secret.data(), 1, data, size, tag, &length);
    datagram.insert(datagram.end(), {0xc4, 0x20});
    datagram.insert(datagram.end(), tag, tag + sizeof tag);
    codec::opener peer(key);
    (void)peer.open(datagram);

    // What was decoded must survive another round.
    auto const first = codec::decode({data, size});
    if (auto const* message = std::get_if<codec::message>(&first)) {
        auto const second = codec::decode(codec::encode(*message));
        if (!(std::get<codec::message>(second) == *message))
            std::abort();
    }
    return 0;
}
