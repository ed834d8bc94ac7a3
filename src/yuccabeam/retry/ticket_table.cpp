#include "yuccabeam/retry/ticket_table.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::retry {

ticket_table::ticket_table(daemon_id self, incarnation self_incarnation,
                           ticket_table_options options)
    : self_(std::move(self)), incarnation_(self_incarnation),
      options_(options) {
    options_.capacity = std::max<std::size_t>(1, options_.capacity);
}

ticket ticket_table::issue() {
    return {self_, incarnation_, next_serial_++};
}

bool ticket_table::is_own(ticket const& ticket) const {
    return ticket.owner == self_ && ticket.incarnation == incarnation_;
}

ticket_answer ticket_table::use(ticket const& ticket) {
    auto const serial = ticket.serial;
    if (!is_own(ticket) || serial < low_water_ || serial >= next_serial_)
        return {ticket_use::unknown, 0};
    if (auto const found = used_.find(serial); found != used_.end()) {
        auto& record = found->second;
        switch (record.state) {
        case serial_state::running:
            return {ticket_use::in_progress, 0};
        case serial_state::ran:
            return {ticket_use::already_ran, record.status};
        case serial_state::unknown:
            return {ticket_use::unknown, 0};
        case serial_state::not_run:
            record.state = serial_state::running;
            return {ticket_use::run, 0};
        }
    }
    if (used_.size() >= options_.capacity) {
        auto const lowest = used_.begin();
        // Evicting a higher serial would put this one below the low-water
        // mark.
        if (serial < lowest->first)
            return {ticket_use::unknown, 0};
        low_water_ = lowest->first + 1;
        used_.erase(lowest);
    }
    used_.emplace(serial, record{});
    return {ticket_use::run, 0};
}

void ticket_table::finish(ticket const& ticket, run_outcome outcome,
                          int status) {
    if (!is_own(ticket))
        return;
    auto const found = used_.find(ticket.serial);
    if (found == used_.end() || found->second.state != serial_state::running)
        return;
    auto& record = found->second;
    record.status = status;
    switch (outcome) {
    case run_outcome::ran:
        record.state = serial_state::ran;
        break;
    case run_outcome::not_run:
        record.state = serial_state::not_run;
        break;
    case run_outcome::unknown:
        record.state = serial_state::unknown;
        break;
    }
}

} // namespace yuccabeam::retry
