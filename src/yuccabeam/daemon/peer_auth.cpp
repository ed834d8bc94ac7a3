#include "yuccabeam/daemon/peer_auth.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace yuccabeam::daemon {

std::string peer_auth(std::string_view shared_key,
                      std::string_view request_target) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned size = 0;
    HMAC(EVP_sha256(), shared_key.data(), static_cast<int>(shared_key.size()),
         reinterpret_cast<unsigned char const*>(request_target.data()),
         request_target.size(), mac.data(), &size);
    std::string text;
    for (unsigned i = 0; i < size; ++i) {
        text += digits[mac[i] >> 4];
        text += digits[mac[i] & 0xF];
    }
    return text;
}

bool is_peer_auth(std::string_view shared_key, std::string_view request_target,
                  std::string_view received) {
    auto const expected = peer_auth(shared_key, request_target);
    return expected.size() == received.size() &&
           CRYPTO_memcmp(expected.data(), received.data(), expected.size()) ==
               0;
}

} // namespace yuccabeam::daemon
