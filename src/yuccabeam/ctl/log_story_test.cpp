#include "yuccabeam/ctl/log_story.hpp"

#include <doctest/doctest.h>
#include <sstream>

namespace yuccabeam::ctl {
namespace {

std::string at(std::string const& time, std::string const& vm,
               std::string const& rest) {
    return "time=2026-12-04T10:00:" + time + "Z vm=" + vm + " " + rest + "\n";
}

request_story read(std::string const& id,
                   std::vector<std::string> const& logs) {
    story_reader reader(id);
    for (auto const& text : logs) {
        std::istringstream log(text);
        reader.read_steps(log);
    }
    for (auto const& text : logs) {
        std::istringstream log(text);
        reader.read_beliefs(log);
    }
    return std::move(reader).finish();
}

std::vector<std::string> events_of(std::vector<log_line> const& lines) {
    std::vector<std::string> out;
    out.reserve(lines.size());
    for (auto const& line : lines)
        out.push_back(line.event);
    return out;
}

// Guards against a cause that doesn't follow from the daemon's lines.
TEST_CASE("the end of a request is told with its cause") {
    struct row {
        char const* name;
        std::string lines;
        char const* part; ///< of the sentence
    };
    std::string const reset = at("01.000", "a",
                                 "event=attempt_failed id=r1 target=t1 "
                                 "outcome=reset ms=2 suspected=0 next=fail");
    row const rows[] = {
        {"reset and not repeated",
         reset + at("01.001", "a",
                    "event=request_ended id=r1 target=t1 outcome=unknown "
                    "reason=reset"),
         "target t1 closed the connection after 2 ms without an answer; it "
         "was not sent again, as it may have run."},
        {"no credit for a repeat",
         at("01.000", "a",
            "event=attempt_failed id=r1 target=t1 outcome=reset ms=2 sent=1 "
            "next=fail missing=credit credit_percent=40 others=6 "
            "unreachable=5") +
             at("01.001", "a",
                "event=request_ended id=r1 target=t1 outcome=unknown "
                "reason=reset"),
         "; it was not sent again, as the daemon's budget had no repeat left "
         "(credit 40% of one); 5 of 6 other targets could not be reached."},
        {"two conditions missing",
         at("01.000", "a",
            "event=attempt_failed id=r1 target=t1 outcome=not_run http=503 "
            "ms=2 sent=2 next=refuse missing=attempts,target others=0 "
            "unreachable=0") +
             at("01.001", "a",
                "event=request_ended id=r1 target=t1 outcome=not_run "
                "reason=not_run"),
         "; it was not sent again, as its attempts were used up (2 sent), and "
         "as no other target was left to try."},
        {"a request that may run once only",
         at("01.000", "a",
            "event=attempt_failed id=r1 target=t1 outcome=reset ms=2 sent=1 "
            "next=fail missing=idempotence") +
             at("01.001", "a",
                "event=request_ended id=r1 target=t1 outcome=unknown "
                "reason=reset"),
         "; it was not sent again, as it may have run."},
        {"answered elsewhere",
         at("01.000", "a",
            "event=attempt_failed id=r1 target=t1 outcome=wrong_target ms=3 "
            "next=try_other"),
         "; another target answered the request."},
        {"the target's own error",
         at("01.000", "a",
            "event=attempt_failed id=r1 target=t1 outcome=target_error "
            "http=500 ms=9 next=deliver"),
         "target t1 answered 500 after 9 ms; the caller got that answer."},
        {"a collector's words before the line",
         "<14> 12:00 vm-a: " +
             at("01.000", "a", "event=hedged id=r1 target=t1 second=t2"),
         "a second target was asked"},
        {"known to be bad",
         at("01.000", "a",
            "event=attempt_failed id=r1 target=t1 outcome=reset ms=2 "
            "suspected=1 next=fail"),
         "a trial, or no better one was left"},
        {"no target",
         at("01.000", "a",
            "event=request_ended id=r1 service=s outcome=not_run "
            "reason=no_target targets=0"),
         "no target of service s could be used (0 known)"},
        {"before the first configuration",
         at("01.000", "a",
            "event=request_ended id=r1 outcome=not_run reason=no_policy"),
         "the daemon had no configuration yet"},
        {"a key that is unknown",
         at("01.000", "a",
            "event=request_ended id=r1 outcome=not_run reason=unknown_key "
            "policy=4"),
         "its key is no account's in configuration 4, or it had none."},
        {"a key that was removed before a retry",
         reset + at("01.001", "a",
                    "event=request_ended id=r1 target=t1 outcome=unknown "
                    "reason=unknown_key policy=4"),
         "; its key was removed before it could be sent again, and an earlier "
         "attempt may have run."},
        {"a key on a copy that is not confirmed",
         at("01.000", "a",
            "event=request_ended id=r1 outcome=not_run "
            "reason=unconfirmed_keys policy=4"),
         "could not confirm that configuration 4 is the newest"},
        {"a quota that is used up",
         at("01.000", "a",
            "event=request_ended id=r1 outcome=not_run reason=quota "
            "account=acme policy=4"),
         "account acme had used up its quota."},
        {"a quota without a decision",
         at("01.000", "a",
            "event=request_ended id=r1 outcome=not_run "
            "reason=quota_undecided account=acme policy=4"),
         "no daemon decided in time whether account acme had used up its "
         "quota."},
        {"an entry of an account that was left out long before",
         at("00.000", "a",
            "event=account_rejected revision=4 account=acme "
            "reason=\"/keys: expected a list of keys\"") +
             at("59.000", "a",
                "event=request_ended id=r1 outcome=not_run "
                "reason=unknown_key policy=4"),
         "or it had none; the entry of account acme was left out of "
         "configuration 4 (/keys: expected a list of keys)."},
        {"entries of another configuration and of another daemon",
         at("00.000", "a",
            "event=account_rejected revision=3 account=x reason=y") +
             at("00.000", "b",
                "event=account_rejected revision=4 account=x reason=y") +
             at("01.000", "a",
                "event=request_ended id=r1 outcome=not_run "
                "reason=unknown_key policy=4"),
         "or it had none."},
        {"two entries that were left out",
         at("00.000", "a",
            "event=account_rejected revision=4 account=x reason=y") +
             at("00.000", "a",
                "event=account_rejected revision=4 account=z reason=y") +
             at("01.000", "a",
                "event=request_ended id=r1 outcome=not_run "
                "reason=unknown_key policy=4"),
         "; 2 entries of accounts were left out of configuration 4."},
        {"a store that came back from a copy",
         at("00.500", "a", "event=store_restored era=3 before=2") +
             at("01.000", "a",
                "event=request_ended id=r1 service=s outcome=not_run "
                "reason=no_target targets=0"),
         "(0 known); shortly before, the store had come back from an older "
         "copy (era 3)."},
        {"a store that came back after the request",
         at("01.000", "a",
            "event=request_ended id=r1 service=s outcome=not_run "
            "reason=no_target targets=0") +
             at("02.000", "a", "event=store_restored era=3 before=2"),
         "(0 known)."},
        {"caller gone",
         at("01.000", "a",
            "event=request_ended id=r1 outcome=caller_gone reason=at_target"),
         "the caller left"},
        {"hedged and answered",
         at("01.000", "a", "event=hedged id=r1 target=t1 second=t2"),
         "a second target was asked"},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        auto const cause = cause_of(read("r1", {row.lines}));
        CHECK_MESSAGE(cause.find(row.part) != std::string::npos, cause);
    }
    CHECK(cause_of(read("r2", {reset})).empty());
}

// Guards against a story that leaves out what other daemons knew, or that
// drowns it in lines on other requests, targets and times.
TEST_CASE("beliefs of all daemons on the request's targets are shown in the "
          "order of time") {
    std::string const a =
        at("20.000", "a", "event=target_failed target=t1 service=s") +
        at("20.000", "a", "event=target_failed target=t9 service=s") +
        "no key=value line\n" +
        at("20.000", "a",
           "event=attempt_failed id=r1 target=t1 outcome=reset "
           "next=try_other") +
        at("20.100", "a", "event=attempt_failed id=r2 target=t1") +
        at("20.200", "a", "event=policy_applied revision=4");
    std::string const b =
        at("01.000", "b", "event=target_success target=t1 service=s") +
        at("20.300", "b", "event=policy_applied revision=4") +
        at("26.000", "b", "event=target_success target=t1 service=s");
    auto const story = read("r1", {a, b});
    CHECK(events_of(story.steps) == std::vector<std::string>{"attempt_failed"});
    CHECK(events_of(story.beliefs) ==
          std::vector<std::string>{"target_success", "target_failed",
                                   "policy_applied"});
}

TEST_CASE("a file that can't be read and an id that no line has end with "
          "codes of their own") {
    CHECK(explain_from_logs("r1", {"/nonexistent/log"}).code ==
          exit_code::input_fault);
    CHECK(explain_from_logs("r1", {"/dev/null"}).code == exit_code::not_found);
}

} // namespace
} // namespace yuccabeam::ctl
