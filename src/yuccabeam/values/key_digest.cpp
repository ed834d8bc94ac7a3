#include "yuccabeam/values/key_digest.hpp"

#include <openssl/evp.h>

namespace yuccabeam {

key_digest digest_of(std::string_view key) {
    key_digest out;
    unsigned size = 0;
    EVP_Digest(key.data(), key.size(), out.bytes.data(), &size, EVP_sha256(),
               nullptr);
    return out;
}

} // namespace yuccabeam
