// Decoders of the gateway's messages: datagrams and bodies of changes.

#include "yuccabeam/gateway/peer_message.hpp"

#include <cstdlib>
#include <string>

using namespace yuccabeam;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size) {
    // What was decoded must survive another round.
    auto const first = gateway::decode({data, size});
    if (auto const* message = std::get_if<gateway::peer_message>(&first)) {
        auto const second = gateway::decode(gateway::encode(*message));
        if (!std::holds_alternative<gateway::peer_message>(second) ||
            !(std::get<gateway::peer_message>(second) == *message))
            std::abort();
    }
    auto const changes =
        gateway::decode_changes({reinterpret_cast<char const*>(data), size});
    if (changes) {
        auto const again = gateway::decode_changes(
            gateway::encode_changes(changes->changes, changes->peers));
        if (!again || !(again->changes == changes->changes) ||
            again->peers != changes->peers)
            std::abort();
    }
    return 0;
}
