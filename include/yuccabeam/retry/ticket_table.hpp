#pragma once

#include "yuccabeam/retry/ticket.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace yuccabeam::retry {

enum class ticket_use : std::uint8_t {
    run,         ///< run it now, then call `finish`
    in_progress, ///< answer unknown: the first use is still in flight
    already_ran, ///< answer with the recorded status, don't run
    unknown      ///< answer unknown, don't run
};

struct ticket_answer {
    ticket_use use = ticket_use::unknown;
    int status = 0; ///< recorded HTTP status of `already_ran`

    bool operator==(ticket_answer const&) const = default;
};

enum class run_outcome : std::uint8_t {
    ran,     ///< a complete response was received
    not_run, ///< certainly not run: the ticket may be used again
    unknown
};

struct ticket_table_options {
    std::size_t capacity = 65536; ///< used serials that are kept
};

/// The owner's record of the tickets that it issued in one incarnation.
///
/// A serial runs at most once. When the table is full, the lowest used serial
/// is evicted and the low-water mark rises above it. Every serial below the
/// mark is answered as unknown, whether or not it was used.
class ticket_table {
public:
    ticket_table(daemon_id self, incarnation self_incarnation,
                 ticket_table_options options = {});

    /// Issues a ticket. It is valid until it is used or the low-water mark
    /// passes it.
    ticket issue();

    /// Returns whether a verified ticket may run now; if so, marks it as
    /// running.
    ticket_answer use(ticket const& ticket);

    /// Records the outcome of a run that `use` allowed.
    void finish(ticket const& ticket, run_outcome outcome, int status = 0);

    std::uint64_t low_water() const { return low_water_; }
    std::size_t size() const { return used_.size(); }

private:
    enum class serial_state : std::uint8_t { running, ran, not_run, unknown };
    struct record {
        serial_state state = serial_state::running;
        int status = 0;
    };

    bool is_own(ticket const& ticket) const;

    daemon_id self_;
    yuccabeam::incarnation incarnation_;
    ticket_table_options options_;
    std::uint64_t next_serial_ = 1;
    std::uint64_t low_water_ = 1;
    std::map<std::uint64_t, record> used_;
};

} // namespace yuccabeam::retry
