#include "yuccabeam/daemon/sentences.hpp"

#include <sstream>

namespace yuccabeam::daemon {

namespace {

std::string_view words_of(health::target_state state) {
    switch (state) {
    case health::target_state::healthy:
        return "is in use";
    case health::target_state::suspect:
        return "is used only when no other target is free";
    case health::target_state::ejected:
        return "is out: it gets no requests";
    case health::target_state::trial:
        return "is out; this daemon sends it trial requests";
    case health::target_state::slow_start:
        return "has just come back and gets a growing share of requests";
    case health::target_state::leaving:
        return "is leaving: it gets no new requests";
    }
    return "";
}

std::string_view words_of(health::state_reason reason) {
    switch (reason) {
    case health::state_reason::none:
        return "";
    case health::state_reason::local_failures:
        return "Requests that this daemon sent to it failed.";
    case health::state_reason::local_slowness:
        return "It answers this daemon more slowly than the service's other "
               "targets.";
    case health::state_reason::own_link:
        return "Most targets of its failure domain look bad from here and not "
               "from elsewhere, so this daemon's own link is the likely "
               "cause.";
    case health::state_reason::budget:
        return "It is bad, but taking it out would leave the service below "
               "its floor.";
    case health::state_reason::domain_lost:
        return "It is bad together with its whole failure domain.";
    case health::state_reason::local_floor:
        return "The arbiter wants it out, but from here the service would "
               "fall below its floor.";
    case health::state_reason::grant_lapsed:
        return "It was out, and the arbiter has not renewed the ejection.";
    case health::state_reason::granted:
        return "The fleet's evidence shows that it fails real requests.";
    case health::state_reason::returned:
        return "It passed its trial requests.";
    case health::state_reason::added:
        return "It is new in the register.";
    case health::state_reason::drain_signal:
        return "The target itself, the VM list or another daemon says so.";
    }
    return "";
}

void add_evidence(std::ostream& out, health::explanation const& why) {
    auto const& seen = why.fleet_evidence;
    if (!seen.rule.empty()) {
        out << "Evidence: of " << seen.requests << " requests (" << seen.kind
            << ") " << seen.bad
            << (seen.rule == "slowness" ? " were too slow" : " failed");
        if (seen.callers > 0)
            out << ", from at least " << seen.callers << " accounts";
        out << ". Decided by daemon " << why.arbiter.value << ".\n";
    }
    out << "This daemon, last 10 s: " << why.local_requests << " requests, "
        << why.local_failures << " failed, " << why.local_slow << " slow.\n";
}

} // namespace

std::string words_of(duration value) {
    auto const ms = to_milliseconds(value);
    if (ms < 1000)
        return std::to_string(ms) + " ms";
    auto const s = ms / 1000;
    if (s < 600)
        return std::to_string(s) + " s";
    if (s < 36'000)
        return std::to_string(s / 60) + " min";
    return std::to_string(s / 3600) + " h";
}

std::string sentences_of(health::explanation const& why, time_point now) {
    std::ostringstream out;
    out << "Target " << why.target.value << " " << words_of(why.status.state);
    if (why.status.state != health::target_state::healthy)
        out << ", for " << words_of(now - why.status.since);
    out << ".";
    if (!why.scope.empty())
        out << " This holds for daemons of failure domain " << why.scope
            << " only.";
    if (auto const reason = words_of(why.status.reason); !reason.empty())
        out << " " << reason;
    out << "\n";
    add_evidence(out, why);
    if (!why.rule.empty())
        out << "Rule: " << why.rule << "\n";
    if (!why.change.empty())
        out << "What changes it: " << why.change << "\n";
    if (why.service_degraded)
        out << "More than half of the service's targets look bad together, so "
               "none is taken out for that.\n";
    if (why.home_daemons > 0)
        out << "Slots that may be out: " << why.budget_slots
            << ", are out: " << why.ejected_slots << "; " << why.supporters
            << " of " << why.home_daemons << " daemons follow the arbiter.\n";
    return out.str();
}

std::string sentences_of(pool_status const& status) {
    std::ostringstream out;
    out << "Service " << status.service.value << ": " << status.healthy_slots
        << " of " << status.capacity_slots
        << " slots are healthy; the floor is " << status.floor_slots << ". "
        << status.in_flight << " requests run and " << status.queued
        << " wait in this daemon.";
    if (status.degraded)
        out << " The whole service is degraded.";
    if (status.overloaded)
        out << " It is overloaded: requests that can't finish in time are "
               "refused.";
    out << " Arbiter: " << status.arbiter.value << ".\n";
    return out.str();
}

std::string sentences_of(logged_request const& request) {
    std::ostringstream out;
    out << "Request " << request.id << " (" << request.method << ", route "
        << request.kind.value << ", service " << request.service.value
        << ") ended as " << request.outcome;
    if (request.status != 0)
        out << " with status " << request.status;
    out << " after " << words_of(request.total) << ".";
    if (!request.reason.empty())
        out << " Reason: " << request.reason << ".";
    out << "\nIt counts as "
        << (request.idempotent ? "idempotent: it may be sent again."
                               : "non-idempotent: it is sent once.")
        << "\n";
    for (auto const& attempt : request.attempts)
        out << "  target " << attempt.target.value << ": " << attempt.outcome
            << " after " << words_of(attempt.after) << "\n";
    if (request.attempts.empty())
        out << "  it was sent to no target\n";
    return out.str();
}

} // namespace yuccabeam::daemon
