#pragma once

#include "yuccabeam/gateway/counters.hpp"
#include "yuccabeam/gateway/peer_table.hpp"
#include "yuccabeam/mirror/store_mirror.hpp"
#include "yuccabeam/placement/repeat_budget.hpp"
#include "yuccabeam/telemetry/event_log.hpp"
#include "yuccabeam/values/ids.hpp"

#include <map>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

/// Counts of a service that are due to be kept in the store.
struct repeat_note {
    std::string key;
    std::string value;
};

/// The fleet's budgets for repeats, one for each service, and the notes in
/// the store by which they survive a loss of the whole fleet.
class repeat_ledger {
public:
    repeat_ledger(placement::repeat_budget_options options,
                  std::string notes_prefix)
        : options_(options), prefix_(std::move(notes_prefix)) {}

    placement::repeat_budget& of(service_id const& id);
    bool allows(service_id const& id, peer_table const& peers, time_point now);
    std::map<service_id, placement::repeat_counts> own(time_point now) const;
    /// Requests per second over the fleet.
    std::map<service_id, double> fleet_rates(time_point now) const;

    /// Takes what the fleet has repeated shortly before this daemon started:
    /// after a loss of the whole fleet nobody else knows it. Later calls do
    /// nothing.
    void read_notes(mirror::store_mirror const& store,
                    telemetry::event_log& log, counters& counters,
                    time_point now);
    std::vector<repeat_note> due_notes(time_point now);

private:
    placement::repeat_budget_options options_;
    std::string prefix_;
    std::map<service_id, placement::repeat_budget> budgets_;
    bool notes_read_ = false;
};

/// Counts as they are kept in the store. The key has a lease of one window,
/// so that a note that is there is recent.
std::string write_repeat_note(placement::repeat_counts const& counts);

/// Empty for a text that is no note.
std::optional<placement::repeat_counts>
read_repeat_note(std::string const& text);

} // namespace yuccabeam::gateway
