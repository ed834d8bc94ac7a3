#include "yuccabeam/gateway/target_description.hpp"

#include <cmath>

namespace yuccabeam::gateway {

namespace {

using placement::notice_kind;
using placement::target_evidence;
using placement::target_snapshot;

std::string age(duration value) {
    return std::to_string(to_milliseconds(value)) + " ms";
}

std::string_view state_phrase(target_state state) {
    switch (state) {
    case target_state::vanished:
        return "is no longer in the store and gets new requests only if no "
               "other target is available";
    case target_state::replaced:
        return "is replaced: another target answers at its address";
    case target_state::leaving:
        return "is leaving: it gets no new requests";
    case target_state::unreachable:
        return "can't be connected to from this daemon and gets no requests "
               "for some seconds";
    case target_state::suspected:
        return "is suspected: it gets non-idempotent requests only if no "
               "better target is available, and an occasional trial request";
    case target_state::in_use:
        break;
    }
    return "is in use";
}

std::string_view evidence_phrase(notice_kind kind) {
    switch (kind) {
    case notice_kind::failed:
        return "a request was reset or its response was invalid";
    case notice_kind::doubted:
        return "it responded with an error or took too long to respond";
    case notice_kind::success:
        return "a request succeeded";
    case notice_kind::replaced:
        return "another target answered at its address";
    case notice_kind::leaving:
        return "it said that it leaves";
    case notice_kind::trial:
        break;
    }
    return "a trial request was sent";
}

} // namespace

target_state state_of(target_snapshot const& snapshot) {
    if (snapshot.vanished)
        return target_state::vanished;
    if (snapshot.replaced)
        return target_state::replaced;
    if (snapshot.leaving)
        return target_state::leaving;
    if (snapshot.unreachable)
        return target_state::unreachable;
    return snapshot.suspected ? target_state::suspected : target_state::in_use;
}

std::string_view to_string(target_state value) {
    switch (value) {
    case target_state::vanished:
        return "vanished";
    case target_state::replaced:
        return "replaced";
    case target_state::leaving:
        return "leaving";
    case target_state::unreachable:
        return "unreachable";
    case target_state::suspected:
        return "suspected";
    case target_state::in_use:
        break;
    }
    return "in_use";
}

std::string percent_text(double share) {
    return std::to_string(std::lround(share * 100));
}

telemetry::log_fields
risk_fields(double risk, std::optional<target_evidence> const& evidence,
            time_point now) {
    telemetry::log_fields out{{"risk_percent", percent_text(risk)}};
    if (!evidence) {
        out.push_back({"evidence", "none"});
        return out;
    }
    out.push_back({"evidence", std::string(to_string(evidence->kind))});
    out.push_back({"evidence_from", evidence->own ? "self" : "peer"});
    out.push_back(
        {"evidence_ms", std::to_string(to_milliseconds(now - evidence->at))});
    return out;
}

std::string describe_target(target_snapshot const& snapshot, time_point now) {
    std::string out = "Target " + snapshot.target.value + " of service " +
                      snapshot.service.value + " ";
    out += state_phrase(state_of(snapshot));
    if (snapshot.suspected)
        out += ", for " + age(snapshot.suspected_for);
    out += ". Probability that it fails requests: " +
           percent_text(snapshot.failing) +
           "%. Requests in flight from this daemon: " +
           std::to_string(snapshot.in_flight) + ".\n";
    if (!snapshot.evidence)
        return out + "There is no evidence on it yet.\n";
    out += "Last evidence, " + age(now - snapshot.evidence->at) + " ago, ";
    out += snapshot.evidence->own ? "observed by this daemon: "
                                  : "reported by another daemon: ";
    out += evidence_phrase(snapshot.evidence->kind);
    return out + ".\n";
}

} // namespace yuccabeam::gateway
