#pragma once

#include "yuccabeam/ctl/outcome.hpp"

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::ctl {

/// One line of a daemon's log.
struct log_line {
    std::string time; ///< ISO 8601 in UTC with milliseconds
    std::string vm;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields; ///< the rest

    /// Value of a field; empty when the line doesn't have it.
    std::string field(std::string_view name) const;

    bool operator==(log_line const&) const = default;
};

/// Text before the line's time is a collector's and left out.
std::optional<log_line> parse_log_line(std::string_view text);

/// What the collected logs tell of one request.
struct request_story {
    std::string id;
    std::vector<log_line> steps; ///< lines on the request, by time
    /// What the daemons came to believe of the request's targets and
    /// configuration, from 30 s before its first line to 5 s after its last.
    std::vector<log_line> beliefs;
};

/// Collects a story from logs; the texts are read line by line. Lines on the
/// request have to be taken from all logs before those on its targets.
class story_reader {
public:
    explicit story_reader(std::string id);

    void read_steps(std::istream& log);
    void read_beliefs(std::istream& log);
    request_story finish() &&;

private:
    request_story story_;
};

/// The cause of the request's end in one sentence. Empty without a line on
/// the request.
std::string cause_of(request_story const& story);

/// Answers `logs explain ID FILE...`.
outcome explain_from_logs(std::string const& id,
                          std::vector<std::string> const& files);

} // namespace yuccabeam::ctl
