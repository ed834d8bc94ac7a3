#include "yuccabeam/standins/target_behaviour.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace yuccabeam::standins {
namespace {

std::vector<std::pair<std::string_view, failure>> const& failure_words() {
    static std::vector<std::pair<std::string_view, failure>> const words = {
        {"none", failure::none},
        {"errors", failure::errors},
        {"slow", failure::slow},
        {"hang", failure::hang},
        {"reset_before", failure::reset_before},
        {"reset_after", failure::reset_after},
        {"close_midway", failure::close_midway},
        {"short", failure::short_answer},
        {"one_way", failure::one_way},
        {"endless", failure::endless},
        {"refuse", failure::refuse},
    };
    return words;
}

} // namespace

target_control parse_control(json_reader& reader,
                             target_control const& current) {
    target_control out;
    out.fail = reader.word_or("fail", current.fail, failure_words());
    out.share = reader.number_or("share", current.share, 0, 1);
    out.slow_factor =
        reader.number_or("slow_factor", current.slow_factor, 1, 10'000);
    out.endless =
        reader.word_or("endless", current.endless,
                       std::vector(endless_words.begin(), endless_words.end()));
    out.only_from_failure_domain = reader.string_or(
        "only_from_failure_domain", current.only_from_failure_domain);
    out.drain = reader.boolean_or("drain", current.drain);
    out.healthy = reader.boolean_or("healthy", current.healthy);
    out.cold_ms = reader.integer_or("cold_ms", current.cold_ms, {0, 3'600'000});
    out.seed = reader.integer_or("seed", current.seed, {0});
    return out;
}

std::string_view to_string(failure value) {
    for (auto const& [word, known] : failure_words())
        if (known == value)
            return word;
    return "none";
}

failure failure_for(target_control const& control,
                    std::string_view from_failure_domain, double draw) {
    auto const& only = control.only_from_failure_domain;
    if (!only.empty() && only != from_failure_domain)
        return failure::none;
    return draw < control.share ? control.fail : failure::none;
}

double cold_factor(std::chrono::nanoseconds since_start,
                   std::chrono::milliseconds cold) {
    static constexpr double factor_at_start = 5;
    if (since_start >= cold)
        return 1;
    auto const left = std::chrono::duration<double>(cold - since_start) / cold;
    return 1 + (factor_at_start - 1) * left;
}

void execution_log::counts::add(std::string const& name, std::size_t limit) {
    if (name.empty())
        return;
    auto const [entry, fresh] = runs.try_emplace(name, 0);
    if (++entry->second == 2)
        ++repeated;
    if (!fresh)
        return;
    order.push_back(name);
    if (order.size() > limit) {
        runs.erase(order.front());
        order.pop_front();
        ++forgotten;
    }
}

std::uint64_t execution_log::counts::of(std::string const& name) const {
    auto const entry = runs.find(name);
    return entry == runs.end() ? 0 : entry->second;
}

void execution_log::start(std::string const& id, std::string const& key) {
    ++total_;
    ids_.add(id, limit_);
    keys_.add(key, limit_);
}

nlohmann::json execution_log::list() const {
    return {{"ids", ids_.runs}, {"keys", keys_.runs}};
}

nlohmann::json execution_log::totals() const {
    return {{"executions", total_},
            {"distinct_ids", ids_.runs.size()},
            {"distinct_keys", keys_.runs.size()},
            {"repeated_ids", ids_.repeated},
            {"repeated_keys", keys_.repeated},
            {"forgotten", ids_.forgotten + keys_.forgotten}};
}

void to_json(nlohmann::json& out, target_control const& value) {
    out = {{"fail", to_string(value.fail)},
           {"share", value.share},
           {"slow_factor", value.slow_factor},
           {"endless", to_string(value.endless)},
           {"only_from_failure_domain", value.only_from_failure_domain},
           {"drain", value.drain},
           {"healthy", value.healthy},
           {"cold_ms", value.cold_ms},
           {"seed", value.seed}};
}

void to_json(nlohmann::json& out, target_stats const& value) {
    out = {{"requests", value.requests},
           {"finished", value.finished},
           {"shed", value.shed},
           {"cancelled", value.cancelled},
           {"deadline_exceeded", value.deadline_exceeded},
           {"injected", value.injected},
           {"connections", value.connections},
           {"connections_rejected", value.connections_rejected},
           {"probes", value.probes},
           {"body_bytes", value.body_bytes},
           {"endless_bytes", value.endless_bytes}};
}

} // namespace yuccabeam::standins
