#include "yuccabeam/gateway/repeat_ledger.hpp"

#include <nlohmann/json.hpp>

namespace yuccabeam::gateway {

placement::repeat_budget& repeat_ledger::of(service_id const& id) {
    return budgets_.try_emplace(id, options_).first->second;
}

bool repeat_ledger::allows(service_id const& id, peer_table const& peers,
                           time_point now) {
    return of(id).allows(now, peers.known_count() + 1, peers.live_count(now));
}

std::map<service_id, placement::repeat_counts>
repeat_ledger::own(time_point now) const {
    std::map<service_id, placement::repeat_counts> out;
    for (auto const& [service, budget] : budgets_)
        out[service] = budget.own(now);
    return out;
}

std::map<service_id, double> repeat_ledger::fleet_rates(time_point now) const {
    std::map<service_id, double> out;
    for (auto const& [service, budget] : budgets_)
        out[service] = budget.fleet_requests(now) / to_seconds(budget.window());
    return out;
}

void repeat_ledger::read_notes(mirror::store_mirror const& store,
                               telemetry::event_log& log, counters& counters,
                               time_point now) {
    if (std::exchange(notes_read_, true))
        return;
    for (auto const* item : store.with_prefix(prefix_)) {
        auto const counts = read_repeat_note(item->value);
        service_id const service{item->key.substr(prefix_.size())};
        if (!counts) {
            counters.count("repeat_notes_rejected");
            continue;
        }
        of(service).on_history(*counts, now);
        log.write("repeats_remembered",
                  {{"service", service.value},
                   {"repeats", std::to_string(counts->repeats)},
                   {"requests", std::to_string(counts->requests)},
                   {"store_revision", std::to_string(item->revision)}});
    }
}

std::vector<repeat_note> repeat_ledger::due_notes(time_point now) {
    std::vector<repeat_note> out;
    for (auto& [service, budget] : budgets_)
        if (auto const counts = budget.take_note(now))
            out.push_back(
                {prefix_ + service.value, write_repeat_note(*counts)});
    return out;
}

std::string write_repeat_note(placement::repeat_counts const& counts) {
    return nlohmann::json{{"requests", counts.requests},
                          {"repeats", counts.repeats}}
        .dump();
}

std::optional<placement::repeat_counts>
read_repeat_note(std::string const& text) {
    try {
        auto const in = nlohmann::json::parse(text);
        placement::repeat_counts const out{in.at("requests").get<double>(),
                                           in.at("repeats").get<double>()};
        if (out.requests < 0 || out.repeats < 0)
            return std::nullopt;
        return out;
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

} // namespace yuccabeam::gateway
