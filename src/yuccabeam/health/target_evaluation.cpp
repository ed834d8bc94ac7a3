// The arbiter's evaluation of targets: which target is bad, for which scope,
// and whether the whole service is at fault instead.
#include "arbiter_implementation.hpp"

#include "grant_store.hpp"

#include <algorithm>
#include <cmath>

namespace yuccabeam::health {

namespace {

constexpr duration observer_activity_window = std::chrono::seconds(10);
// Targets of a lost failure domain fail within about one timeout of each
// other; ejections further apart have separate causes.
constexpr duration domain_loss_window = std::chrono::seconds(20);

} // namespace

std::uint32_t arbiter::implementation::observers_of(std::uint32_t target,
                                                    std::string const& scope,
                                                    time_point now) const {
    std::uint32_t number = 0;
    for (auto const& [id, observer] : observers_)
        if ((scope.empty() || scope == observer.failure_domain) &&
            target < observer.last_evidence.size() &&
            now - observer.last_evidence[target] < observer_activity_window)
            ++number;
    return number;
}

scope_detector const*
arbiter::implementation::find_detector(std::string const& scope) const {
    if (scope.empty())
        return &all_;
    auto const found = by_domain_.find(scope);
    return found == by_domain_.end() ? nullptr : &found->second;
}

bool arbiter::implementation::evaluate(std::uint32_t target, time_point now) {
    if (is_leaving(target, now))
        return false;
    auto const& record = ejections_.record_of(target);
    if (record.is_ejected() && record.scope.empty())
        return false;
    // A fault that only one failure domain sees crosses the threshold in that
    // domain's test first, because good requests from the other domains dilute
    // the total.
    for (auto& [domain, detector] : by_domain_)
        if (!is_ejected_for(target, domain) &&
            evaluate_in_scope(target, detector, domain, now))
            return true;
    return evaluate_in_scope(target, all_, {}, now);
}

bool arbiter::implementation::evaluate_in_scope(std::uint32_t target,
                                                scope_detector& detector,
                                                std::string const& scope,
                                                time_point now) {
    auto const id =
        detector.test_above_threshold(target, observers_of(target, scope, now));
    if (!id)
        return false;
    auto const resolved = scope_of(target, *id, scope, now);
    if (majority_looks_bad(resolved, *id, now)) {
        detector.halve_score(target, *id);
        ++counters_.suppressed;
        return false;
    }
    auto const evidence = evidence_of(detector.test(target, *id), *id);
    auto const& domain = topology_.targets[target].failure_domain;
    auto const lost = resolved.empty() && is_domain_lost(domain, now);
    ejections_.eject(target, resolved, evidence, now);
    ejections_.set_trial_domain(target, worst_domain(target, *id, scope));
    clear_scores(target);
    ++counters_.ejections;
    if (!lost)
        return true;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i)
        if (topology_.targets[i].failure_domain == domain)
            ejections_.mark_domain_lost(i);
    return true;
}

std::string arbiter::implementation::scope_of(std::uint32_t target, test_id id,
                                              std::string const& crossed_domain,
                                              time_point now) const {
    // Failure domains with few recent requests are no evidence: if they counted
    // as healthy, a crashed target would stay in use for the domains that
    // rarely call it.
    bool good_elsewhere = false;
    std::vector<std::string> bad;
    for (auto const& [domain, detector] : by_domain_) {
        if (domain == crossed_domain || detector.looks_bad(target, id))
            bad.push_back(domain);
        else if (detector.looks_good(target, now))
            good_elsewhere = true;
    }
    return good_elsewhere && bad.size() == 1 ? bad.front() : std::string();
}

std::string
arbiter::implementation::worst_domain(std::uint32_t target, test_id id,
                                      std::string const& crossed_domain) const {
    if (!crossed_domain.empty())
        return crossed_domain;
    std::string worst;
    double score = 0;
    for (auto const& [domain, detector] : by_domain_)
        if (detector.test(target, id).score > score) {
            score = detector.test(target, id).score;
            worst = domain;
        }
    return worst;
}

bool arbiter::implementation::majority_looks_bad(std::string const& scope,
                                                 test_id id,
                                                 time_point now) const {
    auto const* detector = find_detector(scope);
    std::size_t present = 0;
    std::size_t bad = 0;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i) {
        if (is_leaving(i, now))
            continue;
        ++present;
        if ((detector && detector->looks_bad(i, id)) ||
            is_ejected_for(i, scope))
            ++bad;
    }
    return bad * 2 > present;
}

bool arbiter::implementation::service_degraded(time_point now) const {
    std::size_t present = 0;
    std::size_t bad = 0;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i) {
        if (is_leaving(i, now))
            continue;
        ++present;
        if (all_.looks_bad(i) || all_.is_failing(i) || is_ejected_for(i, {}))
            ++bad;
    }
    return bad * 2 > present;
}

bool arbiter::implementation::is_domain_lost(failure_domain_id const& id,
                                             time_point now) const {
    std::size_t members = 0;
    for (std::uint32_t i = 0; i < topology_.targets.size(); ++i) {
        if (topology_.targets[i].failure_domain != id || is_leaving(i, now))
            continue;
        ++members;
        auto const& record = ejections_.record_of(i);
        auto const recently_ejected =
            record.is_ejected() && record.scope.empty() &&
            (now - record.since < domain_loss_window ||
             record.suppressed_by == "domain-lost");
        if (!recently_ejected && !all_.looks_bad(i))
            return false;
    }
    return members >= 2 && members < topology_.targets.size();
}

verdict_evidence arbiter::implementation::evidence_of(cusum const& test,
                                                      test_id id) const {
    return {id.slowness ? "slowness" : "failures",
            id.kind ? topology_.kinds[*id.kind].value : std::string(),
            test.requests,
            test.bad,
            distinct_callers(test.callers),
            static_cast<std::uint32_t>(std::lround(test.score * 1000)),
            static_cast<std::uint32_t>(std::lround(all_.threshold() * 1000))};
}

void arbiter::implementation::clear_scores(std::uint32_t target) {
    all_.clear(target);
    for (auto& [domain, detector] : by_domain_)
        detector.clear(target);
}

} // namespace yuccabeam::health
