#pragma once

#include "yuccabeam/retry/ticket.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace yuccabeam::retry {

enum class ticket_use : std::uint8_t {
    run,         ///< run it now, then call `finish`
    in_progress, ///< answer unknown: the first use still runs
    already_ran, ///< answer with the recorded status; never run
    unknown      ///< answer unknown; never run
};

struct ticket_answer {
    ticket_use use = ticket_use::unknown;
    int status = 0; ///< recorded HTTP status of `already_ran`

    bool operator==(ticket_answer const&) const = default;
};

enum class run_outcome : std::uint8_t {
    ran,     ///< a complete response came back
    not_run, ///< provably not run: the ticket may be used again
    unknown
};

struct ticket_table_options {
    std::size_t capacity = 65536; ///< used serials that are remembered
};

/// The owner's record of its tickets of one incarnation.
///
/// A serial runs at most once. When the table is full the lowest used serial
/// is forgotten and the low-water mark rises above it; a serial below the
/// mark is unknown whether it was used or not.
class ticket_table {
public:
    ticket_table(daemon_id self, incarnation self_incarnation,
                 ticket_table_options options = {});

    /// A new ticket, valid until its first use or the low-water mark.
    ticket issue();

    /// Asks whether a verified ticket may run now, and marks it as running.
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
