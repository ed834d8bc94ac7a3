#pragma once

#include <string>
#include <string_view>

namespace yuccabeam::daemon {

/// Field that authenticates HTTP requests between daemons.
inline constexpr std::string_view peer_auth_field = "Yuccabeam-Peer-Auth";

/// HMAC-SHA256 of the request target, in hexadecimal.
std::string peer_auth(std::string_view shared_key,
                      std::string_view request_target);

/// Compares in constant time.
bool is_peer_auth(std::string_view shared_key, std::string_view request_target,
                  std::string_view received);

} // namespace yuccabeam::daemon
