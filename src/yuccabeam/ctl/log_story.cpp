#include "yuccabeam/ctl/log_story.hpp"

#include "yuccabeam/values/key_value_text.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <istream>
#include <set>
#include <sstream>
#include <utility>

namespace yuccabeam::ctl {

namespace {

using nlohmann::json;

constexpr std::int64_t ms_before = 30'000;
constexpr std::int64_t ms_after = 5'000;

std::optional<std::int64_t> milliseconds_of(std::string const& time) {
    std::tm parts{};
    auto const* rest = strptime(time.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr || *rest != '.')
        return std::nullopt;
    auto const fraction = std::strtol(rest + 1, nullptr, 10);
    return std::int64_t{timegm(&parts)} * 1'000 + fraction;
}

bool is_between(log_line const& line, std::int64_t from, std::int64_t to) {
    auto const at = milliseconds_of(line.time);
    return at && *at >= from && *at <= to;
}

bool by_time(log_line const& a, log_line const& b) {
    return a.time < b.time;
}

std::set<std::string> targets_of(request_story const& story) {
    std::set<std::string> out;
    for (auto const& step : story.steps)
        for (auto const* name : {"target", "second"})
            if (auto const target = step.field(name); !target.empty())
                out.insert(target);
    return out;
}

std::string sentence_on(log_line const& attempt) {
    auto const outcome = attempt.field("outcome");
    auto const after = " after " + attempt.field("ms") + " ms";
    std::string text = "target " + attempt.field("target");
    if (outcome == "reset" || outcome == "kept_reset")
        text += " closed the connection" + after + " without an answer";
    else if (outcome == "connect_failed")
        text += " took no connection";
    else if (outcome == "target_error")
        text += " answered " + attempt.field("http") + after;
    else if (outcome == "not_run")
        text += " was full or leaving (" + attempt.field("http") + after + ")";
    else if (outcome == "wrong_target")
        text += " is gone and another target has its address";
    else if (outcome == "broken_answer")
        text += " gave an answer that was cut off or not its own" + after;
    else if (outcome == "timed_out")
        text += " gave no answer" + after;
    else
        text += " had no time to answer";
    if (attempt.field("suspected") == "1")
        text += " (it was suspected: a trial, or no better one was left)";
    return text;
}

std::string phrase_on(std::string_view condition, log_line const& attempt) {
    if (condition == "idempotence")
        return "it may have run";
    if (condition == "time")
        return "too little time was left";
    if (condition == "attempts")
        return "its attempts were used up (" + attempt.field("sent") + " sent)";
    if (condition == "credit")
        return "the daemon's budget had no repeat left (credit " +
               attempt.field("credit_percent") + "% of one)";
    if (condition == "target")
        return "no other target was left to try";
    return std::string(condition) + " was missing";
}

// Why an attempt was not followed by another one; empty for logs of versions
// that don't tell.
std::string sentence_on_missing(log_line const& attempt) {
    auto const missing = attempt.field("missing");
    if (missing.empty() || missing == "none")
        return {};
    std::string text = "it was not sent again, as ";
    std::istringstream names(missing);
    bool first = true;
    for (std::string name; std::getline(names, name, ',');) {
        text += (std::exchange(first, false) ? "" : ", and as ") +
                phrase_on(name, attempt);
    }
    if (auto const unreachable = attempt.field("unreachable");
        !unreachable.empty() && unreachable != "0")
        text += "; " + unreachable + " of " + attempt.field("others") +
                " other targets could not be reached";
    return text;
}

// What a daemon answered by an account's key or quota; empty for any other
// reason.
std::string sentence_on_account(log_line const& end) {
    auto const reason = end.field("reason");
    auto const account = "account " + end.field("account");
    if (reason == "unknown_key" && end.field("outcome") == "unknown")
        return "its key was removed before it could be sent again, and an "
               "earlier attempt may have run";
    if (reason == "unknown_key")
        return "its key is no account's in configuration " +
               end.field("policy") + ", or it had none";
    if (reason == "unconfirmed_keys")
        return "the daemon could not confirm that configuration " +
               end.field("policy") +
               " is the newest, so that it neither accepted nor refused the "
               "key";
    if (reason == "quota")
        return account + " had used up its quota";
    if (reason == "quota_undecided")
        return "no daemon decided in time whether " + account +
               " had used up its quota";
    return {};
}

// What the daemon answered, by the reason in its line.
std::string sentence_on_end(log_line const& end, log_line const* attempt) {
    auto const reason = end.field("reason");
    if (auto text = sentence_on_account(end); !text.empty())
        return text;
    if (end.field("outcome") == "caller_gone")
        return "the caller left before there was an answer";
    if (reason == "no_policy")
        return "the daemon had no configuration yet";
    if (reason == "no_route")
        return "no route of configuration " + end.field("policy") +
               " fits the request";
    if (reason == "no_target")
        return "no target of service " + end.field("service") +
               " could be used (" + end.field("targets") + " known)";
    if (reason == "no_other_target")
        return "no other target of service " + end.field("service") +
               " was left to try";
    if (reason == "target_full")
        return "all targets of service " + end.field("service") +
               " that could be used had too many requests waiting";
    if (reason == "deadline" && end.field("target").empty())
        return "the request's time ran out before a target was found";
    if (reason == "deadline")
        return "the request's time ran out, the last target was " +
               end.field("target");
    if (attempt != nullptr)
        if (auto text = sentence_on_missing(*attempt); !text.empty())
            return text;
    if (end.field("outcome") == "unknown")
        return "it was not sent again, as it may have run";
    return "it was not sent again: no attempt or no room in the fleet's "
           "budget was left";
}

// The entries of accounts that the configuration lacks, for a request whose key
// is unknown.
std::string sentence_on_rejected(request_story const& story,
                                 log_line const& end) {
    if (end.field("reason") != "unknown_key")
        return {};
    auto const is_rejection = [](log_line const& line) {
        return line.event == "account_rejected";
    };
    auto const count = std::ranges::count_if(story.beliefs, is_rejection);
    if (count == 0)
        return {};
    auto const first = std::ranges::find_if(story.beliefs, is_rejection);
    if (count == 1)
        return "; the entry of account " + first->field("account") +
               " was left out of configuration " + first->field("revision") +
               " (" + first->field("reason") + ")";
    return "; " + std::to_string(count) +
           " entries of accounts were left out of configuration " +
           first->field("revision");
}

std::string sentence_on_restored(request_story const& story) {
    for (auto const& line : story.beliefs)
        if (line.event == "store_restored" &&
            line.time <= story.steps.back().time)
            return "; shortly before, the store had come back from an older "
                   "copy (era " +
                   line.field("era") + ")";
    return {};
}

std::string line_text(log_line const& line) {
    std::string text = line.time + " " + line.vm + " " + line.event;
    for (auto const& [key, value] : line.fields)
        if (key != "id")
            text += " " + key + "=" + quoted_value(value);
    return text + "\n";
}

// The whole fleet learns of each change in the store; the first daemon's line
// stands for the same lines of the others.
std::string grouped_text(std::vector<log_line> const& lines) {
    std::string text;
    std::vector<bool> shown(lines.size(), false);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (shown[i])
            continue;
        std::size_t others = 0;
        std::size_t last = i;
        for (std::size_t j = i + 1; j < lines.size(); ++j)
            if (!lines[i].field("store_revision").empty() && !shown[j] &&
                lines[j].event == lines[i].event &&
                lines[j].fields == lines[i].fields &&
                lines[j].vm != lines[i].vm) {
                shown[j] = true;
                ++others;
                last = j;
            }
        text += "  " + line_text(lines[i]);
        if (others > 0)
            text += "    the same at " + std::to_string(others) +
                    " other daemons until " + lines[last].time + "\n";
    }
    return text;
}

json data_of(std::vector<log_line> const& lines) {
    json out = json::array();
    for (auto const& line : lines)
        out.push_back({{"time", line.time},
                       {"vm", line.vm},
                       {"event", line.event},
                       {"fields", line.fields}});
    return out;
}

outcome unreadable(std::string const& path) {
    auto const text = "cannot read " + path;
    return {exit_code::input_fault, text + "\n", {{"error", text}}};
}

outcome not_found(std::string const& id) {
    return {exit_code::not_found,
            "No line on request " + id +
                ". Plain successes leave none, and a VM that lost power could "
                "not write any; see also omitted= in the logs and the metric "
                "yuccabeam_log_lines_lost.\n",
            {{"id", id}, {"error", "not found"}}};
}

outcome describe(request_story const& story) {
    std::ostringstream text;
    auto const cause = cause_of(story);
    text << cause << "\n\nThe request:\n";
    for (auto const& line : story.steps)
        text << "  " << line_text(line);
    text << "Its targets and configuration around that time:\n";
    text << grouped_text(story.beliefs);
    return {exit_code::done,
            text.str(),
            {{"id", story.id},
             {"cause", cause},
             {"steps", data_of(story.steps)},
             {"beliefs", data_of(story.beliefs)}}};
}

} // namespace

std::string log_line::field(std::string_view name) const {
    auto const found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text) {
    // Collectors put words of their own before a line.
    auto const start = text.find("time=");
    if (start == std::string_view::npos)
        return std::nullopt;
    auto pairs = parse_key_values(text.substr(start));
    if (!pairs)
        return std::nullopt;
    log_line out;
    for (auto& [key, value] : *pairs) {
        if (key == "time")
            out.time = std::move(value);
        else if (key == "vm")
            out.vm = std::move(value);
        else if (key == "event")
            out.event = std::move(value);
        else
            out.fields.insert_or_assign(std::move(key), std::move(value));
    }
    if (out.time.empty() || out.event.empty())
        return std::nullopt;
    return out;
}

story_reader::story_reader(std::string id) {
    story_.id = std::move(id);
}

void story_reader::read_steps(std::istream& log) {
    for (std::string text; std::getline(log, text);) {
        // Most lines are on others; a search is cheaper than parsing them.
        if (text.find(story_.id) == std::string::npos)
            continue;
        auto line = parse_log_line(text);
        if (line && line->field("id") == story_.id)
            story_.steps.push_back(std::move(*line));
    }
    std::ranges::stable_sort(story_.steps, by_time);
}

void story_reader::read_beliefs(std::istream& log) {
    if (story_.steps.empty())
        return;
    auto const first = milliseconds_of(story_.steps.front().time);
    auto const last = milliseconds_of(story_.steps.back().time);
    if (!first || !last)
        return;
    auto const targets = targets_of(story_);
    auto const& vm = story_.steps.front().vm;
    auto const policy = story_.steps.back().field("policy");
    for (std::string text; std::getline(log, text);) {
        auto line = parse_log_line(text);
        if (!line || !line->field("id").empty())
            continue;
        bool const of_daemon = line->event.starts_with("policy_") ||
                               line->event == "store_restored";
        bool const told = targets.contains(line->field("target")) ||
                          (of_daemon && line->vm == vm);
        // Written when the configuration came into force, however long before.
        bool const rejected =
            line->event == "account_rejected" && line->vm == vm &&
            line->field("revision") == policy && is_between(*line, 0, *last);
        if (rejected ||
            (told && is_between(*line, *first - ms_before, *last + ms_after)))
            story_.beliefs.push_back(std::move(*line));
    }
}

request_story story_reader::finish() && {
    std::ranges::stable_sort(story_.beliefs, by_time);
    return std::move(story_);
}

std::string cause_of(request_story const& story) {
    if (story.steps.empty())
        return {};
    log_line const* attempt = nullptr;
    log_line const* end = nullptr;
    for (auto const& step : story.steps) {
        if (step.event == "attempt_failed")
            attempt = &step;
        if (step.event == "request_ended")
            end = &step;
    }
    std::string text = "Request " + story.id + ": ";
    if (attempt != nullptr)
        text += sentence_on(*attempt);
    if (attempt != nullptr && end != nullptr)
        text += "; ";
    if (end != nullptr)
        text += sentence_on_end(*end, attempt) +
                sentence_on_rejected(story, *end) + sentence_on_restored(story);
    else if (attempt != nullptr && attempt->field("next") == "deliver")
        text += "; the caller got that answer";
    else if (attempt != nullptr)
        text += "; another target answered the request";
    else
        text += "a second target was asked, as the first took long; the "
                "request was answered";
    return text + ".";
}

outcome explain_from_logs(std::string const& id,
                          std::vector<std::string> const& files) {
    story_reader reader(id);
    for (auto const& path : files) {
        std::ifstream log(path);
        if (!log)
            return unreadable(path);
        reader.read_steps(log);
    }
    for (auto const& path : files) {
        std::ifstream log(path);
        reader.read_beliefs(log);
    }
    auto const story = std::move(reader).finish();
    return story.steps.empty() ? not_found(id) : describe(story);
}

} // namespace yuccabeam::ctl
