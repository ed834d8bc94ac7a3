#include "yuccabeam/ctl/log_story.hpp"
#include "yuccabeam/ctl/session.hpp"

#include <charconv>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_string(base, "", "revision that the files start from");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

using namespace yuccabeam;
using ctl::exit_code;
using words = std::vector<std::string>;

int finish(ctl::outcome const& result) {
    auto& out = result.code == exit_code::done ? std::cout : std::cerr;
    if (FLAGS_json)
        std::cout << result.data.dump() << "\n";
    else
        out << result.text;
    return static_cast<int>(result.code);
}

int input_fault(std::string const& text) {
    return finish({exit_code::input_fault, text + "\n", {{"error", text}}});
}

/// Sets one flag. gflags' own parser ends a program with 1, which is not an
/// exit code of this tool.
bool set_flag(std::string const& name, std::optional<std::string> value,
              words& rest) {
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info))
        return false;
    if (!value && info.type == "bool")
        value = "true";
    if (!value && !rest.empty()) {
        value = rest.front();
        rest.erase(rest.begin());
    }
    return value &&
           !gflags::SetCommandLineOption(name.c_str(), value->c_str()).empty();
}

/// Sets the flags among `rest` and moves the other arguments to `arguments`.
/// The first argument that is wrong ends it and is the answer.
std::optional<std::string> parse_flags(words rest, words& arguments) {
    while (!rest.empty()) {
        auto const argument = rest.front();
        rest.erase(rest.begin());
        if (!argument.starts_with("-")) {
            arguments.push_back(argument);
            continue;
        }
        auto const start = argument.find_first_not_of('-');
        auto const equals = argument.find('=');
        if (start == std::string::npos)
            return argument;
        std::optional<std::string> value;
        if (equals != std::string::npos)
            value = argument.substr(equals + 1);
        auto const name =
            argument.substr(start, value ? equals - start : std::string::npos);
        if (!set_flag(name, value, rest))
            return argument;
    }
    return std::nullopt;
}

std::optional<revision> parse_base() {
    revision base = 0;
    auto const* const end = FLAGS_base.data() + FLAGS_base.size();
    auto const parsed = std::from_chars(FLAGS_base.data(), end, base);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return base;
}

/// `logs` reads files only; it works where no daemon can be asked.
int run_on_logs(words const& arguments) {
    if (arguments.size() < 4 || arguments[1] != "explain")
        return input_fault("wrong command or arguments\n\n" +
                           std::string(ctl::usage()));
    return finish(ctl::explain_from_logs(
        arguments[2], words(arguments.begin() + 3, arguments.end())));
}

int run(words arguments) {
    if (arguments.front() == "logs")
        return run_on_logs(arguments);
    std::ifstream file(FLAGS_settings);
    if (!file)
        return input_fault("cannot read --settings " + FLAGS_settings);
    std::stringstream text;
    text << file.rdbuf();
    auto const parsed = ctl::parse_settings(text.str());
    if (auto const* faults = std::get_if<std::vector<json_fault>>(&parsed))
        return input_fault("settings " + FLAGS_settings + ":\n" +
                           describe(*faults));
    ctl::invocation call;
    call.command = arguments.front();
    call.arguments.assign(arguments.begin() + 1, arguments.end());
    if (!FLAGS_base.empty()) {
        call.base = parse_base();
        if (!call.base)
            return input_fault("--base " + FLAGS_base + " is not a revision");
    }
    call.announce_edit = [](std::string const& id) {
        std::cerr << "Edit " << id << "\n";
    };
    return finish(ctl::run(std::get<ctl::settings>(parsed), call));
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(std::string(ctl::usage()));
    gflags::SetVersionString("0.1.0");
    words arguments;
    if (auto const wrong = parse_flags(words(argv + 1, argv + argc), arguments))
        return input_fault("wrong flag " + *wrong + "\n\n" +
                           std::string(ctl::usage()));
    if (FLAGS_help) {
        std::cout << ctl::usage() << "\n";
        return 0;
    }
    if (FLAGS_version) {
        std::cout << "yuccabeamctl " << gflags::VersionString() << "\n";
        return 0;
    }
    if (arguments.empty())
        return input_fault(std::string(ctl::usage()));
    return run(std::move(arguments));
}
