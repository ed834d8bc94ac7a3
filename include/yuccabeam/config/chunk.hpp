#pragma once

#include "yuccabeam/values/ids.hpp"

#include <string>
#include <string_view>

namespace yuccabeam::config {

/// Address of a chunk: SHA-256 of its text, 64 hexadecimal digits.
using chunk_hash = identifier<struct chunk_tag>;

/// Address of the chunk with this text.
chunk_hash hash_of(std::string_view text);

/// Key of a chunk in the store, `chunk/<hash>`.
std::string chunk_key(chunk_hash const& hash);

/// Key of the head in the store.
inline constexpr std::string_view head_key = "head";

} // namespace yuccabeam::config
