#pragma once

#include "yuccabeam/values/ids.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::daemon {

/// One attempt of a request, for explanations.
struct logged_attempt {
    target_id target;
    std::string outcome;
    duration after{}; ///< from the request's arrival to the attempt's end

    bool operator==(logged_attempt const&) const = default;
};

/// What became of one request.
struct logged_request {
    std::string id;
    service_id service;
    route_id kind;
    std::string method;
    bool idempotent = false;
    std::string outcome; ///< `answered`, `not-run`, `unknown`, `broken`
    int status = 0;      ///< 0: no head was sent
    std::string reason;
    duration total{};
    std::vector<logged_attempt> attempts;

    bool operator==(logged_request const&) const = default;
};

/// The most recent requests of a daemon, in memory only.
class request_log {
public:
    explicit request_log(std::size_t capacity = 4096) : capacity_(capacity) {}

    void add(logged_request request);

    /// The request with this id, unless it is too long ago.
    std::optional<logged_request> find(std::string const& id) const;

private:
    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::vector<logged_request> ring_;
    std::size_t next_ = 0;
};

} // namespace yuccabeam::daemon
