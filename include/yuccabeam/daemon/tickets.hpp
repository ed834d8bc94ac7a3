#pragma once

#include "yuccabeam/daemon/run_guard.hpp"
#include "yuccabeam/retry/ticket.hpp"
#include "yuccabeam/retry/ticket_table.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace yuccabeam::daemon {

/// This daemon's tickets; safe for use by several threads.
class tickets : public std::enable_shared_from_this<tickets> {
public:
    tickets(daemon_id self, incarnation self_incarnation, std::string key);

    /// Text of a new ticket.
    std::string issue();

    /// Verifies a ticket of any daemon.
    result<retry::ticket> parse(std::string_view text) const;

    /// Uses a ticket of this daemon: a permission, or why there is none.
    std::variant<run_guard_ptr, retry::ticket_answer>
    use(retry::ticket const& ticket);

    /// Records the outcome of a permitted run.
    void finish(retry::ticket const& ticket, retry::run_outcome outcome,
                int status);

private:
    std::string key_;
    std::mutex mutex_;
    retry::ticket_table table_;
};

} // namespace yuccabeam::daemon
