#pragma once

#include "yuccabeam/daemon/request_log.hpp"
#include "yuccabeam/daemon/service_pool.hpp"
#include "yuccabeam/health/status.hpp"

#include <string>

/// Sentences for operators who are not specialists.
namespace yuccabeam::daemon {

/// Such as `3 s` or `250 ms`.
std::string words_of(duration value);

std::string sentences_of(health::explanation const& why, time_point now);
std::string sentences_of(pool_status const& status);
std::string sentences_of(logged_request const& request);

} // namespace yuccabeam::daemon
