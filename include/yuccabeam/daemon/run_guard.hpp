#pragma once

#include "yuccabeam/retry/ticket_table.hpp"
#include "yuccabeam/values/time.hpp"

#include <functional>
#include <memory>

namespace yuccabeam::daemon {

/// Permission to run one keyed request; see `tickets` and `key_claims`.
class run_guard {
public:
    /// Gets the outcome that the caller may be told.
    using settled = std::function<void(retry::run_outcome)>;

    virtual ~run_guard() = default;

    /// Whether the permission certainly holds until `deadline`. Asked just
    /// before sending, since this process may have been paused.
    virtual bool may_send(time_point now, time_point deadline) const = 0;

    /// Records the outcome. `not_run` comes back as `unknown` when the key
    /// can't be freed.
    virtual void end(retry::run_outcome outcome, int status, settled done) = 0;
};

using run_guard_ptr = std::shared_ptr<run_guard>;

} // namespace yuccabeam::daemon
